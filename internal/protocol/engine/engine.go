package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// prefixBytes is how much of a prompt decides where its prefix is cached.
const prefixBytes = 512

// Load is a target's report of its own state. The wire format is the
// project's guess until the users name theirs.
type Load struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
}

// ReadLoad asks a target for its load.
func ReadLoad(address, path string, timeout time.Duration) (Load, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.SetConnectionClose()
	var l Load
	if err := fasthttp.DoTimeout(req, resp, timeout); err != nil {
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

// Prompt is what a balancer reads of a generation request.
type Prompt struct {
	maxTokens int
	prefix    []byte
}

// ReadPrompt reads a request body; one that is not JSON has no token count.
func ReadPrompt(body []byte) Prompt {
	var r struct {
		MaxTokens int `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &r)
	return Prompt{maxTokens: r.MaxTokens, prefix: body[:min(len(body), prefixBytes)]}
}

// MaxTokens returns how many tokens may be generated, 0 where unsaid.
func (p Prompt) MaxTokens() int { return p.maxTokens }

// Prefix returns the part that decides where the prompt is cached.
func (p Prompt) Prefix() []byte { return p.prefix }
