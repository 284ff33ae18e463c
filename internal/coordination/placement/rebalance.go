package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bluebellcrank/internal/state/expert"
)

const (
	// maxHeavyExperts is how many of the heaviest experts on the slowest rank
	// are considered for a copy.
	maxHeavyExperts = 3
	// maxLightRanks is how many of the least loaded ranks are considered as the
	// destination of a copy.
	maxLightRanks = 4
	// minCopyGain is the fraction of the balanced step time that adding or
	// removing a copy must save.
	minCopyGain = 0.002
)

// RebalanceParams are the limits and costs of changing an expert layout whose
// copies share their expert's tokens evenly.
type RebalanceParams struct {
	// SlotsPerSet is the maximum number of experts of a layer set on a rank.
	SlotsPerSet int
	// MaxLoadsPerSet is the maximum number of experts of a layer set that a
	// rank loads in one change.
	MaxLoadsPerSet int
	// ExpertShare is the fraction of the step time spent in the experts when
	// the layout is perfectly balanced.
	ExpertShare float64
	// CopyTime is the time a rank needs to load one expert.
	CopyTime time.Duration
	// SwitchTime is the duration of a change without the loading of copies.
	SwitchTime time.Duration
	// Horizon is how long the popularity is expected to stay the same.
	Horizon time.Duration
	// MinCopySaving is the total step time that each loaded copy must save over
	// the horizon.
	MinCopySaving time.Duration
}

const (
	// minSavingShare keeps copies that save little from being loaded: in a busy
	// group, a copy has to save at least this fraction of the time to load it.
	minSavingShare = 0.3
	// busySlotShare is the fraction of a group's request slots from which the
	// group counts as busy. At that load, a skew of 2 makes a step take half of
	// the time that callers allow.
	busySlotShare = 0.25
)

// MinCopySaving returns the total step time that a copy must save if loading it
// takes copyTime. A group with few requests demands a larger saving, since a
// shorter step benefits only those requests. running is the number of requests
// that the group processes, slotCount the number that it may process at once;
// with a slotCount of 0 the group counts as busy.
func MinCopySaving(copyTime time.Duration, running, slotCount int) time.Duration {
	saving := minSavingShare * float64(copyTime)
	if busyRequests := busySlotShare * float64(slotCount); float64(running) < busyRequests {
		saving *= busyRequests / float64(max(running, 1))
	}
	return time.Duration(saving)
}

// loadingSlowdown is the factor by which steps take longer while experts are
// loaded, as documented by the platform.
const loadingSlowdown = 1.15

// Rebalance returns the layout with the lowest total step time over the horizon,
// including the cost of the change. It is meant for a popularity that changes
// every few seconds, where a few copies now may be better than many copies
// later. popularity holds the tokens of each expert by layer set, and speed the
// speed of each rank, 1 for a healthy one; a nil speed means that all ranks are
// healthy. It reports false if no change pays off; the returned layout must not
// be used then.
func Rebalance(from expert.Layout, popularity [][]float64, speed []float64, params RebalanceParams) (expert.Layout, bool) {
	before := StepTime(from, popularity, speed, params)
	unchangedCost := before * params.Horizon.Seconds()
	best, bestCost := expert.Layout(nil), unchangedCost
	planner := newCopyPlanner(from, popularity, speed, params)
	for maxLoads := 1; maxLoads <= params.MaxLoadsPerSet*len(from); maxLoads *= 2 {
		mostLoads, totalLoads := planner.placeCopies(maxLoads)
		if mostLoads == 0 {
			break
		}
		next := planner.layout()
		changeTime := time.Duration(mostLoads)*params.CopyTime + params.SwitchTime
		after := StepTime(next, popularity, speed, params)
		cost := after * max(0, params.Horizon-changeTime).Seconds()
		cost += before * (loadingSlowdown*float64(mostLoads)*params.CopyTime.Seconds() + params.SwitchTime.Seconds())
		cost += float64(totalLoads) * params.MinCopySaving.Seconds()
		if cost < bestCost {
			best, bestCost = next, cost
		}
		if mostLoads < maxLoads {
			break
		}
	}
	// A change that saves less than 3 % is not made.
	const maxCostRatio = 0.97
	return best, best != nil && bestCost < maxCostRatio*unchangedCost
}

// Skew returns the load of the most loaded rank divided by the mean load,
// averaged over all layer sets.
func Skew(l expert.Layout, popularity [][]float64) float64 {
	sum := 0.0
	for s := range l {
		b := newSetBalance(l[s], popularity[s], nil)
		sum += slices.Max(b.load) * float64(len(b.load))
	}
	return sum / float64(len(l))
}

// StepTime returns the duration of a step relative to that of a perfectly
// balanced layout.
func StepTime(l expert.Layout, popularity [][]float64, speed []float64, params RebalanceParams) float64 {
	sum := 0.0
	for s := range l {
		b := newSetBalance(l[s], popularity[s], speed)
		sum += b.slowestTime() * float64(len(b.load))
	}
	return 1 - params.ExpertShare + params.ExpertShare*sum/float64(len(l))
}

// setBalance is the state of one layer set while its copies are placed.
type setBalance struct {
	ranks      [][]int
	tokenShare []float64
	copies     []int
	// holders lists, for each expert, the ranks that have a copy.
	holders [][]int
	load    []float64
	speed   []float64
	// hasSlowRank is set if some rank has a speed below 1.
	hasSlowRank bool
	// timePowerSum is the sum of the eighth powers of the ranks' times.
	timePowerSum float64
	// newCopyCount is the number of copies of the set that each rank has to
	// load.
	newCopyCount []int
	// newCopies are the copies to load, by expert and rank.
	newCopies map[[2]int]bool
}

func newSetBalance(ranks [][]int, popularity, speed []float64) *setBalance {
	b := &setBalance{
		ranks:        make([][]int, len(ranks)),
		tokenShare:   make([]float64, len(popularity)),
		copies:       make([]int, len(popularity)),
		holders:      make([][]int, len(popularity)),
		load:         make([]float64, len(ranks)),
		speed:        speed,
		hasSlowRank:  speed != nil && slices.Min(speed) < 1,
		newCopyCount: make([]int, len(ranks)),
		newCopies:    map[[2]int]bool{},
	}
	total := 0.0
	for _, p := range popularity {
		total += p
	}
	for e, p := range popularity {
		b.tokenShare[e] = 1 / float64(len(popularity))
		if total > 0 {
			b.tokenShare[e] = p / total
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
			b.load[r] += b.tokenShare[e] / float64(b.copies[e])
		}
		b.timePowerSum += power8(b.rankTime(r))
	}
	return b
}

// rankTime returns a rank's time for the layer set, up to a common factor.
func (b *setBalance) rankTime(r int) float64 {
	if b.speed == nil {
		return b.load[r]
	}
	return b.load[r] / b.speed[r]
}

// isSlow reports whether a rank should drop spare copies. A healthy rank
// keeps them, because their expert may be in demand again.
func (b *setBalance) isSlow(r int) bool {
	const minHealthySpeed = 0.8
	return b.speed != nil && b.speed[r] < minHealthySpeed
}

func (b *setBalance) slowestTime() float64 {
	slowest := 0.0
	for r := range b.load {
		slowest = max(slowest, b.rankTime(r))
	}
	return slowest
}

// power8 returns the eighth power of x. A sum of eighth powers is dominated by
// its largest term, but still falls when smaller terms fall.
func power8(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

// approxSlowestTime approximates the slowest rank's time by the 8-norm of all
// times. With ranks of different speeds it adds up the powers anew: those of a rank 100
// times slower are 1e16 times those of the others, so that a running sum retains
// rounding errors of the size of the gains.
func (b *setBalance) approxSlowestTime() float64 {
	if b.hasSlowRank {
		sum := 0.0
		for r := range b.load {
			sum += power8(b.rankTime(r))
		}
		return math.Sqrt(math.Sqrt(math.Sqrt(sum)))
	}
	return math.Sqrt(math.Sqrt(math.Sqrt(max(b.timePowerSum, 0))))
}

// add places a copy of an expert on a rank and updates the loads of all its
// holders.
func (b *setBalance) add(e, rank int) {
	b.addCopyLoads(e, -1)
	b.ranks[rank] = append(b.ranks[rank], e)
	b.holders[e] = append(b.holders[e], rank)
	b.copies[e]++
	b.addCopyLoads(e, 1)
}

// drop removes a copy of an expert from a rank and updates the loads of all its
// holders.
func (b *setBalance) drop(e, rank int) {
	b.addCopyLoads(e, -1)
	b.ranks[rank] = removeUnordered(b.ranks[rank], e)
	b.holders[e] = removeUnordered(b.holders[e], rank)
	b.copies[e]--
	b.addCopyLoads(e, 1)
}

// removeUnordered removes n from a list without keeping the order.
func removeUnordered(list []int, n int) []int {
	at := slices.Index(list, n)
	last := len(list) - 1
	list[at] = list[last]
	return list[:last]
}

// addCopyLoads adds the load of each copy of an expert to its holder, or
// subtracts it for a sign of -1.
func (b *setBalance) addCopyLoads(e int, sign float64) {
	copyLoad := sign * b.tokenShare[e] / float64(max(b.copies[e], 1))
	for _, r := range b.holders[e] {
		b.timePowerSum -= power8(b.rankTime(r))
		b.load[r] += copyLoad
		b.timePowerSum += power8(b.rankTime(r))
	}
}

// move is a new copy together with the expert it replaces, or the removal of a
// copy.
type move struct {
	expert int
	// to is the rank that loads the expert, or -1.
	to int
	// evict is the expert that leaves the rank to, or -1.
	evict int
	// from is the rank that drops its copy, or -1.
	from int
	// gain is the time that the move saves on the slowest rank, as a fraction of
	// the time of a perfectly balanced set.
	gain float64
}

// copyPlanner adds copies to a layout, and removes copies to free slots for them or
// to relieve slow ranks.
type copyPlanner struct {
	params    RebalanceParams
	sets      []*setBalance
	nextMoves []move
	// loadCounts is the number of copies that each rank has to load, over all
	// layer sets.
	loadCounts []int
}

func newCopyPlanner(from expert.Layout, popularity [][]float64, speed []float64, params RebalanceParams) *copyPlanner {
	p := &copyPlanner{params: params, sets: make([]*setBalance, len(from)), nextMoves: make([]move, len(from)), loadCounts: make([]int, len(from[0]))}
	for s := range from {
		p.sets[s] = newSetBalance(from[s], popularity[s], speed)
	}
	return p
}

func (p *copyPlanner) layout() expert.Layout {
	out := make(expert.Layout, len(p.sets))
	for s, b := range p.sets {
		out[s] = make([][]int, len(b.ranks))
		for n, experts := range b.ranks {
			out[s][n] = slices.Clone(experts)
		}
	}
	return out
}

// placeCopies places copies where they shorten the slowest ranks' times most. A
// rank loads at most maxLoads copies, including those placed by earlier calls. It
// returns the highest number of copies that one rank has to load, and the number
// over all ranks.
func (p *copyPlanner) placeCopies(maxLoads int) (most, total int) {
	for s, b := range p.sets {
		p.nextMoves[s] = b.bestMove(p.params, p.loadCounts, maxLoads)
	}
	// Each iteration loads a copy, removes one, or finds that the rank has
	// reached maxLoads, which limits the number of iterations.
	for range 2*maxLoads*len(p.loadCounts) + p.params.SlotsPerSet*len(p.sets) {
		bestSet := -1
		for s, m := range p.nextMoves {
			if m.gain > 0 && (bestSet < 0 || m.gain > p.nextMoves[bestSet].gain) {
				bestSet = s
			}
		}
		if bestSet < 0 {
			break
		}
		b, m := p.sets[bestSet], p.nextMoves[bestSet]
		if m.to < 0 || p.loadCounts[m.to] < maxLoads {
			b.apply(m)
			if m.to >= 0 {
				b.newCopyCount[m.to]++
				b.newCopies[[2]int{m.expert, m.to}] = true
				p.loadCounts[m.to]++
			}
		}
		p.nextMoves[bestSet] = b.bestMove(p.params, p.loadCounts, maxLoads)
	}
	for _, n := range p.loadCounts {
		total += n
	}
	return slices.Max(p.loadCounts), total
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

// bestMove returns the move that shortens the slowest rank's time most. Its gain
// is 0 if no move saves more than minCopyGain.
func (b *setBalance) bestMove(params RebalanceParams, loadCounts []int, maxLoads int) move {
	before := b.approxSlowestTime()
	slow := b.slowestRank()
	best := move{}
	compare := func(m move) {
		b.apply(m)
		m.gain = (before - b.approxSlowestTime()) * float64(len(b.load))
		b.revert(m)
		if m.gain > best.gain && m.gain > minCopyGain {
			best = m
		}
	}
	for _, e := range b.heaviestExperts(slow) {
		if b.isSlow(slow) && b.copies[e] > 1 && !b.newCopies[[2]int{e, slow}] {
			compare(move{expert: e, to: -1, evict: -1, from: slow})
		}
		for _, to := range b.leastLoadedRanks(params, loadCounts, maxLoads, e) {
			for _, m := range b.candidateMoves(e, slow, to, params) {
				compare(m)
			}
		}
	}
	return best
}

// candidateMoves returns the ways to place an expert of the slowest rank on
// another rank: as an additional copy, or instead of the copy on the slowest
// rank unless that copy is itself yet to be loaded.
func (b *setBalance) candidateMoves(e, slow, to int, params RebalanceParams) []move {
	evict := -1
	if len(b.ranks[to]) >= params.SlotsPerSet {
		evict = b.leastNeededExpert(to)
		if evict < 0 {
			return nil
		}
	}
	moves := []move{{expert: e, to: to, evict: evict, from: -1}}
	if !b.newCopies[[2]int{e, slow}] {
		moves = append(moves, move{expert: e, to: to, evict: evict, from: slow})
	}
	return moves
}

func (b *setBalance) slowestRank() int {
	slow := 0
	for r := range b.load {
		if b.rankTime(r) > b.rankTime(slow) {
			slow = r
		}
	}
	return slow
}

func (b *setBalance) heaviestExperts(rank int) []int {
	experts := slices.Clone(b.ranks[rank])
	slices.SortFunc(experts, func(x, y int) int {
		return cmp.Compare(b.tokenShare[y]/float64(b.copies[y]), b.tokenShare[x]/float64(b.copies[x]))
	})
	return experts[:min(len(experts), maxHeavyExperts)]
}

// leastLoadedRanks returns the least loaded ranks that may load a copy of an
// expert.
func (b *setBalance) leastLoadedRanks(params RebalanceParams, loadCounts []int, maxLoads, e int) []int {
	ranks := make([]int, 0, maxLightRanks+1)
	for r := range b.load {
		if loadCounts[r] >= maxLoads || b.newCopyCount[r] >= params.MaxLoadsPerSet {
			continue
		}
		if len(ranks) == maxLightRanks && b.rankTime(r) >= b.rankTime(ranks[maxLightRanks-1]) || slices.Contains(b.ranks[r], e) {
			continue
		}
		// The list is short, so that an insertion is cheaper than sorting all ranks.
		at := len(ranks)
		for at > 0 && b.rankTime(r) < b.rankTime(ranks[at-1]) {
			at--
		}
		ranks = slices.Insert(ranks, at, r)
		ranks = ranks[:min(len(ranks), maxLightRanks)]
	}
	return ranks
}

// leastNeededExpert returns the expert on a rank whose removal adds the least load
// to its other copies, or -1 if none can be removed. Experts without another
// copy, and copies that are to be loaded, cannot.
func (b *setBalance) leastNeededExpert(rank int) int {
	best, least := -1, 0.0
	for _, e := range b.ranks[rank] {
		if b.copies[e] < 2 || b.newCopies[[2]int{e, rank}] {
			continue
		}
		if copyLoad := b.tokenShare[e] / float64(b.copies[e]-1); best < 0 || copyLoad < least {
			best, least = e, copyLoad
		}
	}
	return best
}
