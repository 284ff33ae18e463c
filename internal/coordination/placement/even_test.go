package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/expert"
)

// turns gives the experts to the ranks in turn.
func turns(sets, experts, ranks int) expert.Layout {
	l := make(expert.Layout, sets)
	for s := range l {
		l[s] = make([][]int, ranks)
		for e := range experts {
			l[s][e%ranks] = append(l[s][e%ranks], e)
		}
	}
	return l
}

// favourites is a popularity with one expert of 30 in 100, one of 10 and a
// tail, as engines show it.
func favourites(sets, experts int, random *rand.Rand) [][]float64 {
	out := make([][]float64, sets)
	for s := range out {
		out[s] = make([]float64, experts)
		for place, e := range random.Perm(experts) {
			out[s][e] = 0.5 / float64(1+place)
		}
		out[s][slices.Index(out[s], slices.Max(out[s]))] = 1.2
	}
	return out
}

// shift gives a part of the experts another place among the favourites.
func shift(p [][]float64, share float64, random *rand.Rand) {
	for _, set := range p {
		var who []int
		for e := range set {
			if random.Float64() < share {
				who = append(who, e)
			}
		}
		for i, j := range random.Perm(len(who)) {
			set[who[i]], set[who[j]] = set[who[j]], set[who[i]]
		}
	}
}

func validLayout(l expert.Layout, experts int, t RebalanceParams) error {
	for s, ranks := range l {
		seen := make([]bool, experts)
		for r, on := range ranks {
			if len(on) > t.SlotsPerSet {
				return fmt.Errorf("rank %d holds %d experts of set %d", r, len(on), s)
			}
			for i, e := range on {
				if slices.Contains(on[:i], e) {
					return fmt.Errorf("expert %d stands twice on rank %d", e, r)
				}
				seen[e] = true
			}
		}
		if slices.Contains(seen, false) {
			return fmt.Errorf("an expert of set %d is on no rank", s)
		}
	}
	return nil
}

// TestRebalanceUnderShiftingFavourites plays the load that the planner is
// for: favourites that change every 3.5 s. The goal is a mean skew of 1.25.
func TestRebalanceUnderShiftingFavourites(t *testing.T) {
	tests := []struct {
		name                         string
		sets, experts, ranks, places int
		maxNew                       int
		copyTime                     time.Duration
	}{
		{"8 ranks, 64 experts", 6, 64, 8, 11, 4, 148 * time.Millisecond},
		{"32 ranks, 128 experts", 12, 128, 32, 5, 2, 148 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			terms := RebalanceParams{SlotsPerSet: tt.places, MaxLoadsPerSet: tt.maxNew, ExpertShare: 0.85, CopyTime: tt.copyTime, SwitchTime: 250 * time.Millisecond, Horizon: 2500 * time.Millisecond}
			l := turns(tt.sets, tt.experts, tt.ranks)
			p := favourites(tt.sets, tt.experts, random)
			const shifts, period = 30, 3500 * time.Millisecond
			old, mean, changes := Skew(l, p), 0.0, 0
			for range shifts {
				left := period
				for left > 0 {
					next, worth := Rebalance(l, p, nil, terms)
					if !worth {
						break
					}
					c.Assert(validLayout(next, tt.experts, terms), qt.IsNil)
					spent := min(left, terms.SwitchTime+time.Duration(mostNew(l, next))*terms.CopyTime)
					mean += Skew(l, p) * spent.Seconds()
					left -= spent
					l = next
					changes++
				}
				mean += Skew(l, p) * left.Seconds()
				shift(p, 0.56, random)
			}
			mean /= (shifts * period).Seconds()
			t.Logf("skew %.2f at first, %.2f on the mean, %.1f changes a shift", old, mean, float64(changes)/shifts)
			c.Check(mean < (old+1)/2, qt.IsTrue)
		})
	}
}

// TestRebalanceRelievesASlowRank plays a rank that becomes 12 times slower: a
// few changes must take nearly all of the experts' work off it.
func TestRebalanceRelievesASlowRank(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	terms := RebalanceParams{SlotsPerSet: 11, MaxLoadsPerSet: 4, ExpertShare: 0.85, CopyTime: 148 * time.Millisecond, SwitchTime: 250 * time.Millisecond, Horizon: 8 * time.Second, MinCopySaving: 12 * time.Millisecond}
	l := turns(6, 64, 8)
	p := favourites(6, 64, random)
	speed := []float64{1, 1, 1, 1.0 / 12, 1, 1, 1, 1}
	before := StepTime(l, p, speed, terms)
	for range 6 {
		next, worth := Rebalance(l, p, speed, terms)
		if !worth {
			break
		}
		c.Assert(validLayout(next, 64, terms), qt.IsNil)
		l = next
	}
	after := StepTime(l, p, speed, terms)
	t.Logf("step time %.1f before, %.2f after", before, after)
	// Seven sound ranks that share evenly take 8/7 of the usual time.
	c.Check(after < 1.6, qt.IsTrue, qt.Commentf("%.2f", after))
}

// TestRebalanceWeighsTheRequests plays favourites on groups with more or fewer
// requests: copies for a group that has next to none serve nobody.
func TestRebalanceWeighsTheRequests(t *testing.T) {
	const ranks, slots, load = 8, 96, 148 * time.Millisecond
	tests := []struct {
		name           string
		running, slots int
		changes        bool
		// skew is what a changed layout may have at the most.
		skew float64
	}{
		{"all slots taken", slots, slots, true, 1.6},
		{"the usual load, a quarter", slots / 4, slots, true, 1.6},
		{"three in a hundred", 3, slots, false, 0},
		{"none", 0, slots, false, 0},
		{"slots are not stated", 3, 0, true, 1.6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			l, p := turns(6, 64, ranks), favourites(6, 64, random)
			terms := RebalanceParams{
				SlotsPerSet: 11, MaxLoadsPerSet: 4, ExpertShare: 0.85, CopyTime: load, SwitchTime: 250 * time.Millisecond,
				Horizon: 2500 * time.Millisecond, MinCopySaving: MinCopySaving(load, tt.running, tt.slots),
			}
			before := Skew(l, p)
			next, worth := Rebalance(l, p, nil, terms)
			c.Assert(worth, qt.Equals, tt.changes, qt.Commentf("skew %.2f", before))
			if worth {
				c.Check(Skew(next, p) < tt.skew, qt.IsTrue, qt.Commentf("skew %.2f to %.2f", before, Skew(next, p)))
			}
		})
	}
}

func mostNew(from, to expert.Layout) int {
	most := 0
	for r := range from[0] {
		n := 0
		for s := range from {
			for _, e := range to[s][r] {
				if !slices.Contains(from[s][r], e) {
					n++
				}
			}
		}
		most = max(most, n)
	}
	return most
}

func BenchmarkRebalance(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	l := turns(12, 128, 32)
	p := favourites(12, 128, random)
	terms := RebalanceParams{SlotsPerSet: 5, MaxLoadsPerSet: 2, ExpertShare: 0.85, CopyTime: 148 * time.Millisecond, SwitchTime: 250 * time.Millisecond, Horizon: 2500 * time.Millisecond}
	for b.Loop() {
		Rebalance(l, p, nil, terms)
	}
}
