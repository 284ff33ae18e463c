package pace

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/netip"
)

const (
	// Path is the path at which entries take notices, on the port for other instances.
	Path = "/paces"
	// maxEngines is the largest number of engines in a notice, twice the ranks of the
	// largest group.
	maxEngines = 512
	// maxNoticeBytes bounds the body of a notice.
	maxNoticeBytes = 64 << 10
)

// Engine is the pace of one engine. Its fields are exported, because they are plain decoded
// values.
type Engine struct {
	// Address is where the engine takes requests (IP address and port).
	Address string `json:"address"`
	// Pace is 1 for an engine of normal speed, and 4 for one that is four times slower.
	Pace float64 `json:"pace"`
}

// Encode returns the body of a notice about some engines.
func Encode(engines []Engine) ([]byte, error) { return json.Marshal(engines) }

// Decode reads the body of a notice. It returns an error if the notice is too large, or if
// any of its engines has no address or no valid pace.
func Decode(body io.Reader) ([]Engine, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxNoticeBytes+1))
	if err != nil {
		return nil, fmt.Errorf("pace: read notice: %w", err)
	}
	if len(data) > maxNoticeBytes {
		return nil, fmt.Errorf("pace: notice exceeds %d bytes", maxNoticeBytes)
	}
	var out []Engine
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, fmt.Errorf("pace: decode notice: %w", err)
	}
	if len(out) > maxEngines {
		return nil, fmt.Errorf("pace: notice has %d engines, more than %d", len(out), maxEngines)
	}
	for _, e := range out {
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return nil, fmt.Errorf("pace: engine %q: %w", e.Address, err)
		}
		if math.IsNaN(e.Pace) || e.Pace < 1 || math.IsInf(e.Pace, 1) {
			return nil, fmt.Errorf("pace: engine %s: %v is no pace", e.Address, e.Pace)
		}
	}
	return out, nil
}
