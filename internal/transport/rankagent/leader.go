package rankagent

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/coordination/placement"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/platform"
)

const (
	// sampleInterval is the time between two samples of the counts. One pass of
	// a loaded group takes about half of it.
	sampleInterval = 200 * time.Millisecond
	// roundInterval is the shortest time between two rounds of the leader, and
	// the wait after an order without a reply.
	roundInterval = 10 * time.Millisecond
	// heldCheckInterval is the time between two checks of a step that the rank
	// beside this agent holds.
	heldCheckInterval = 50 * time.Millisecond
	// prepareCheckInterval is the time between two checks of ranks that are
	// loading experts.
	prepareCheckInterval = 60 * time.Millisecond
	// addressRefreshInterval is the time after which the addresses of the group
	// are read again.
	addressRefreshInterval = 10 * time.Second
	// addressRetryInterval is the same while the address of some rank is
	// missing.
	addressRetryInterval = time.Second
	// countedRanks is the approximate number of ranks whose counts are read.
	// Each rank sees a sample of the group's requests, and the links have little
	// bandwidth.
	countedRanks = 8
	// retainedPopularityFraction is the fraction of the earlier counts that
	// remains in the popularity after a new sample.
	retainedPopularityFraction = 0.3
	// minChoices is the number of choices in a layer set from which the
	// popularity is used.
	minChoices = 2000
	// armTimeout is how long a group may be stalled by a change of its map. It
	// is below the gap of 2 s at which clients give up.
	armTimeout = 400 * time.Millisecond
	// prepareMargin is added to the time limit for loading experts, on top of
	// the time for the copies.
	prepareMargin = time.Second
	// switchOverhead is the duration of a change without the copies: two
	// samples and some rounds of messages.
	switchOverhead = 200 * time.Millisecond
	// popularityHorizon is how long the popularity is expected to stay the
	// same: a few seconds under high load.
	popularityHorizon = 2500 * time.Millisecond
	// slowRankHorizon replaces popularityHorizon while an engine is slow: an
	// engine stays slow for longer than an expert stays popular, and costs the
	// group more. An engine is slow if its speed is below slowSpeedThreshold; 1
	// is the normal speed.
	slowRankHorizon    = 8 * time.Second
	slowSpeedThreshold = 0.6
)

// leader samples a rank group and changes its expert map while its agent leads
// the group. All of it runs on one goroutine, except for the functions passed
// to forEachRank.
type leader struct {
	agent   *Agent
	profile *routing.EngineProfile
	// self is the report of the rank beside this agent that was read when the
	// agent last tried to lead.
	self expert.RankReport
	// addresses are the addresses of the group's agents by rank, and engines
	// those of its engines.
	addresses []string
	engines   []string
	// listedAt is when the addresses were last requested.
	listedAt time.Time
	samples  []*sampleReply
	// directEngines are clients for the engines of other ranks, by address.
	directEngines map[string]*platform.Engine
	// orderedDirectlyAt is when the engine of each rank was last given an order
	// directly.
	orderedDirectlyAt []time.Time
	// forwardFailedAt is when the agent of each rank last failed to forward orders.
	forwardFailedAt []time.Time
	// missing holds the ranks whose agents do not reply, and since when.
	missing map[int]time.Time
	// directQueryAt is when the engine of a missing agent was last queried.
	directQueryAt time.Time
	epoch         int64
	// layout is the current expert map, nil if it is not known, and version
	// its version.
	layout  expert.Layout
	version int64
	// versions are the ranks' map versions in the latest complete samples.
	versions []int64
	// mixedLayout lists the experts that the ranks hold while they use different maps;
	// nil if they use one, or if that is not known.
	mixedLayout expert.Layout
	// highestVersion is the highest version that any rank reported or this
	// leader used.
	highestVersion int64
	// popularity is the weighted count of choices by layer set and expert.
	popularity [][]float64
	// paces are the paces of the ranks that plans take into account, and invalidPaces
	// marks the ranks whose latest report has an invalid one.
	paces        placement.Paces
	invalidPaces map[int]bool
	paceNotices  paceNotices
	// usedSteps are the steps that changes of the group may have used.
	usedSteps mapswitch.UsedSteps
	// acquisitions identify this leader's acquisition of each agent's lock.
	acquisitions []int64
	// isBounded is set if usedSteps were bounded by fresh samples since these acquisitions.
	isBounded bool
	// backOffUntil is the time before which this agent does not try to lead.
	backOffUntil time.Time
}

func newLeader(a *Agent) *leader {
	return &leader{agent: a, missing: map[int]time.Time{}, invalidPaces: map[int]bool{}, directEngines: map[string]*platform.Engine{}}
}

// run leads the group, or waits to, until the context ends.
func (l *leader) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		l.runOnce(ctx, now)
		interval := sampleInterval
		if l.agent.own.heldFor(now) > 0 {
			interval = heldCheckInterval
		}
		select {
		case <-time.After(max(roundInterval, interval-time.Since(now))):
		case <-ctx.Done():
		}
	}
}

// runOnce samples the group once. It recovers a held group, or else changes the
// expert map if that shortens the step time enough.
func (l *leader) runOnce(ctx context.Context, now time.Time) {
	if !l.shouldLead(ctx, now) || !l.refreshGroup(ctx, now) {
		return
	}
	complete := l.sampleAll(ctx)
	if l.deferToLeader(now) || l.recoverHeldGroup(ctx, now) || l.unifyMaps(ctx, now) || !complete {
		return
	}
	if l.popularity == nil || !l.isSettled() || !l.usedSteps.AllowsChange(l.currentStep()) {
		return
	}
	next, worthwhile := l.planChange(now)
	if !worthwhile {
		return
	}
	l.changeMap(ctx, next, maxLoadsPerRank(l.layout, next), now, l.rebalanceFields(next)...)
}

// planChange returns the next layout, and reports whether a change to it is worthwhile.
func (l *leader) planChange(now time.Time) (expert.Layout, bool) {
	if next, worthwhile := placement.Rebalance(l.layout, l.popularity, l.speeds(), l.rebalanceParams()); worthwhile {
		return next, true
	}
	recovered := l.paces.Recovered(now)
	if len(recovered) == 0 {
		return nil, false
	}
	return placement.Restore(l.layout, l.popularity, l.speeds(), recovered, l.rebalanceParams())
}

// shouldLead reports whether this agent leads or should try to lead. To start
// leading, the lock on this agent must have been free, and the group open, for a
// time that grows with the rank. For rank 0 the lock must have been free for
// lockTimeout, but the group only has to be open now.
func (l *leader) shouldLead(ctx context.Context, now time.Time) bool {
	a := l.agent
	if now.Before(l.backOffUntil) {
		return false
	}
	if a.lock.heldBy(a.settings.Name) && l.addresses != nil {
		return true
	}
	if l.shouldReleaseStep(ctx, now) {
		return true
	}
	lastReport, _ := a.own.latest(now)
	if !a.lock.freeFor(lockTimeout+time.Duration(lastReport.Rank)*lockStaggerDelay, now) {
		return false
	}
	r, err := a.readReport(ctx, now)
	if err != nil {
		return false
	}
	l.self = r
	wait := time.Duration(0)
	if r.Rank > 0 {
		wait = lockTimeout + time.Duration(r.Rank)*lockStaggerDelay
	}
	_, openFor := a.own.latest(now)
	return r.Open && openFor >= wait
}

// shouldReleaseStep reports whether this agent should lead because the rank beside
// it holds a step that its leader has left. It reads the addresses of the group in
// time, while the leader may still be at work.
func (l *leader) shouldReleaseStep(ctx context.Context, now time.Time) bool {
	a := l.agent
	if a.own.heldFor(now) > 0 {
		l.self, _ = a.own.latest(now)
		l.refreshGroup(ctx, now)
	}
	if !a.lock.freeFor(holderTimeout, now) {
		return false
	}
	// The leader may have been paused before its next order, so the agent may not
	// know of the hold.
	r, err := a.readReport(ctx, now)
	if err != nil || !r.Open || r.Held == 0 {
		return false
	}
	l.self = r
	return true
}

// refreshGroup reads the addresses of the group's agents and the service's
// engine profile, if they are due. It reports whether all are known.
func (l *leader) refreshGroup(ctx context.Context, now time.Time) bool {
	maxAge := addressRefreshInterval
	if !l.hasAllAddresses() {
		maxAge = addressRetryInterval
	}
	if now.Sub(l.listedAt) < maxAge {
		return l.hasAllAddresses()
	}
	l.listedAt = now
	a := l.agent
	if l.profile == nil {
		read, err := a.store.Config(ctx)
		if err != nil {
			event.ConfigFetchFailed.Log(a.log, "error", err.Error())
			return false
		}
		for _, err := range read.Invalid {
			event.ConfigInvalid.Log(a.log, "error", err.Error())
		}
		if read.Table == nil {
			return false
		}
		if s := read.Table.Service(a.settings.Service); s != nil {
			l.profile = s.Engine
		}
	}
	if l.profile == nil || l.self.Ranks == 0 {
		return false
	}
	engines, err := a.store.RankAddresses(ctx, l.self.Group, l.self.Ranks, true)
	if err == nil && lo.Contains(engines, "") {
		// The stale list is cheap, but may lack new ranks.
		engines, err = a.store.RankAddresses(ctx, l.self.Group, l.self.Ranks, false)
	}
	if err != nil {
		event.PlatformUnreachable.Log(a.log, "error", err.Error())
		return l.hasAllAddresses()
	}
	l.engines = engines
	l.orderedDirectlyAt, l.forwardFailedAt = make([]time.Time, len(engines)), make([]time.Time, len(engines))
	l.closeDepartedClients()
	l.addresses = lo.Map(engines, func(engine string, _ int) string {
		host, _, err := net.SplitHostPort(engine)
		if err != nil {
			return ""
		}
		return net.JoinHostPort(host, strconv.Itoa(a.settings.FirstPort))
	})
	return l.hasAllAddresses()
}

// hasAllAddresses reports whether the address of every rank's agent is known.
func (l *leader) hasAllAddresses() bool {
	return len(l.addresses) > 0 && !lo.Contains(l.addresses, "")
}

// forEachRank calls f for all ranks concurrently and waits for the calls to
// return.
func (l *leader) forEachRank(f func(rank int)) {
	var wg sync.WaitGroup
	for r := range l.addresses {
		wg.Go(func() { f(r) })
	}
	wg.Wait()
}

// sampleAll samples every agent. It reports whether all agents accept orders
// from this leader and the group is complete.
func (l *leader) sampleAll(ctx context.Context) bool {
	l.samples, l.mixedLayout = make([]*sampleReply, len(l.addresses)), nil
	stride := max(1, len(l.addresses)/countedRanks)
	l.forEachRank(func(r int) {
		s, err := l.sampleRank(ctx, r, sampleRequest{Experts: l.layout == nil, Counts: r%stride == 0, Fresh: !l.isBounded})
		if err == nil {
			l.samples[r] = &s
		}
	})
	if lo.SomeBy(l.samples, func(s *sampleReply) bool { return s == nil || !s.Granted }) {
		return false
	}
	return l.applySamples()
}

// sampleRank sends a sample request to the agent of a rank, on behalf of this leader.
func (l *leader) sampleRank(ctx context.Context, rank int, q sampleRequest) (sampleReply, error) {
	a := l.agent
	q.Leader, q.Rank, q.HoldsStep = a.settings.Name, l.self.Rank, a.own.heldFor(time.Now()) > 0
	if rank == l.self.Rank {
		return a.handleSample(ctx, q)
	}
	return peer.Call[sampleRequest, sampleReply](a.peers, l.addresses[rank], methodSample, q)
}

// applySamples updates the group's state from the samples. It reports whether
// the ranks agree and the expert map is known.
func (l *leader) applySamples() bool {
	first := l.samples[0].Report
	for n, s := range l.samples {
		r := s.Report
		if !r.Open || r.Epoch != first.Epoch || r.Group != l.self.Group || r.Rank != n {
			l.layout, l.popularity = nil, nil
			return false
		}
		l.highestVersion = max(l.highestVersion, r.Version, r.Prepared, r.Armed)
	}
	if first.Epoch != l.epoch || !l.isVersionInForce() {
		l.layout = nil
	}
	l.boundUsedSteps(first.Epoch)
	l.epoch = first.Epoch
	l.updatePopularity()
	l.updatePaces(time.Now())
	return l.assembleLayout()
}

// boundUsedSteps bounds the steps that other processes may have used, unless this leader
// has held the locks of all agents since it did so last. An order of another leader is
// refused from the acquisition of the locks on, so that leader can release no step that
// it chose after the reports that came with them.
func (l *leader) boundUsedSteps(epoch int64) {
	acquisitions := lo.Map(l.samples, func(s *sampleReply, _ int) int64 { return s.Acquisition })
	if epoch != l.usedSteps.Epoch() || lo.Contains(acquisitions, 0) || !slices.Equal(acquisitions, l.acquisitions) {
		l.usedSteps.Assume(epoch, l.currentStep())
		if l.isBounded {
			// These samples may be of before the acquisitions; the next ones are fresh.
			l.isBounded = false
			return
		}
	}
	l.acquisitions, l.isBounded = acquisitions, true
}

// currentStep returns the last step that any rank reported in the latest samples.
func (l *leader) currentStep() int64 {
	return lo.Max(lo.Map(l.samples, func(s *sampleReply, _ int) int64 { return s.Report.Step }))
}

// assembleLayout builds the current map from the experts that each rank holds. It reports
// false if they are not known, or if the ranks use different maps.
func (l *leader) assembleLayout() bool {
	previous := l.versions
	l.versions = lo.Map(l.samples, func(s *sampleReply, _ int) int64 { return s.Report.Version })
	if l.layout != nil {
		return true
	}
	l.version = l.versions[0]
	held := make(expert.Layout, l.profile.LayerSets)
	for _, s := range l.samples {
		if len(s.Experts) != len(held) {
			return false
		}
		for set, experts := range s.Experts {
			held[set] = append(held[set], experts)
		}
	}
	held.Sort()
	if l.isVersionInForce() && held.Covers(l.profile.Experts) {
		l.layout = held
		return true
	}
	// Ranks that are sampled before and after a pass on which they switch differ once.
	if slices.Equal(l.versions, previous) {
		l.mixedLayout = held
	}
	return false
}

// isVersionInForce reports whether all ranks reported the version of the known map.
func (l *leader) isVersionInForce() bool {
	return lo.EveryBy(l.samples, func(s *sampleReply) bool { return s.Report.Version == l.version })
}

// updatePopularity scales the earlier popularity by popularitySmoothing and
// adds the counts of the latest samples.
func (l *leader) updatePopularity() {
	sets, experts := l.profile.LayerSets, l.profile.Experts
	updated := make([][]float64, sets)
	for s := range updated {
		updated[s] = make([]float64, experts)
	}
	total := 0.0
	for n, s := range l.samples {
		if s.Counts == nil {
			continue
		}
		counts, err := inflateNumbers(s.Counts)
		if err != nil {
			event.EngineUnreachable.Log(l.agent.log, "rank", n, "error", err.Error())
		}
		if len(counts) != sets*experts {
			continue
		}
		for i, c := range counts {
			updated[i/experts][i%experts] += float64(c)
			total += float64(c)
		}
	}
	if total == 0 {
		return
	}
	if l.popularity != nil {
		for s := range updated {
			for e := range updated[s] {
				updated[s][e] += retainedPopularityFraction * l.popularity[s][e]
			}
		}
	}
	l.popularity = updated
}

// isSettled reports whether no rank is armed, all ranks use the known map, and
// the popularity of the first layer set has at least minChoices choices.
func (l *leader) isSettled() bool {
	return l.isUnarmed() && l.isVersionInForce() && lo.Sum(l.popularity[0]) >= minChoices
}

// isUnarmed reports whether no rank is armed.
func (l *leader) isUnarmed() bool {
	return lo.EveryBy(l.samples, func(s *sampleReply) bool { return s.Report.Armed == 0 })
}

// updatePaces records the paces that the ranks reported in the latest samples. A report
// without one, such as that of an agent of an earlier build, has the pace 0.
func (l *leader) updatePaces(now time.Time) {
	reported := lo.Map(l.samples, func(s *sampleReply, _ int) float64 { return s.Report.Slowdown })
	for r, pace := range reported {
		counted, valid := placement.ValidPace(pace)
		if !valid && !l.invalidPaces[r] {
			event.PaceInvalid.Log(l.agent.log, "group", l.self.Group, "rank", r, "pace", pace, "counts-as", counted)
		}
		l.invalidPaces[r] = !valid
	}
	for _, change := range l.paces.Record(reported, now) {
		l.agent.paceChanges.Inc()
		event.PaceChanged.Log(l.agent.log, "group", l.self.Group, "rank", change.Rank, "pace", change.Pace, "pace-before", change.Before)
	}
	l.notifyPaces(now)
}

// speeds returns the speed of each rank relative to the fastest one.
func (l *leader) speeds() []float64 { return l.paces.Speeds() }

// rebalanceParams returns the limits and costs for the next change of the map.
func (l *leader) rebalanceParams() placement.RebalanceParams {
	p := l.profile
	horizon := popularityHorizon
	if slices.Min(l.speeds()) < slowSpeedThreshold {
		horizon = slowRankHorizon
	}
	running := lo.SumBy(l.samples, func(s *sampleReply) int { return s.Report.Running })
	return placement.RebalanceParams{
		SlotsPerSet:    p.ExpertSlots,
		MaxLoadsPerSet: p.MaxLoadsPerSet,
		ExpertShare:    p.ExpertShare,
		CopyTime:       p.ExpertLoadTime,
		SwitchTime:     switchOverhead,
		Horizon:        horizon,
		MinCopySaving:  placement.MinCopySaving(p.ExpertLoadTime, running, p.Slots*len(l.samples)),
	}
}

// newVersion returns the time in Unix milliseconds as a version number, so that
// versions increase also from one leader to the next.
func newVersion(now time.Time) int64 { return now.UnixMilli() }
