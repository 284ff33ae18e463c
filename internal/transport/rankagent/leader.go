package rankagent

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/placement"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/platform"
)

const (
	// sampleEvery is the time between two looks at the counts; a pass of a
	// loaded group takes about half of it.
	sampleEvery = 200 * time.Millisecond
	// roundPause is the time between two rounds of orders.
	roundPause = 10 * time.Millisecond
	// lookPause is the time between two looks at ranks that load experts.
	lookPause = 60 * time.Millisecond
	// listEvery is how old the addresses of the group may be.
	listEvery = 10 * time.Second
	// listAgain is the time between two lists while some rank is missing.
	listAgain = time.Second
	// countedRanks is how many ranks are asked for counts: each has a sample of
	// the group's requests, and links are narrow.
	countedRanks = 8
	// memory is the part of the earlier counts that a new sample keeps.
	memory = 0.3
	// leastCounts is how many choices of a layer set make a popularity.
	leastCounts = 2000
	// armFor is how long a group may stand still for a change of its map:
	// below the pause at which callers give up.
	armFor = 400 * time.Millisecond
	// prepareMargin is the time to load experts beside the copies' own.
	prepareMargin = time.Second
	// switchTime is what a change takes beside the copies: two samples and
	// some rounds of messages.
	switchTime = 200 * time.Millisecond
	// horizon is how long favourites stay: some seconds on a busy day.
	horizon = 2500 * time.Millisecond
	// slowHorizon is the same where an engine is slow, which lasts longer and
	// costs its group more; slowSpeed is the speed from which it counts so.
	slowHorizon = 8 * time.Second
	slowSpeed   = 0.6
)

// leader is an agent's part as the leader of its group; all of it runs on one
// goroutine.
type leader struct {
	agent   *Agent
	profile *routing.EngineProfile
	self    expert.RankReport
	// addresses are the agents of the group by rank, engines their engines.
	addresses []string
	engines   []string
	listed    time.Time
	samples   []*sampleReply
	// direct are clients of other ranks' engines by address.
	direct map[string]*platform.Engine
	// missing are the ranks whose agents do not answer, and since when.
	missing map[int]time.Time
	asked   time.Time
	epoch   int64
	// layout is the map in force; nil where it is not known.
	layout     expert.Layout
	version    int64
	highest    int64
	popularity [][]float64
	// lastStep is the step of this leader's last change.
	lastStep int64
	backOff  time.Time
}

func newLeader(a *Agent) *leader {
	return &leader{agent: a, missing: map[int]time.Time{}, direct: map[string]*platform.Engine{}}
}

func (l *leader) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		l.work(ctx, now)
		select {
		case <-time.After(max(roundPause, sampleEvery-time.Since(now))):
		case <-ctx.Done():
		}
	}
}

// work looks at the group, and changes its map if that pays.
func (l *leader) work(ctx context.Context, now time.Time) {
	if !l.leads(ctx, now) || !l.prepare(ctx, now) {
		return
	}
	whole := l.sampleAll(ctx)
	if l.denied(now) || l.release(ctx, now) || !whole {
		return
	}
	if l.popularity == nil || !l.settled() {
		return
	}
	next, worth := placement.Rebalance(l.layout, l.popularity, l.speeds(), l.terms())
	if !worth {
		return
	}
	l.change(ctx, next, now)
}

// leads reports whether this agent is to lead: nobody else has for a time
// that grows with its rank.
func (l *leader) leads(ctx context.Context, now time.Time) bool {
	a := l.agent
	if now.Before(l.backOff) {
		return false
	}
	if a.lock.heldBy(a.settings.Name) && l.addresses != nil {
		return true
	}
	known, _ := a.own.last(now)
	if !a.lock.free(lockLife+time.Duration(known.Rank)*lockStagger, now) {
		return false
	}
	r, err := a.look(ctx, now)
	if err != nil {
		return false
	}
	l.self = r
	wait := time.Duration(0)
	if r.Rank > 0 {
		wait = lockLife + time.Duration(r.Rank)*lockStagger
	}
	_, open := a.own.last(now)
	return r.Open && open >= wait
}

// prepare finds the group's agents and the engines' profile.
func (l *leader) prepare(ctx context.Context, now time.Time) bool {
	wait := listEvery
	if !l.complete() {
		wait = listAgain
	}
	if now.Sub(l.listed) < wait {
		return l.complete()
	}
	l.listed = now
	a := l.agent
	if l.profile == nil {
		t, _, err := a.store.Config(ctx)
		if err != nil || t == nil {
			return false
		}
		if s := t.Service(a.settings.Service); s != nil {
			l.profile = s.Engine
		}
	}
	if l.profile == nil || l.self.Ranks == 0 {
		return false
	}
	ranks, err := a.store.RankAddresses(ctx, l.self.Group, l.self.Ranks, true)
	if err == nil && lo.Contains(ranks, "") {
		// A list that may be old costs little, but lacks ranks that are new.
		ranks, err = a.store.RankAddresses(ctx, l.self.Group, l.self.Ranks, false)
	}
	if err != nil {
		event.PlatformUnreachable.Log(a.log, "error", err.Error())
		return l.complete()
	}
	l.engines = ranks
	l.keepDirect()
	l.addresses = lo.Map(ranks, func(engine string, _ int) string {
		host, _, err := net.SplitHostPort(engine)
		if err != nil {
			return ""
		}
		return net.JoinHostPort(host, strconv.Itoa(a.settings.FirstPort))
	})
	return l.complete()
}

// complete reports whether every rank's agent has an address.
func (l *leader) complete() bool {
	return len(l.addresses) > 0 && !lo.Contains(l.addresses, "")
}

// each calls f for every rank at the same time.
func (l *leader) each(f func(rank int)) {
	var all sync.WaitGroup
	for r := range l.addresses {
		all.Go(func() { f(r) })
	}
	all.Wait()
}

// sampleAll asks every agent; it reports whether all take orders from here
// and the group is whole.
func (l *leader) sampleAll(ctx context.Context) bool {
	a := l.agent
	l.samples = make([]*sampleReply, len(l.addresses))
	every := max(1, len(l.addresses)/countedRanks)
	l.each(func(r int) {
		q := sampleRequest{Leader: a.settings.Name, Rank: l.self.Rank, Experts: l.layout == nil, Counts: r%every == 0}
		var s sampleReply
		var err error
		if r == l.self.Rank {
			s, err = a.sample(ctx, q)
		} else {
			s, err = peer.Call[sampleRequest, sampleReply](a.peers, l.addresses[r], methodSample, q)
		}
		if err == nil {
			l.samples[r] = &s
		}
	})
	if lo.SomeBy(l.samples, func(s *sampleReply) bool { return s == nil || !s.Granted }) {
		return false
	}
	return l.take()
}

// take keeps what the samples say.
func (l *leader) take() bool {
	first := l.samples[0].Report
	for n, s := range l.samples {
		r := s.Report
		if !r.Open || r.Epoch != first.Epoch || r.Group != l.self.Group || r.Rank != n {
			l.layout, l.popularity = nil, nil
			return false
		}
		l.highest = max(l.highest, r.Version, r.Prepared, r.Armed)
	}
	if first.Epoch != l.epoch || first.Version != l.version {
		l.layout = nil
	}
	if first.Epoch != l.epoch {
		l.lastStep = 0
	}
	l.epoch = first.Epoch
	l.takeCounts()
	return l.takeLayout(first.Version)
}

// takeLayout puts the map in force together from what the ranks hold.
func (l *leader) takeLayout(version int64) bool {
	if l.layout != nil {
		return true
	}
	l.version = version
	layout := make(expert.Layout, l.profile.LayerSets)
	for _, s := range l.samples {
		if s.Report.Version != version || len(s.Experts) != len(layout) {
			return false
		}
		for set, on := range s.Experts {
			layout[set] = append(layout[set], on)
		}
	}
	l.layout = layout
	return true
}

// takeCounts adds what was chosen since the last sample to the popularity, of
// which it keeps a part.
func (l *leader) takeCounts() {
	sets, experts := l.profile.LayerSets, l.profile.Experts
	fresh := make([][]float64, sets)
	for s := range fresh {
		fresh[s] = make([]float64, experts)
	}
	total := 0.0
	for n, s := range l.samples {
		counts, err := unpackNumbers(s.Counts)
		if err != nil {
			event.EngineUnreachable.Log(l.agent.log, "rank", n, "error", err.Error())
		}
		if len(counts) != sets*experts {
			continue
		}
		for i, c := range counts {
			fresh[i/experts][i%experts] += float64(c)
			total += float64(c)
		}
	}
	if total == 0 {
		return
	}
	if l.popularity != nil {
		for s := range fresh {
			for e := range fresh[s] {
				fresh[s][e] += memory * l.popularity[s][e]
			}
		}
	}
	l.popularity = fresh
}

// settled reports whether no rank is armed and all use the known map.
func (l *leader) settled() bool {
	return lo.EveryBy(l.samples, func(s *sampleReply) bool {
		return s.Report.Armed == 0 && s.Report.Version == l.version
	}) && lo.Sum(l.popularity[0]) >= leastCounts
}

func (l *leader) speeds() []float64 {
	return lo.Map(l.samples, func(s *sampleReply, _ int) float64 {
		if s.Report.Slowdown <= 0 {
			return 1
		}
		return 1 / s.Report.Slowdown
	})
}

func (l *leader) terms() placement.RebalanceParams {
	p := l.profile
	ahead := horizon
	if slices.Min(l.speeds()) < slowSpeed {
		ahead = slowHorizon
	}
	running := lo.SumBy(l.samples, func(s *sampleReply) int { return s.Report.Running })
	return placement.RebalanceParams{
		SlotsPerSet:      p.ExpertSlots,
		MaxLoadsPerSet:      p.MaxLoadsPerSet,
		ExpertShare: p.ExpertShare,
		CopyTime:    p.ExpertLoadTime,
		SwitchTime:  switchTime,
		Horizon:     ahead,
		MinCopySaving:   placement.MinCopySaving(p.ExpertLoadTime, running, p.Slots*len(l.samples)),
	}
}

// version makes numbers that rise whoever leads: milliseconds.
func version(now time.Time) int64 { return now.UnixMilli() }
