package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/switchover"
	"bluebellcrank/internal/state/expert"
)

const (
	pathRank  = "/rank"
	pathMap   = "/rank/map"
	pathGrant = "/rank/grant"
)

// RankState is what the engine of one rank says. The wire format is the
// project's guess until the users name theirs.
type RankState struct {
	// Step is the next step to run, Granted the one before which it may run.
	Step    int64 `json:"step"`
	Granted int64 `json:"granted"`
	// Changes are the maps that the engine was told of, the last in force.
	Changes []switchover.Change `json:"changes"`
	// Starts is how often an agent has introduced itself.
	Starts int64 `json:"starts"`
	// Tokens is how many tokens each expert got of late, Speed is 1 for a
	// sound rank.
	Tokens []float64 `json:"tokens"`
	Speed  float64   `json:"speed"`
	Slots  int       `json:"slots"`
}

// MapOrder has a rank load the experts of a map.
type MapOrder struct {
	Fence   int64              `json:"fence"`
	Version int64              `json:"version"`
	Experts [][]expert.Replica `json:"experts"`
}

// GrantOrder lets a rank run steps before Until on the maps of Changes.
type GrantOrder struct {
	Until   int64               `json:"until"`
	Changes []switchover.Change `json:"changes"`
	Starts  int64               `json:"starts"`
}

// ReadRank asks a rank's engine for its state.
func ReadRank(address string, timeout time.Duration) (RankState, error) {
	var s RankState
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + pathRank)
	if err := fasthttp.DoTimeout(req, resp, timeout); err != nil {
		return s, fmt.Errorf("engine: rank: %w", err)
	}
	if err := json.Unmarshal(resp.Body(), &s); err != nil {
		return s, fmt.Errorf("engine: rank: %w", err)
	}
	return s, nil
}

// OrderMap has the engine load a map, and returns when it has.
func OrderMap(address string, o MapOrder, timeout time.Duration) error {
	return order(address, pathMap, o, timeout)
}

// OrderGrant tells the engine how far it may run.
func OrderGrant(address string, o GrantOrder, timeout time.Duration) error {
	return order(address, pathGrant, o, timeout)
}

func order(address, path string, o any, timeout time.Duration) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, timeout); err != nil {
		return fmt.Errorf("engine: %s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("engine: %s: status %d", path, resp.StatusCode())
	}
	return nil
}
