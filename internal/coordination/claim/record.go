package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// State is what a record says of its attempt.
type State string

const (
	// Held says that the attempt has run, runs, or is about to.
	Held State = "held"
	// Abandoned says that the attempt never ran and never will.
	Abandoned State = "abandoned"
)

// Record is the value of a claim in the object API.
type Record struct {
	Attempt     string    `json:"attempt"`
	Agent       string    `json:"agent"`
	Incarnation string    `json:"incarnation"`
	Peer        string    `json:"peer-address"`
	Traffic     string    `json:"traffic-address"`
	Digest      string    `json:"digest"`
	State       State     `json:"state"`
	Time        time.Time `json:"time"`
}

const keyPrefix = "claims/"

// Key returns the object that holds the claim of an idempotency key; the key
// itself, which is the caller's, is stored as a digest.
func Key(service, account, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return keyPrefix + service + "/" + account + "/" + hex.EncodeToString(sum[:16])
}

// RequestDigest returns the digest that tells two bodies under one key apart.
func RequestDigest(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
