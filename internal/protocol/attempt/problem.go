package attempt

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/state/refusal"
)

// Headers that tell a caller why a request was refused and whether it ran.
const (
	HeaderEffect       = "Request-Effect"
	HeaderReason       = "Refusal-Reason"
	HeaderRefusalID    = "Refusal-Id"
	problemContentType = "application/problem+json"
)

// problem is the body of an RFC 9457 problem response with extension members.
type problem struct {
	Type      string         `json:"type"`
	Title     string         `json:"title"`
	Status    int            `json:"status"`
	Detail    string         `json:"detail,omitempty"`
	Reason    refusal.Reason `json:"reason"`
	Effect    refusal.Effect `json:"request-effect"`
	RefusalID string         `json:"refusal-id"`
	Attempt   string         `json:"attempt,omitempty"`
}

// WriteProblem replaces a response with the problem details of a refusal.
func WriteProblem(resp *fasthttp.Response, r refusal.Refusal) {
	status := r.Reason.Status()
	body, err := json.Marshal(problem{
		Type:      "urn:bluebellcrank:refusal:" + string(r.Reason),
		Title:     title(r.Effect),
		Status:    status,
		Detail:    r.Detail,
		Reason:    r.Reason,
		Effect:    r.Effect,
		RefusalID: r.ID,
		Attempt:   r.Attempt,
	})
	if err != nil {
		panic(err)
	}
	resp.Reset()
	resp.SetStatusCode(status)
	resp.Header.SetContentType(problemContentType)
	resp.Header.Set(HeaderEffect, string(r.Effect))
	resp.Header.Set(HeaderReason, string(r.Reason))
	resp.Header.Set(HeaderRefusalID, r.ID)
	if r.RetryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(r.RetryAfter))
	}
	resp.SetBody(body)
}

func title(e refusal.Effect) string {
	if e == refusal.NotRun {
		return "The request was not run"
	}
	return "It is unknown whether the request ran"
}

// ReadProblem reads a refusal from the problem details in the body of an agent's
// reply.
func ReadProblem(body []byte) (refusal.Refusal, error) {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil {
		return refusal.Refusal{}, err
	}
	return refusal.Refusal{
		ID:      p.RefusalID,
		Reason:  p.Reason,
		Effect:  p.Effect,
		Attempt: p.Attempt,
		Detail:  p.Detail,
	}, nil
}
