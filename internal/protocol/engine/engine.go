package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// maxPrefixBytes is the maximum number of bytes at the start of a request body that
// Prompt.Prefix returns.
const maxPrefixBytes = 512

// Load is a target's report of its own state. The wire format is an assumption, not
// a confirmed format of any target. Boot identifies the run of the target, Running
// is the number of its running requests, and Leaving reports that it is shutting
// down.
type Load struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
}

// ReadLoad requests the load report of a target.
func ReadLoad(address, path string, timeout time.Duration) (Load, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	var l Load
	if err := callOnce(req, resp, timeout); err != nil {
		return l, fmt.Errorf("engine: load: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return l, fmt.Errorf("engine: load: status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &l); err != nil {
		return l, fmt.Errorf("engine: load: %w", err)
	}
	return l, nil
}

// Prompt contains the parts of a generation request that load balancing uses.
type Prompt struct {
	maxTokens int
	prefix    []byte
}

// ReadPrompt reads a request body. If the body is not valid JSON, the token count is
// 0. The prefix refers to the memory of body.
func ReadPrompt(body []byte) Prompt {
	var r struct {
		MaxTokens int `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &r)
	return Prompt{maxTokens: r.MaxTokens, prefix: body[:min(len(body), maxPrefixBytes)]}
}

// MaxTokens returns the maximum number of tokens to generate, 0 if the request does
// not set it.
func (p Prompt) MaxTokens() int { return p.maxTokens }

// Prefix returns the beginning of the request body. Requests with the same prefix
// are preferably sent to the same target, whose cache may hold their prompt.
func (p Prompt) Prefix() []byte { return p.prefix }
