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

// The headers that a caller sends.
const (
	headerAPIKey         = "X-Api-Key"
	headerAuthorization  = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Request-Timeout-Ms"
	bearer               = "Bearer "
	maxKeyBytes          = 255
)

// call is one caller's request on its way.
type call struct {
	service     *service.Service
	account     *account.Account
	request     *fasthttp.Request
	key         string
	deadline    time.Time
	wants       route.Request
	units       int
	fingerprint uint64
	suspect     bool
	tried       []*route.Candidate
}

// keyed reports whether the request may run at most once.
func (c *call) keyed() bool { return c.key != "" }

// refuse describes a refusal of this call.
func (c *call) refuse(r refusal.Reason, e refusal.Effect, detail string) *refusal.Refusal {
	return &refusal.Refusal{
		Reason:  r,
		Effect:  e,
		Account: c.account.Name(),
		Service: c.service.Name(),
		Detail:  detail,
	}
}

// notRun is a refusal of a request that no agent has seen.
func notRun(r refusal.Reason, detail string) *refusal.Refusal {
	return &refusal.Refusal{Reason: r, Effect: refusal.NotRun, Detail: detail}
}

// read makes a call of a caller's request, or refuses it.
func (e *Entry) read(c fiber.Ctx, now time.Time) (*call, *refusal.Refusal) {
	conf := e.member.Config()
	if conf == nil {
		return nil, notRun(refusal.NotReady, "no configuration yet")
	}
	owner, refused := caller(c, conf)
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
		return nil, out.refuse(refusal.Forbidden, refusal.NotRun, "the account may not use this service")
	}
	if l := e.table.Load().limiters[owner.Name()]; l != nil && !l.AllowN(now, 1) {
		r := out.refuse(refusal.RateLimited, refusal.NotRun, "over the account's requests per second")
		r.RetryAfter = 1
		return nil, r
	}
	if refused := out.readDeadline(c, now); refused != nil {
		return nil, refused
	}
	if refused := out.readKey(c, path); refused != nil {
		return nil, refused
	}
	out.readBody(c, path)
	return out, nil
}

// caller finds the account that owns the API key.
func caller(c fiber.Ctx, conf *config.Config) (*account.Account, *refusal.Refusal) {
	key := c.Get(headerAPIKey)
	if key == "" {
		value := c.Get(headerAuthorization)
		if len(value) > len(bearer) && value[:len(bearer)] == bearer {
			key = value[len(bearer):]
		}
	}
	if key == "" {
		return nil, notRun(refusal.Unauthorized, "no API key")
	}
	a := conf.AccountByKey(key)
	if a == nil {
		return nil, notRun(refusal.Unauthorized, "unknown API key")
	}
	return a, nil
}

// splitPath takes the service's name off a path.
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

func (c *call) readDeadline(f fiber.Ctx, now time.Time) *refusal.Refusal {
	timeout := c.service.DefaultTimeout()
	if text := f.Get(headerTimeout); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 {
			return c.refuse(refusal.BadRequest, refusal.NotRun, headerTimeout+" is not a number of milliseconds over zero")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = now.Add(timeout)
	return nil
}

// readKey takes the idempotency key of a request that may run at most once.
func (c *call) readKey(f fiber.Ctx, path string) *refusal.Refusal {
	if !c.service.IsNonIdempotent(f.Method(), path) {
		return nil
	}
	c.key = f.Get(headerIdempotencyKey)
	if len(c.key) > maxKeyBytes {
		return c.refuse(refusal.BadRequest, refusal.NotRun, "the idempotency key is over 255 bytes long")
	}
	if c.key != "" {
		return nil
	}
	if c.service.IsKeyRequired() {
		return c.refuse(refusal.NoIdempotencyKey, refusal.NotRun, "this request may run at most once and needs an "+headerIdempotencyKey)
	}
	c.key = unkeyed
	return nil
}

// unkeyed stands for the key of a request that needs none; the entry makes
// one of the attempt id, so that it still runs at most once.
const unkeyed = "\x00"

// readBody copies what travels on, without the caller's secrets.
func (c *call) readBody(f fiber.Ctx, path string) {
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
	c.wants = route.NewRequest(c.units, c.affinity(prompt))
}

// affinity is where an engine keeps the prompt's prefix; 0 for plain ones.
func (c *call) affinity(p engine.Prompt) uint64 {
	if c.service.Kind() != service.Engine {
		return 0
	}
	return route.Hash(c.account.Name(), string(p.Prefix()))
}
