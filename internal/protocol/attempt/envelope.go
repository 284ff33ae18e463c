package attempt

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers, trailers, paths and outcomes used between entries and agents. Of the
// headers only RequestID is forwarded to a caller or a target.
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

// Envelope contains what an agent needs to know about a request in addition to the
// request itself. It is sent in headers.
type Envelope struct {
	attempt     string
	incarnation string
	service     string
	account     string
	key         string
	timeout     time.Duration
	suspect     bool
}

// NewEnvelope returns the envelope of one attempt, addressed to one incarnation of
// an agent.
func NewEnvelope(attempt, incarnation, service, account string, timeout time.Duration) Envelope {
	return Envelope{attempt: attempt, incarnation: incarnation, service: service, account: account, timeout: timeout}
}

// WithKey returns the envelope with an idempotency key, for a request that must run
// at most once.
func (e Envelope) WithKey(key string) Envelope {
	e.key = key
	return e
}

// AsSuspect returns the envelope marked as that of a suspect request, one that was
// running when a target died.
func (e Envelope) AsSuspect() Envelope {
	e.suspect = true
	return e
}

// Attempt returns the attempt id.
func (e Envelope) Attempt() string { return e.attempt }

// Incarnation returns the incarnation of the agent to which the envelope is
// addressed. An incarnation is one run of a process.
func (e Envelope) Incarnation() string { return e.incarnation }

// Service returns the service's name.
func (e Envelope) Service() string { return e.service }

// Account returns the client account's name.
func (e Envelope) Account() string { return e.account }

// Key returns the idempotency key, or "" if the request is idempotent.
func (e Envelope) Key() string { return e.key }

// Timeout returns the maximum time until the answer begins.
func (e Envelope) Timeout() time.Duration { return e.timeout }

// Suspect reports whether the request was running when a target died.
func (e Envelope) Suspect() bool { return e.suspect }

// Write sets the headers that describe the envelope.
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

// ReadEnvelope reads an envelope from the headers of a request.
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

// Holder identifies the attempt that holds an idempotency key, and the agent that
// has its answer.
type Holder struct {
	attempt     string
	incarnation string
	traffic     string
	peer        string
}

// NewHolder returns the holder with the given attempt, and the incarnation and
// addresses of its agent.
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

// WriteHolder sets the headers of a reply to an attempt that names a holder.
func WriteHolder(to *fasthttp.ResponseHeader, attempt string, h Holder) {
	to.Set(HeaderOutcome, OutcomeHeld)
	to.Set(HeaderAttempt, attempt)
	to.Set(HeaderHolder, h.attempt)
	to.Set(HeaderIncarnation, h.incarnation)
	to.Set(HeaderHolderTraffic, h.traffic)
	to.Set(HeaderHolderPeer, h.peer)
}

// ReadHolder reads a holder from the headers of a reply.
func ReadHolder(from *fasthttp.ResponseHeader) Holder {
	return Holder{
		attempt:     string(from.Peek(HeaderHolder)),
		incarnation: string(from.Peek(HeaderIncarnation)),
		traffic:     string(from.Peek(HeaderHolderTraffic)),
		peer:        string(from.Peek(HeaderHolderPeer)),
	}
}

// notForwarded lists the hop-by-hop headers of RFC 9110, section 7.6.1, and the
// headers that each sender sets itself.
var notForwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Host", "Content-Length",
}

// Forwarded reports whether a header is forwarded to the next hop.
func Forwarded(name string) bool {
	if len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix) {
		return false
	}
	for _, h := range notForwarded {
		if strings.EqualFold(h, name) {
			return false
		}
	}
	return true
}
