package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// State is the state of the attempt in a record.
type State string

const (
	// Held means that the attempt has run, is running or may still run.
	Held State = "held"
	// Abandoned means that the attempt never ran and never will.
	Abandoned State = "abandoned"
)

// Record is the object that stores a claim in the platform's object API.
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

// keyPrefix is the common prefix of the names of all claim objects.
const keyPrefix = "claims/"

// Key returns the name of the object that stores the claim of an idempotency
// key. The name contains a digest of the key and not the key itself, because the
// caller chooses the key.
func Key(service, account, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return keyPrefix + service + "/" + account + "/" + hex.EncodeToString(sum[:16])
}

// RequestDigest returns a digest of a request, by which a reused idempotency key
// with a different request is detected.
func RequestDigest(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
