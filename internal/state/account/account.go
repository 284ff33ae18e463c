package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"

	"bluebellcrank/internal/state/document"
)

const (
	maxShare          = 10_000
	maxPriority       = 9
	maxRequestsPerSec = 1_000_000
	keyPrefix         = "sha256:"
)

// KeyHash is the SHA-256 digest of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the digest of an API key, which the configuration holds in
// place of the key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the digest in the format of the configuration: "sha256:" and
// 64 hexadecimal digits.
func (k KeyHash) String() string {
	return keyPrefix + hex.EncodeToString(k[:])
}

// Account is one client account. It is not modified after Read.
type Account struct {
	name              string
	share             int
	priority          int
	requestsPerSecond int
	services          []string
	keys              []KeyHash
}

// Defaults sets the share and priority that apply unless configured.
func (a *Account) Defaults() {
	a.share = 1
	a.priority = maxPriority / 2
}

// New returns an account that is not read from a configuration, with a share and
// a priority only.
func New(name string, share, priority int) *Account {
	return &Account{name: name, share: share, priority: priority}
}

// Read reads an account from a document and records its faults in the reader.
func Read(name string, r *document.Reader) *Account {
	a := &Account{name: name}
	a.Defaults()
	r.Int("share", &a.share, 1, maxShare)
	r.Int("priority", &a.priority, 0, maxPriority)
	r.Int("requests-per-second", &a.requestsPerSecond, 0, maxRequestsPerSec)
	r.TextList("services", &a.services)
	var keys []string
	r.TextList("keys", &keys)
	for _, k := range keys {
		h, ok := parseKeyHash(k)
		if !ok {
			r.AddFault("keys", "keys: each must be %q followed by 64 hexadecimal digits", keyPrefix)
			continue
		}
		a.keys = append(a.keys, h)
	}
	a.Validate(r)
	r.CheckUnknownKeys()
	return a
}

// Validate records a fault if the account has no keys or no services.
func (a *Account) Validate(r *document.Reader) {
	if len(a.keys) == 0 && !r.Has("keys") {
		r.AddFault("keys", "account %q has no keys", a.name)
	}
	if len(a.services) == 0 && !r.Has("services") {
		r.AddFault("services", "account %q has no services", a.name)
	}
}

func parseKeyHash(s string) (KeyHash, bool) {
	var h KeyHash
	digits, found := strings.CutPrefix(s, keyPrefix)
	if !found || len(digits) != 2*len(h) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(digits))
	return h, err == nil
}

// Name returns the account's name.
func (a *Account) Name() string { return a.name }

// Share returns the account's relative weight among the accounts of a service.
func (a *Account) Share() int { return a.share }

// Priority returns the priority of the account, from 0 (first) to 9 (last).
func (a *Account) Priority() int { return a.priority }

// RequestsPerSecond returns the account's rate limit; 0 is no limit.
func (a *Account) RequestsPerSecond() int { return a.requestsPerSecond }

// Services returns the names of the services the account may use.
func (a *Account) Services() []string { return a.services }

// Keys returns the digests of the account's API keys.
func (a *Account) Keys() []KeyHash { return a.keys }

// MayUse reports whether the account may use a service.
func (a *Account) MayUse(service string) bool {
	return slices.Contains(a.services, service)
}

// HasKey reports whether the digest is that of one of the account's keys. Each
// comparison takes constant time.
func (a *Account) HasKey(h KeyHash) bool {
	found := 0
	for _, k := range a.keys {
		found |= subtle.ConstantTimeCompare(k[:], h[:])
	}
	return found == 1
}
