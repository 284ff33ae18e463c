package route

import (
	"math/rand/v2"
	"strconv"
)

const (
	// affinityLoadFactor is the ratio to the mean load up to which a target
	// gets requests for its cached prefix, as in consistent hashing with
	// bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).
	affinityLoadFactor = 1.25
	// affinityFreeLoad is the load, as a fraction of the limit, up to which a
	// target gets requests for its cached prefix whatever the mean load is.
	affinityFreeLoad = 0.5
	// remotePenalty is the load, as a fraction of the limit, that is added to
	// targets in other data centres when targets are compared.
	remotePenalty = 0.25
	// sampleSize is the number of candidates compared for one request.
	sampleSize = 4
)

// Request describes the request for which a target is chosen.
type Request struct {
	units    int
	affinity uint64
}

// NewRequest returns a request of the given number of units of work; affinity is a
// hash of its prompt prefix, or 0 for none.
func NewRequest(units int, affinity uint64) Request {
	return Request{units: units, affinity: affinity}
}

// Affinity returns the hash of the prompt prefix in hexadecimal, or "" for none.
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

// NewSet returns a set of candidates. The caller must not change the slice
// afterwards.
func NewSet(candidates []*Candidate) *Set {
	return &Set{candidates: candidates}
}

// Candidates returns the candidates; the caller must not change the slice.
func (s *Set) Candidates() []*Candidate { return s.candidates }

// Pick returns the target for a request, or nil if no target may be chosen. The
// tried candidates have already refused the request and are left out.
func (s *Set) Pick(r Request, tried []*Candidate, random *rand.Rand) *Candidate {
	if r.affinity != 0 {
		if c := s.pickByAffinity(r, tried); c != nil {
			return c
		}
	}
	return s.pickByScore(r, tried, random)
}

// pickByAffinity returns the target that is most likely to have the request's
// prompt prefix in its cache: the one with the highest rendezvous weight for the
// prefix, or the second highest if the first one is too loaded or already tried.
// It returns nil if neither can be used.
func (s *Set) pickByAffinity(r Request, tried []*Candidate) *Candidate {
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
	bound := max(affinityFreeLoad, affinityLoadFactor*sum/float64(n))
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

// pickByScore returns the candidate with the best score in a sample of sampleSize
// candidates that may be chosen, or nil if there is none.
func (s *Set) pickByScore(r Request, tried []*Candidate, random *rand.Rand) *Candidate {
	n := len(s.candidates)
	if n == 0 {
		return nil
	}
	var best *Candidate
	bestScore := 0.0
	sampled := 0
	start := random.IntN(n)
	for i := 0; i < n && sampled < sampleSize; i++ {
		c := s.candidates[(start+i*stride(n))%n]
		if contains(tried, c) {
			continue
		}
		load, ok := c.load(r.units)
		if !ok {
			continue
		}
		sampled++
		if score := c.score(load); best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// score returns the cost of a candidate; lower is better. The cost is the reported
// latency times the load, which grows with the waiting time of a full target.
// Candidates in other data centres count as more loaded.
func (c *Candidate) score(load float64) float64 {
	if !c.isLocal {
		load += remotePenalty
	}
	return load * c.latencyMs()
}

// stride returns a step that is coprime to n, so that a walk of n steps visits each
// candidate once.
func stride(n int) int {
	for _, p := range [...]int{7, 11, 13} {
		if n%p != 0 {
			return p
		}
	}
	return 1
}

func contains(list []*Candidate, c *Candidate) bool {
	for _, other := range list {
		if other == c {
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
