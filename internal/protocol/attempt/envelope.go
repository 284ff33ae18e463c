package attempt

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// The headers between processes; none of them reaches a caller or a target
// but RequestID.
const (
	HeaderAttempt       = "Bluebellcrank-Attempt"
	HeaderService       = "Bluebellcrank-Service"
	HeaderAccount       = "Bluebellcrank-Account"
	HeaderKey           = "Bluebellcrank-Key"
	HeaderTimeout       = "Bluebellcrank-Timeout-Ms"
	HeaderSuspect       = "Bluebellcrank-Suspect"
	HeaderDeaths        = "Bluebellcrank-Deaths"
	HeaderOffset        = "Bluebellcrank-Offset"
	HeaderIncarnation   = "Bluebellcrank-Incarnation"
	HeaderHolder        = "Bluebellcrank-Holder"
	HeaderHolderTraffic = "Bluebellcrank-Holder-Traffic"
	HeaderHolderPeer    = "Bluebellcrank-Holder-Peer"
	HeaderOutcome       = "Bluebellcrank-Outcome"
	TrailerLength       = "Bluebellcrank-Length"
	TrailerDigest       = "Bluebellcrank-Digest"
	HeaderPrefix        = "Bluebellcrank-"
	RequestID           = "X-Request-Id"
	PathAttempts        = "/.bluebellcrank/attempts/"
	OutcomeAnswer       = "answer"
	OutcomeRefused      = "refused"
	OutcomeHeld         = "held"
)

// Envelope is what an agent needs to know beside the request itself.
type Envelope struct {
	attempt     string
	incarnation string
	service     string
	account     string
	key         string
	timeout     time.Duration
	suspect     bool
}

// NewEnvelope describes one attempt for one incarnation of an agent.
func NewEnvelope(attempt, incarnation, service, account string, timeout time.Duration) Envelope {
	return Envelope{attempt: attempt, incarnation: incarnation, service: service, account: account, timeout: timeout}
}

// WithKey returns the envelope of a request that may run at most once.
func (e Envelope) WithKey(key string) Envelope {
	e.key = key
	return e
}

// AsSuspect returns the envelope of a request that was running when a target
// died.
func (e Envelope) AsSuspect() Envelope {
	e.suspect = true
	return e
}

// Attempt returns the attempt id.
func (e Envelope) Attempt() string { return e.attempt }

// Incarnation returns the incarnation of the agent that is meant.
func (e Envelope) Incarnation() string { return e.incarnation }

// Service returns the service's name.
func (e Envelope) Service() string { return e.service }

// Account returns the client account's name.
func (e Envelope) Account() string { return e.account }

// Key returns the idempotency key, or "" for an idempotent request.
func (e Envelope) Key() string { return e.key }

// Timeout returns how long the answer may take to begin.
func (e Envelope) Timeout() time.Duration { return e.timeout }

// Suspect reports whether the request was running when a target died.
func (e Envelope) Suspect() bool { return e.suspect }

// Write puts the envelope into a request's headers.
func (e Envelope) Write(h *fasthttp.RequestHeader) {
	h.Set(HeaderAttempt, e.attempt)
	h.Set(HeaderIncarnation, e.incarnation)
	h.Set(HeaderService, e.service)
	h.Set(HeaderAccount, e.account)
	h.Set(HeaderTimeout, strconv.FormatInt(e.timeout.Milliseconds(), 10))
	if e.key != "" {
		h.Set(HeaderKey, e.key)
	}
	if e.suspect {
		h.Set(HeaderSuspect, "true")
	}
}

// ReadEnvelope takes the envelope out of a request's headers.
func ReadEnvelope(h *fasthttp.RequestHeader) (Envelope, error) {
	ms, err := strconv.ParseInt(string(h.Peek(HeaderTimeout)), 10, 64)
	if err != nil {
		return Envelope{}, fmt.Errorf("attempt: header %s: %w", HeaderTimeout, err)
	}
	e := Envelope{
		attempt:     string(h.Peek(HeaderAttempt)),
		incarnation: string(h.Peek(HeaderIncarnation)),
		service:     string(h.Peek(HeaderService)),
		account:     string(h.Peek(HeaderAccount)),
		key:         string(h.Peek(HeaderKey)),
		timeout:     time.Duration(ms) * time.Millisecond,
		suspect:     string(h.Peek(HeaderSuspect)) == "true",
	}
	if e.attempt == "" || e.service == "" || e.account == "" {
		return Envelope{}, fmt.Errorf("attempt: envelope without attempt, service or account")
	}
	return e, nil
}

// Holder says where the answer of another attempt under the same key is.
type Holder struct {
	attempt     string
	incarnation string
	traffic     string
	peer        string
}

// NewHolder describes an attempt at an agent's addresses.
func NewHolder(attempt, incarnation, traffic, peer string) Holder {
	return Holder{attempt: attempt, incarnation: incarnation, traffic: traffic, peer: peer}
}

// Attempt returns the holding attempt's id.
func (h Holder) Attempt() string { return h.attempt }

// Incarnation returns the holding agent's incarnation.
func (h Holder) Incarnation() string { return h.incarnation }

// Traffic returns the holding agent's traffic address.
func (h Holder) Traffic() string { return h.traffic }

// Peer returns the holding agent's peer address.
func (h Holder) Peer() string { return h.peer }

// WriteHolder puts a holder into an answer's headers.
func WriteHolder(to *fasthttp.ResponseHeader, h Holder) {
	to.Set(HeaderOutcome, OutcomeHeld)
	to.Set(HeaderHolder, h.attempt)
	to.Set(HeaderIncarnation, h.incarnation)
	to.Set(HeaderHolderTraffic, h.traffic)
	to.Set(HeaderHolderPeer, h.peer)
}

// ReadHolder takes a holder out of an answer's headers.
func ReadHolder(from *fasthttp.ResponseHeader) Holder {
	return Holder{
		attempt:     string(from.Peek(HeaderHolder)),
		incarnation: string(from.Peek(HeaderIncarnation)),
		traffic:     string(from.Peek(HeaderHolderTraffic)),
		peer:        string(from.Peek(HeaderHolderPeer)),
	}
}

// hopByHop are the headers of RFC 9110, section 7.6.1, and those that the
// sender writes itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Host", "Content-Length",
}

// Forwarded reports whether a header travels on to the next hop.
func Forwarded(name string) bool {
	if len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix) {
		return false
	}
	for _, h := range hopByHop {
		if strings.EqualFold(h, name) {
			return false
		}
	}
	return true
}
