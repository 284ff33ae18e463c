package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bluebellcrank/internal/state/expert"
)

const (
	// heavyTried is how many experts of a rank are tried for a copy.
	heavyTried = 3
	// coolTried is how many of the least loaded ranks are tried.
	coolTried = 4
	// leastGain is the part of the step time that a copy must save.
	leastGain = 0.002
)

// RebalanceParams are the limits and costs of a change of an expert layout whose copies
// share their expert's tokens evenly.
type RebalanceParams struct {
	// SlotsPerSet is how many experts of a layer set a rank holds at the most.
	SlotsPerSet int
	// MaxLoadsPerSet is how many experts of a layer set a rank may load in a change.
	MaxLoadsPerSet int
	// ExpertShare is the part of the step time that the experts take on a
	// perfectly shared layout.
	ExpertShare float64
	// CopyTime is how long a rank takes to load one expert.
	CopyTime time.Duration
	// SwitchTime is how long a change takes beside its copies.
	SwitchTime time.Duration
	// Horizon is how long the popularity is expected to stay.
	Horizon time.Duration
	// MinCopySaving is the step time over the horizon that one copy must save.
	MinCopySaving time.Duration
}

const (
	// copyShare keeps copies that save little from being loaded: a copy has to
	// save this part of its own load time in steps of a loaded group.
	copyShare = 0.3
	// loadedShare is the part of a group's slots from which it counts as
	// loaded: a skew of 2 makes its passes half as long as callers allow.
	loadedShare = 0.25
)

// MinCopySaving is the step time that one copy must save, for copies that take
// copyTime to load. It answers groups with few requests: a shorter step serves
// only those, so that a copy has to save more of it. Running are the requests of
// the group, slots those that it may work on.
func MinCopySaving(copyTime time.Duration, running, slots int) time.Duration {
	price := copyShare * float64(copyTime)
	if loaded := loadedShare * float64(slots); float64(running) < loaded {
		price *= loaded / float64(max(running, 1))
	}
	return time.Duration(price)
}

// copySlowdown is by how much passes take longer while experts are loaded, by
// the platform's word.
const copySlowdown = 1.15

// Rebalance answers a load whose favourite experts change every few seconds:
// it returns the layout with the lowest mean step time over the horizon, for
// which few copies now may beat many copies later. Popularity is the tokens of
// each expert by layer set, speed 1 for a sound rank. It reports false where
// no change pays.
func Rebalance(from expert.Layout, popularity [][]float64, speed []float64, t RebalanceParams) (expert.Layout, bool) {
	before := StepTime(from, popularity, speed, t)
	stay := before * t.Horizon.Seconds()
	best, bestCost := expert.Layout(nil), stay
	r := newRelief(from, popularity, speed, t)
	for copies := 1; copies <= t.MaxLoadsPerSet*len(from); copies *= 2 {
		loaded, total := r.relieve(copies)
		if loaded == 0 {
			break
		}
		next := r.layout()
		wait := time.Duration(loaded)*t.CopyTime + t.SwitchTime
		after := StepTime(next, popularity, speed, t)
		cost := after * max(0, t.Horizon-wait).Seconds()
		cost += before * (copySlowdown*float64(loaded)*t.CopyTime.Seconds() + t.SwitchTime.Seconds())
		cost += float64(total) * t.MinCopySaving.Seconds()
		if cost < bestCost {
			best, bestCost = next, cost
		}
		if loaded < copies {
			break
		}
	}
	const worthwhile = 0.97
	return best, best != nil && bestCost < worthwhile*stay
}

// Skew returns the most loaded rank's part over the mean, over all layer sets.
func Skew(l expert.Layout, popularity [][]float64) float64 {
	sum := 0.0
	for s := range l {
		b := newSetBalance(l[s], popularity[s], nil)
		sum += slices.Max(b.load) * float64(len(b.load))
	}
	return sum / float64(len(l))
}

// StepTime returns the length of a step, where 1 is that of a perfect layout.
func StepTime(l expert.Layout, popularity [][]float64, speed []float64, t RebalanceParams) float64 {
	sum := 0.0
	for s := range l {
		b := newSetBalance(l[s], popularity[s], speed)
		sum += b.slowest() * float64(len(b.load))
	}
	return 1 - t.ExpertShare + t.ExpertShare*sum/float64(len(l))
}

// setBalance is one layer set while its copies are placed.
type setBalance struct {
	ranks  [][]int
	part   []float64
	copies []int
	// holders are the ranks of each expert.
	holders [][]int
	load    []float64
	speed   []float64
	// power is the sum of the ranks' times to the power of eight.
	power  float64
	fresh  []int
	loaded map[[2]int]bool
}

func newSetBalance(ranks [][]int, popularity, speed []float64) *setBalance {
	b := &setBalance{
		ranks:   make([][]int, len(ranks)),
		part:    make([]float64, len(popularity)),
		copies:  make([]int, len(popularity)),
		holders: make([][]int, len(popularity)),
		load:    make([]float64, len(ranks)),
		speed:   speed,
		fresh:   make([]int, len(ranks)),
		loaded:  map[[2]int]bool{},
	}
	total := 0.0
	for _, p := range popularity {
		total += p
	}
	for e, p := range popularity {
		b.part[e] = 1 / float64(len(popularity))
		if total > 0 {
			b.part[e] = p / total
		}
	}
	for r, experts := range ranks {
		b.ranks[r] = slices.Clone(experts)
		for _, e := range experts {
			b.copies[e]++
			b.holders[e] = append(b.holders[e], r)
		}
	}
	for r, experts := range b.ranks {
		for _, e := range experts {
			b.load[r] += b.part[e] / float64(b.copies[e])
		}
		b.power += power8(b.time(r))
	}
	return b
}

func (b *setBalance) time(r int) float64 {
	if b.speed == nil {
		return b.load[r]
	}
	return b.load[r] / b.speed[r]
}

// isSlow reports whether a rank is better off without spare copies; a sound
// rank keeps them for the time when their expert is in demand again.
func (b *setBalance) isSlow(r int) bool {
	const soundSpeed = 0.8
	return b.speed != nil && b.speed[r] < soundSpeed
}

func (b *setBalance) slowest() float64 {
	most := 0.0
	for r := range b.load {
		most = max(most, b.time(r))
	}
	return most
}

// power8 makes a sum follow its largest part, and still prefer to lower the
// next ones.
func power8(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

// peak is close to the slowest rank's time.
func (b *setBalance) peak() float64 {
	return math.Sqrt(math.Sqrt(math.Sqrt(max(b.power, 0))))
}

// add and drop change the copies of an expert and all loads that follow.
func (b *setBalance) add(e, rank int) {
	b.spread(e, -1)
	b.ranks[rank] = append(b.ranks[rank], e)
	b.holders[e] = append(b.holders[e], rank)
	b.copies[e]++
	b.spread(e, 1)
}

func (b *setBalance) drop(e, rank int) {
	b.spread(e, -1)
	b.ranks[rank] = remove(b.ranks[rank], e)
	b.holders[e] = remove(b.holders[e], rank)
	b.copies[e]--
	b.spread(e, 1)
}

// remove takes a number out of a list, whose order does not matter.
func remove(list []int, n int) []int {
	at := slices.Index(list, n)
	last := len(list) - 1
	list[at] = list[last]
	return list[:last]
}

func (b *setBalance) spread(e int, sign float64) {
	each := sign * b.part[e] / float64(max(b.copies[e], 1))
	for _, r := range b.holders[e] {
		b.power -= power8(b.time(r))
		b.load[r] += each
		b.power += power8(b.time(r))
	}
}

// move is one new copy and what makes room for it, or a copy that is given up.
type move struct {
	expert int
	// to is the rank that loads the expert, or -1.
	to int
	// evict is the expert that leaves the rank, or -1.
	evict int
	// from is the rank that gives its copy up, or -1.
	from int
	gain float64
}

// relief is a layout while copies are placed on it.
type relief struct {
	terms RebalanceParams
	sets  []*setBalance
	next  []move
	// used is how many copies each rank has to load.
	used []int
}

func newRelief(from expert.Layout, popularity [][]float64, speed []float64, t RebalanceParams) *relief {
	r := &relief{terms: t, sets: make([]*setBalance, len(from)), next: make([]move, len(from)), used: make([]int, len(from[0]))}
	for s := range from {
		r.sets[s] = newSetBalance(from[s], popularity[s], speed)
	}
	return r
}

func (r *relief) layout() expert.Layout {
	out := make(expert.Layout, len(r.sets))
	for s, b := range r.sets {
		out[s] = make([][]int, len(b.ranks))
		for n, on := range b.ranks {
			out[s][n] = slices.Clone(on)
		}
	}
	return out
}

// relieve places copies, at most so many on each rank, where they relieve the
// slowest ranks most; it returns the most that one rank has to load, and the
// copies of all ranks.
func (r *relief) relieve(copies int) (most, total int) {
	for s, b := range r.sets {
		r.next[s] = b.best(r.terms, r.used, copies)
	}
	// Each turn of a set loads a copy, gives one up, or finds the rank full.
	for range 2*copies*len(r.used) + r.terms.SlotsPerSet*len(r.sets) {
		pick := -1
		for s, m := range r.next {
			if m.gain > 0 && (pick < 0 || m.gain > r.next[pick].gain) {
				pick = s
			}
		}
		if pick < 0 {
			break
		}
		b, m := r.sets[pick], r.next[pick]
		if m.to < 0 || r.used[m.to] < copies {
			b.apply(m)
			if m.to >= 0 {
				b.fresh[m.to]++
				b.loaded[[2]int{m.expert, m.to}] = true
				r.used[m.to]++
			}
		}
		r.next[pick] = b.best(r.terms, r.used, copies)
	}
	for _, n := range r.used {
		total += n
	}
	return slices.Max(r.used), total
}

func (b *setBalance) apply(m move) {
	if m.evict >= 0 {
		b.drop(m.evict, m.to)
	}
	if m.to >= 0 {
		b.add(m.expert, m.to)
	}
	if m.from >= 0 {
		b.drop(m.expert, m.from)
	}
}

func (b *setBalance) revert(m move) {
	if m.from >= 0 {
		b.add(m.expert, m.from)
	}
	if m.to >= 0 {
		b.drop(m.expert, m.to)
	}
	if m.evict >= 0 {
		b.add(m.evict, m.to)
	}
}

// best returns the copy that relieves the slowest rank most; its gain is 0
// where none does.
func (b *setBalance) best(t RebalanceParams, used []int, copies int) move {
	before := b.peak()
	slow := b.slowestRank()
	best := move{}
	try := func(m move) {
		b.apply(m)
		m.gain = (before - b.peak()) * float64(len(b.load))
		b.revert(m)
		if m.gain > best.gain && m.gain > leastGain {
			best = m
		}
	}
	for _, e := range b.heaviest(slow) {
		if b.isSlow(slow) && b.copies[e] > 1 && !b.loaded[[2]int{e, slow}] {
			try(move{expert: e, to: -1, evict: -1, from: slow})
		}
		for _, to := range b.coolest(t, used, copies, e) {
			for _, m := range b.ways(e, slow, to, t) {
				try(m)
			}
		}
	}
	return best
}

// ways are a further copy of an expert on a rank and a move of the only copy
// that the slow rank has.
func (b *setBalance) ways(e, slow, to int, t RebalanceParams) []move {
	evict := -1
	if len(b.ranks[to]) >= t.SlotsPerSet {
		evict = b.leastUsed(to)
		if evict < 0 {
			return nil
		}
	}
	out := []move{{expert: e, to: to, evict: evict, from: -1}}
	if !b.loaded[[2]int{e, slow}] {
		out = append(out, move{expert: e, to: to, evict: evict, from: slow})
	}
	return out
}

func (b *setBalance) slowestRank() int {
	slow := 0
	for r := range b.load {
		if b.time(r) > b.time(slow) {
			slow = r
		}
	}
	return slow
}

func (b *setBalance) heaviest(rank int) []int {
	on := slices.Clone(b.ranks[rank])
	slices.SortFunc(on, func(x, y int) int {
		return cmp.Compare(b.part[y]/float64(b.copies[y]), b.part[x]/float64(b.copies[x]))
	})
	return on[:min(len(on), heavyTried)]
}

// coolest are the least loaded ranks that may load a copy of an expert.
func (b *setBalance) coolest(t RebalanceParams, used []int, copies, e int) []int {
	var out []int
	for r := range b.load {
		if used[r] < copies && b.fresh[r] < t.MaxLoadsPerSet && !slices.Contains(b.ranks[r], e) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(x, y int) int { return cmp.Compare(b.time(x), b.time(y)) })
	return out[:min(len(out), coolTried)]
}

// leastUsed is the expert on a full rank that has other copies and adds least
// to them, or -1; one that is being loaded stays.
func (b *setBalance) leastUsed(rank int) int {
	best, least := -1, 0.0
	for _, e := range b.ranks[rank] {
		if b.copies[e] < 2 || b.loaded[[2]int{e, rank}] {
			continue
		}
		if each := b.part[e] / float64(b.copies[e]-1); best < 0 || each < least {
			best, least = e, each
		}
	}
	return best
}
