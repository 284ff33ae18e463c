package entry

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/coordination/route"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/engine"
	"bluebellcrank/internal/state/account"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/service"
)

// Request headers that callers send.
const (
	headerAPIKey         = "X-Api-Key"
	headerAuthorization  = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Request-Timeout-Ms"
	bearerPrefix         = "Bearer "
	maxKeyBytes          = 255
)

// call is the state of one request of a caller. Units is its cost in units of work,
// tried contains the targets already chosen for it, and fingerprint identifies it when it
// is a suspect, a request that was running when a target died.
type call struct {
	service     *service.Service
	account     *account.Account
	request     *fasthttp.Request
	key         string
	deadline    time.Time
	routing     route.Request
	units       int
	fingerprint uint64
	isSuspect   bool
	tried       []*route.Candidate
	// reserved is the target of the next attempt, if one is chosen, and hasRetry is set if
	// the retry budget has granted it.
	reserved *route.Candidate
	hasRetry bool
}

// isKeyed reports whether the request has an idempotency key, or the attempt ID in place
// of one, and so may run at most once.
func (c *call) isKeyed() bool { return c.key != "" }

// newRefusal returns a refusal with the call's account and service.
func (c *call) newRefusal(r refusal.Reason, e refusal.Effect, detail string) *refusal.Refusal {
	return &refusal.Refusal{
		Reason:  r,
		Effect:  e,
		Account: c.account.Name(),
		Service: c.service.Name(),
		Detail:  detail,
	}
}

// refusedBeforeRun returns a refusal of a request that was not sent to an agent and
// whose account and service are unknown.
func refusedBeforeRun(r refusal.Reason, detail string) *refusal.Refusal {
	return &refusal.Refusal{Reason: r, Effect: refusal.NotRun, Detail: detail}
}

// readCall authenticates and validates a caller's request. It returns the call or a
// refusal.
func (e *Entry) readCall(c fiber.Ctx, now time.Time) (*call, *refusal.Refusal) {
	conf := e.member.Config()
	if conf == nil {
		return nil, refusedBeforeRun(refusal.NotReady, "no configuration yet")
	}
	owner, refused := authenticate(c, conf)
	if refused != nil {
		return nil, refused
	}
	name, path := splitPath(c.Path())
	s := conf.Service(name)
	if s == nil {
		return nil, &refusal.Refusal{Reason: refusal.UnknownService, Effect: refusal.NotRun, Account: owner.Name(), Detail: "no service " + strconv.Quote(name)}
	}
	out := &call{service: s, account: owner}
	if !owner.MayUse(name) {
		return nil, out.newRefusal(refusal.Forbidden, refusal.NotRun, "the account may not use this service")
	}
	if l := e.table.Load().limiters[owner.Name()]; l != nil && !l.AllowN(now, 1) {
		r := out.newRefusal(refusal.RateLimited, refusal.NotRun, "over the account's requests per second")
		r.RetryAfter = 1
		return nil, r
	}
	if refused := out.readDeadline(c, now); refused != nil {
		return nil, refused
	}
	if refused := out.readIdempotencyKey(c, path); refused != nil {
		return nil, refused
	}
	out.readRequest(c, path)
	return out, nil
}

// authenticate returns the account that owns the request's API key.
func authenticate(c fiber.Ctx, conf *config.Config) (*account.Account, *refusal.Refusal) {
	key := c.Get(headerAPIKey)
	if key == "" {
		value := c.Get(headerAuthorization)
		if len(value) > len(bearerPrefix) && value[:len(bearerPrefix)] == bearerPrefix {
			key = value[len(bearerPrefix):]
		}
	}
	if key == "" {
		return nil, refusedBeforeRun(refusal.Unauthorized, "no API key")
	}
	a := conf.AccountByKey(key)
	if a == nil {
		return nil, refusedBeforeRun(refusal.Unauthorized, "unknown API key")
	}
	return a, nil
}

// splitPath splits a path into the service's name and the path at the service.
func splitPath(path string) (name, rest string) {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i], path[i:]
		}
	}
	if path == "" {
		return "", "/"
	}
	return path[1:], "/"
}

// readDeadline sets the deadline from the timeout header. The service's default
// timeout is the upper limit.
func (c *call) readDeadline(f fiber.Ctx, now time.Time) *refusal.Refusal {
	timeout := c.service.DefaultTimeout()
	if text := f.Get(headerTimeout); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 {
			return c.newRefusal(refusal.BadRequest, refusal.NotRun, headerTimeout+" is not a number of milliseconds over zero")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = now.Add(timeout)
	return nil
}

// readIdempotencyKey sets the idempotency key of a request that may run at most once.
func (c *call) readIdempotencyKey(f fiber.Ctx, path string) *refusal.Refusal {
	if !c.service.IsNonIdempotent(f.Method(), path) {
		return nil
	}
	c.key = f.Get(headerIdempotencyKey)
	if len(c.key) > maxKeyBytes {
		return c.newRefusal(refusal.BadRequest, refusal.NotRun, "the idempotency key is over 255 bytes long")
	}
	if c.key != "" {
		return nil
	}
	if c.service.IsKeyRequired() {
		return c.newRefusal(refusal.NoIdempotencyKey, refusal.NotRun, "this request may run at most once and needs an "+headerIdempotencyKey)
	}
	c.key = attemptAsKey
	return nil
}

// attemptAsKey is the key of a non-idempotent request whose caller sent none. The entry
// replaces it by the attempt ID, so that the request still runs at most once.
const attemptAsKey = "\x00"

// readRequest copies the request without the API key and the headers that are not
// forwarded, and derives the fingerprint, the cost and the routing data from it.
func (c *call) readRequest(f fiber.Ctx, path string) {
	req := &fasthttp.Request{}
	f.Request().CopyTo(req)
	for name := range f.Request().Header.All() {
		if !attempt.Forwarded(string(name)) {
			req.Header.DelBytes(name)
		}
	}
	req.Header.Del(headerAPIKey)
	req.Header.Del(headerAuthorization)
	uri := path
	if q := f.Request().URI().QueryString(); len(q) > 0 {
		uri += "?" + string(q)
	}
	req.SetRequestURI(uri)
	c.request = req
	body := req.Body()
	c.fingerprint = retry.Fingerprint(c.account.Name(), c.service.Name(), f.Method(), uri, body)
	prompt := engine.ReadPrompt(body)
	c.units = c.service.Cost(len(body), prompt.MaxTokens())
	c.routing = route.NewRequest(c.units, c.affinity(prompt))
}

// affinity returns a hash of the account and the prompt prefix, so that requests with
// the same prefix prefer the same engine, whose cache may hold the prefix. It returns 0
// for plain services.
func (c *call) affinity(p engine.Prompt) uint64 {
	if c.service.Kind() != service.Engine {
		return 0
	}
	return route.Hash(c.account.Name(), string(p.Prefix()))
}
