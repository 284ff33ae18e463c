package expert

import (
	"fmt"
	"slices"
)

// Replica is one copy of an expert and the part of the expert's tokens that
// goes there.
type Replica struct {
	Rank int     `json:"rank"`
	Share float64 `json:"part"`
}

// Map places the experts of one layer on the ranks of a group. All ranks use
// one and the same map in a step.
type Map struct {
	version  int64
	ranks    int
	slots    int
	replicas [][]Replica
}

// Defaults returns a map that spreads the experts over the ranks in order,
// one copy each, and leaves the other slots free.
func Defaults(experts, ranks, slots int) *Map {
	m := &Map{ranks: ranks, slots: slots, replicas: make([][]Replica, experts)}
	for e := range m.replicas {
		m.replicas[e] = []Replica{{Rank: e * ranks / experts, Share: 1}}
	}
	return m
}

// Validate returns what is wrong with the map.
func (m *Map) Validate() error {
	used := make([]int, m.ranks)
	for e, list := range m.replicas {
		if len(list) == 0 {
			return fmt.Errorf("expert: expert %d is on no rank", e)
		}
		seen := map[int]bool{}
		sum := 0.0
		for _, r := range list {
			if r.Rank < 0 || r.Rank >= m.ranks || seen[r.Rank] {
				return fmt.Errorf("expert: expert %d stands twice on rank %d, or there is no such rank", e, r.Rank)
			}
			seen[r.Rank] = true
			used[r.Rank]++
			sum += r.Share
		}
		if sum < 0.999 || sum > 1.001 {
			return fmt.Errorf("expert: the parts of expert %d add up to %.3f", e, sum)
		}
	}
	for r, n := range used {
		if n > m.slots {
			return fmt.Errorf("expert: rank %d holds %d experts in %d slots", r, n, m.slots)
		}
	}
	return nil
}

// Version returns the map's number; a later one is larger.
func (m *Map) Version() int64 { return m.version }

// WithVersion returns the same placement under a number.
func (m *Map) WithVersion(v int64) *Map {
	out := m.Clone()
	out.version = v
	return out
}

// Ranks returns the number of ranks.
func (m *Map) Ranks() int { return m.ranks }

// Slots returns how many experts one rank can hold.
func (m *Map) Slots() int { return m.slots }

// Experts returns the number of experts.
func (m *Map) Experts() int { return len(m.replicas) }

// Replicas returns where an expert is; the slice must not be changed.
func (m *Map) Replicas(e int) []Replica { return m.replicas[e] }

// Clone returns a map that can be changed on its own.
func (m *Map) Clone() *Map {
	out := *m
	out.replicas = make([][]Replica, len(m.replicas))
	for e, list := range m.replicas {
		out.replicas[e] = slices.Clone(list)
	}
	return &out
}

// SetReplicas replaces the replicas of an expert.
func (m *Map) SetReplicas(e int, list []Replica) { m.replicas[e] = list }

// Holds reports whether a rank holds an expert.
func (m *Map) Holds(e, rank int) bool {
	return slices.ContainsFunc(m.replicas[e], func(r Replica) bool { return r.Rank == rank })
}

// RankLoads returns the part of all tokens that goes to each rank, from the part
// of all tokens that each expert gets.
func (m *Map) RankLoads(popularity []float64) []float64 {
	out := make([]float64, m.ranks)
	for e, list := range m.replicas {
		for _, r := range list {
			out[r.Rank] += popularity[e] * r.Share
		}
	}
	return out
}

// CountLoads returns how many expert copies a rank must load to get from one map
// to another.
func CountLoads(from, to *Map) int {
	n := 0
	for e, list := range to.replicas {
		for _, r := range list {
			if !from.Holds(e, r.Rank) {
				n++
			}
		}
	}
	return n
}
