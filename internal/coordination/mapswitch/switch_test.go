package mapswitch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/expert"
)

// rank is an engine as the platform's pages describe it.
type rank struct {
	version  int64
	prepared int64
	loading  int64
	readyAt  time.Duration
	highest  int64
	armed    int64
	armStep  int64
	held     int64
}

// late is an order that is carried out after its sender gave it up.
type late struct {
	at    time.Duration
	order Order
	epoch int64
}

// world is one rank group in virtual time.
type world struct {
	random  *rand.Rand
	now     time.Duration
	epoch   int64
	step    int64
	ranks   []rank
	lates   []late
	loss    float64
	idle    time.Duration
	nextAt  time.Duration
	mixed   error
	changes int
	// last is the step of the last change.
	last int64
	// coordinator is the rank whose machine may stand still.
	coordinator int
	// frozen is a rank whose machine stands still until thaw.
	frozen int
	thaw   time.Duration
}

func newWorld(seed uint64, ranks int) *world {
	r := rand.New(rand.NewPCG(seed, 0))
	return &world{random: r, epoch: 1, frozen: NoRank, ranks: make([]rank, ranks), loss: []float64{0, 0.3, 0.5, 0.7}[r.IntN(4)]}
}

func (w *world) time() time.Time { return time.Unix(0, 0).Add(w.now) }

// apply carries an order out, or refuses it.
func (w *world) apply(o Order, epoch int64) {
	if epoch != w.epoch {
		return
	}
	r := &w.ranks[o.Rank]
	switch o.Kind {
	case Prepare, Fence:
		if o.Version <= r.highest || r.armed != 0 {
			return
		}
		r.highest, r.prepared = o.Version, 0
		r.loading, r.readyAt = o.Version, w.now
		if o.Kind == Prepare {
			r.readyAt += time.Duration(w.random.IntN(600)) * time.Millisecond
		}
	case Arm:
		if r.prepared == o.Version && w.step < o.Step && r.armed == 0 {
			r.armed, r.armStep = o.Version, o.Step
		}
	case Disarm:
		if r.armed == o.Version {
			r.armed = 0
		}
	case Hold:
		if w.step < o.Step && r.held == 0 {
			r.held = o.Step
		}
	case Release:
		if r.held == o.Step {
			r.held = 0
		}
	}
}

// send delivers an order; it reports whether it was answered.
func (w *world) send(o Order) bool {
	if o.Kind != Query && w.random.Float64() < w.loss {
		delay := 2*time.Second + time.Duration(w.random.IntN(10_000))*time.Millisecond
		w.lates = append(w.lates, late{at: w.now + delay, order: o, epoch: w.epoch})
		return false
	}
	w.apply(o, w.epoch)
	return true
}

func (w *world) report(n int) expert.RankReport {
	r := w.ranks[n]
	return expert.RankReport{Rank: n, Epoch: w.epoch, Open: true, Step: w.step, Version: r.version, Prepared: r.prepared, Armed: r.armed, Held: r.held}
}

// tick lets 10 ms pass: late orders, loaded experts, perhaps a pass.
func (w *world) tick() {
	w.now += 10 * time.Millisecond
	if w.now >= w.thaw {
		w.frozen = NoRank
	}
	kept := w.lates[:0]
	for _, l := range w.lates {
		if l.at <= w.now && l.order.Rank != w.frozen {
			w.apply(l.order, l.epoch)
			continue
		}
		kept = append(kept, l)
	}
	w.lates = kept
	for n := range w.ranks {
		if r := &w.ranks[n]; r.loading != 0 && w.now >= r.readyAt {
			r.prepared, r.loading = r.loading, 0
		}
	}
	switch chance := w.random.Float64(); {
	case chance < 0.0005:
		w.idle = w.now + time.Duration(w.random.IntN(8000))*time.Millisecond
	case chance < 0.0007:
		w.form()
	}
	if w.now >= w.idle && w.now >= w.nextAt {
		w.pass()
	}
}

// form is the group's new start after a rank was lost.
func (w *world) form() {
	w.epoch++
	w.step, w.last = 0, 0
	for n := range w.ranks {
		w.ranks[n] = rank{}
	}
}

func (w *world) pass() {
	next := w.step + 1
	for _, r := range w.ranks {
		if r.held == next {
			return
		}
	}
	w.step = next
	w.nextAt = w.now + time.Duration(30+w.random.IntN(90))*time.Millisecond
	for n := range w.ranks {
		if r := &w.ranks[n]; r.armed != 0 && r.armStep == next {
			if r.version != r.armed {
				w.changes++
			}
			r.version, r.armed = r.armed, 0
		}
		if w.ranks[n].version != w.ranks[0].version && w.mixed == nil {
			w.mixed = fmt.Errorf("pass %d begins on maps %d and %d at %s", next, w.ranks[0].version, w.ranks[n].version, w.now)
		}
	}
}

// guards are what a coordinator does against mixed maps.
type guards struct {
	// fenced ranks cannot be armed by a late order.
	fenced bool
	// ordered says that only the coordinator's rank may be absent.
	ordered bool
	// beginner says that this is the coordinator that began the change, not
	// one that took it over.
	beginner bool
}

// freeze has the machine of the coordinator stand still, or that of any rank.
func (w *world) freeze(g guards) {
	w.frozen = w.coordinator
	if !g.ordered {
		w.frozen = w.random.IntN(len(w.ranks))
	}
	w.thaw = w.now + time.Duration(500+w.random.IntN(4000))*time.Millisecond
}

// coordinate runs changes for a while; the coordinator dies now and then, or
// its machine stands still.
func (w *world) coordinate(g guards, span time.Duration) {
	version := int64(0)
	var s *Switch
	for w.now < span {
		if w.random.Float64() < 0.003 {
			s = nil // another one starts later
			if w.random.IntN(2) == 0 {
				w.freeze(g)
			}
			for range 10 + w.random.IntN(100) {
				w.tick()
			}
		}
		if s == nil || s.Ended() {
			s = w.next(g, &version)
		}
		if s != nil {
			w.last = max(w.last, s.Step())
		}
		if s == nil {
			w.tick()
			continue
		}
		for _, o := range s.Orders(w.time()) {
			skipped := o.Kind == Fence && !g.fenced
			answered := skipped || w.send(o)
			if w.random.Float64() < 0.1 {
				s.RecordMissingReport(o)
				continue
			}
			r := w.report(o.Rank)
			if skipped {
				r.Prepared = o.Version
			}
			s.RecordReport(o, r, answered, w.time())
		}
		w.tick()
	}
}

// next is what a coordinator begins with: it takes over a held step, or waits
// until nothing is armed and starts a change.
func (w *world) next(g guards, version *int64) *Switch {
	roles := Roles{Coordinator: w.random.IntN(len(w.ranks)), Holder: w.random.IntN(len(w.ranks)), Absent: w.frozen}
	if roles.Coordinator == w.frozen {
		return nil
	}
	for n, r := range w.ranks {
		if r.held != 0 && n != w.frozen {
			*version += 4
			if !g.beginner {
				w.coordinator = roles.Coordinator
			}
			roles.Holder = n
			return Recover(w.epoch, *version, r.held, roles, len(w.ranks), w.time())
		}
	}
	for _, r := range w.ranks {
		if r.armed != 0 || w.frozen != NoRank {
			return nil
		}
	}
	*version += 4
	w.coordinator = roles.Coordinator
	l := Limits{PrepareTimeout: 2 * time.Second, ArmTimeout: 300 * time.Millisecond}
	return New(w.epoch, *version, roles, len(w.ranks), w.last, l, w.time())
}

func TestAllRanksUseOneMap(t *testing.T) {
	c := qt.New(t)
	changes := 0
	for seed := range uint64(1200) {
		w := newWorld(seed, 2+int(seed%4))
		w.coordinate(guards{fenced: true, ordered: true, beginner: true}, 60*time.Second)
		c.Check(w.mixed, qt.IsNil, qt.Commentf("seed %d", seed))
		changes += w.changes
	}
	c.Check(changes > 100_000, qt.IsTrue, qt.Commentf("%d changes", changes))
	t.Logf("%d changes of a rank's map", changes)
}

// TestTwins shows that the worlds above find the faults that each guard is for.
func TestTwins(t *testing.T) {
	tests := []struct {
		name   string
		guards guards
	}{
		{"without the fence", guards{ordered: true, beginner: true}},
		{"any rank may be absent", guards{fenced: true, beginner: true}},
		{"whoever took over may be absent", guards{fenced: true, ordered: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20_000) {
				w := newWorld(seed, 2+int(seed%4))
				w.coordinate(tt.guards, 60*time.Second)
				if w.mixed != nil {
					t.Logf("seed %d: %v", seed, w.mixed)
					return
				}
			}
			t.Fatal("no world shows two maps without the guard")
		})
	}
}
