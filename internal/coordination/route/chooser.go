package route

import (
	"math/rand/v2"
	"strconv"
)

const (
	// affinityBound is how far over the mean load a target may be and still
	// get a request for the sake of its cached prefix: consistent hashing
	// with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).
	affinityBound = 1.25
	// affinityFloor is the load, as a part of the limit, below which a target
	// counts as free whatever the mean.
	affinityFloor = 0.5
	// farPenalty is the load, as a part of the limit, that another data
	// centre has to be better by.
	farPenalty = 0.25
	// sampleSize is how many candidates are compared for one request.
	sampleSize = 4
)

// Request is what the choice depends on.
type Request struct {
	units    int
	affinity uint64
}

// NewRequest returns a request of some units; affinity is a hash of its
// prompt prefix, or 0 for none.
func NewRequest(units int, affinity uint64) Request {
	return Request{units: units, affinity: affinity}
}

// Affinity returns the hash of the prompt prefix as text, or "" for none.
func (r Request) Affinity() string {
	if r.affinity == 0 {
		return ""
	}
	return strconv.FormatUint(r.affinity, 16)
}

// Set is an immutable list of candidates.
type Set struct {
	candidates []*Candidate
}

// NewSet returns a set; the slice is not changed afterwards.
func NewSet(candidates []*Candidate) *Set {
	return &Set{candidates: candidates}
}

// Candidates returns the members.
func (s *Set) Candidates() []*Candidate { return s.candidates }

// Pick returns the target for a request, or nil where none may be chosen.
// Tried are the ones that have already refused it.
func (s *Set) Pick(r Request, tried []*Candidate, random *rand.Rand) *Candidate {
	if r.affinity != 0 {
		if c := s.home(r, tried); c != nil {
			return c
		}
	}
	return s.best(r, tried, random)
}

// home returns the target with the request's prefix, unless it is loaded
// too far over the others.
func (s *Set) home(r Request, tried []*Candidate) *Candidate {
	var first, second *Candidate
	var firstWeight, secondWeight uint64
	sum, n := 0.0, 0
	for _, c := range s.candidates {
		load, ok := c.load(r.units)
		if !ok {
			continue
		}
		sum += load
		n++
		w := mix(c.hash ^ r.affinity)
		switch {
		case first == nil || w > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = c, w
		case second == nil || w > secondWeight:
			second, secondWeight = c, w
		}
	}
	if n == 0 {
		return nil
	}
	bound := max(affinityFloor, affinityBound*sum/float64(n))
	for _, c := range [2]*Candidate{first, second} {
		if c == nil || contains(tried, c) {
			continue
		}
		if load, _ := c.load(r.units); load <= min(bound, 1) {
			return c
		}
	}
	return nil
}

// best compares a sample of the candidates by load, distance and pace.
func (s *Set) best(r Request, tried []*Candidate, random *rand.Rand) *Candidate {
	n := len(s.candidates)
	if n == 0 {
		return nil
	}
	var best *Candidate
	bestScore := 0.0
	seen := 0
	start := random.IntN(n)
	for i := 0; i < n && seen < sampleSize; i++ {
		c := s.candidates[(start+i*stride(n))%n]
		if contains(tried, c) {
			continue
		}
		load, ok := c.load(r.units)
		if !ok {
			continue
		}
		seen++
		if score := c.score(load); best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// score orders candidates; lower is better. A target with room costs its
// pace, one without costs the wait as well.
func (c *Candidate) score(load float64) float64 {
	if !c.near {
		load += farPenalty
	}
	return load * c.pace()
}

// stride is coprime to n, so that a walk meets every candidate once.
func stride(n int) int {
	for _, p := range [...]int{7, 11, 13} {
		if n%p != 0 {
			return p
		}
	}
	return 1
}

func contains(list []*Candidate, c *Candidate) bool {
	for _, o := range list {
		if o == c {
			return true
		}
	}
	return false
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
