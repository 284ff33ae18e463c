package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// GroupState is the state of a rank group, or of the targets of a plain service, as a dump
// shows it.
type GroupState struct {
	Name string `yaml:"name"`
	// OccupancyPercent is the estimated share of the slots that all entries use; -1 if no
	// target has reported its load lately.
	OccupancyPercent int   `yaml:"occupancy-percent"`
	StepTimeMs       int64 `yaml:"pace-ms"`
	FirstEventMs     int64 `yaml:"first-event-ms"`
}

// ServiceState is the state of a service's queue and slots as a dump shows it.
type ServiceState struct {
	Service string `yaml:"service"`
	// Queued and QueuedLate are the numbers of queued requests, QueuedLate of those past
	// their latency goal.
	Queued     int `yaml:"queued"`
	QueuedLate int `yaml:"queued-late"`
	// OwnSlots is this entry's share of the slots, and OwnSlotsFree the part that is free.
	OwnSlots     int `yaml:"own-slots"`
	OwnSlotsFree int `yaml:"own-slots-free"`
	// Priorities has the percentage of each priority among the recent requests.
	Priorities map[int]int `yaml:"priorities"`
	// ExcessAccounts are the client accounts whose requests exceed their usual part.
	ExcessAccounts []string     `yaml:"excess-accounts"`
	Groups         []GroupState `yaml:"groups"`
}

// Services returns the state of all services, sorted by name.
func (f *Fleet) Services(now time.Time) []ServiceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []ServiceState
	for _, service := range slices.Sorted(maps.Keys(f.services)) {
		share := f.slotShareOf(Request{Service: service}, now)
		s := ServiceState{Service: service, OwnSlots: share.slots, OwnSlotsFree: share.free, Priorities: map[int]int{}}
		for _, t := range f.queue {
			switch {
			case t.request.Service != service:
			case t.request.PastGoal:
				s.QueuedLate++
			default:
				s.Queued++
			}
		}
		for priority, part := range f.priorities[service] {
			s.Priorities[priority] = percent(part)
		}
		if accounts := f.fairness[service]; accounts != nil {
			s.ExcessAccounts = accounts.excess(now)
		}
		s.Groups = f.groupStates(service, now)
		out = append(out, s)
	}
	return out
}

func (f *Fleet) groupStates(service string, now time.Time) []GroupState {
	var out []GroupState
	for _, m := range f.services[service] {
		g := m.group
		if slices.ContainsFunc(out, func(s GroupState) bool { return s.Name == g.name }) {
			continue
		}
		s := GroupState{Name: g.name, OccupancyPercent: -1, StepTimeMs: g.stepTime.mean.Milliseconds(), FirstEventMs: g.firstEventTime.Milliseconds()}
		if now.Sub(g.occupancy.reportedAt) <= occupancyMaxAge {
			s.OccupancyPercent = percent(g.occupancy.mean)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b GroupState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func percent(share float64) int { return int(math.Round(100 * share)) }

// excess returns the accounts whose requests exceed their usual part, sorted.
func (f *fairness) excess(now time.Time) []string {
	var out []string
	for account := range f.usages {
		if f.isExcess(account, now) {
			out = append(out, account)
		}
	}
	slices.Sort(out)
	return out
}

// QueueLength returns the number of queued requests of all services.
func (f *Fleet) QueueLength() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.queue)
}
