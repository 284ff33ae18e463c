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

// RankState is the report of the engine of one rank. The wire format is an
// assumption, not a confirmed format of any engine.
type RankState struct {
	// Step is the next step to run. The rank may run only the steps before Granted.
	Step    int64 `json:"step"`
	Granted int64 `json:"granted"`
	// Changes lists the expert maps of the last grant, each with the step from
	// which it applies. The last one whose step is reached is in force.
	Changes []switchover.Change `json:"changes"`
	// Starts is the highest number of agent starts that a grant has reported.
	Starts int64 `json:"starts"`
	// Tokens contains the recent number of tokens of each expert. Speed is 1 for a
	// healthy rank. Slots is the number of experts that the rank can hold.
	Tokens []float64 `json:"tokens"`
	Speed  float64   `json:"speed"`
	Slots  int       `json:"slots"`
}

// MapOrder orders a rank to load the experts of a map. Fence is the fencing number
// of the leader's lease.
type MapOrder struct {
	Fence   int64              `json:"fence"`
	Version int64              `json:"version"`
	Experts [][]expert.Replica `json:"experts"`
}

// GrantOrder allows a rank to run the steps before Until with the maps in Changes.
// Starts is the number of starts of the rank's agent.
type GrantOrder struct {
	Until   int64               `json:"until"`
	Changes []switchover.Change `json:"changes"`
	Starts  int64               `json:"starts"`
}

// ReadRank requests the state of a rank from its engine.
func ReadRank(address string, timeout time.Duration) (RankState, error) {
	var s RankState
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + pathRank)
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return s, fmt.Errorf("engine: rank: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return s, fmt.Errorf("engine: rank: status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &s); err != nil {
		return s, fmt.Errorf("engine: rank: %w", err)
	}
	return s, nil
}

// OrderMap orders the engine to load a map, and returns once the map is loaded.
func OrderMap(address string, o MapOrder, timeout time.Duration) error {
	return postOrder(address, pathMap, o, timeout)
}

// OrderGrant tells the engine which steps it may run.
func OrderGrant(address string, o GrantOrder, timeout time.Duration) error {
	return postOrder(address, pathGrant, o, timeout)
}

func postOrder(address, path string, o any, timeout time.Duration) error {
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
	if err := callOnce(req, resp, timeout); err != nil {
		return fmt.Errorf("engine: %s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("engine: %s: status %d", path, resp.StatusCode())
	}
	return nil
}
