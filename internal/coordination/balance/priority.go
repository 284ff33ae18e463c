package balance

import "time"

const (
	// priorityWindow is the number of recent requests of a service over which the
	// priorities are counted.
	priorityWindow = 100
	// urgentReserve is the share of the capacity that a request leaves free if all other
	// requests are more urgent. Trunk reservation: a small reserve is enough for the more
	// urgent requests to find room first whenever there is too little.
	urgentReserve = 0.15
	// guaranteedShare is the share of less urgent requests that leave no reserve, so that
	// no priority is served less than a quarter as often as the service on average.
	guaranteedShare = 0.3
	// pastGoalReserve is the share of the capacity that requests past their latency goal
	// leave to those that can still meet theirs.
	pastGoalReserve = 0.25
	// guaranteeSteps is the resolution of guaranteedShare.
	guaranteeSteps = 1000
)

// priorityMix has the share of each priority among the recent requests of a service.
type priorityMix map[int]float64

func (p priorityMix) record(priority int) {
	for other := range p {
		p[other] *= 1 - 1.0/priorityWindow
	}
	p[priority] += 1.0 / priorityWindow
}

// shareBefore returns the share of the requests that are more urgent than a priority.
func (p priorityMix) shareBefore(priority int) float64 {
	out := 0.0
	for other, share := range p {
		if other < priority {
			out += share
		}
	}
	return out
}

// recordPriority counts the priority of a request that has arrived.
func (f *Fleet) recordPriority(r Request) {
	mix := f.priorities[r.Service]
	if mix == nil {
		mix = priorityMix{}
		f.priorities[r.Service] = mix
	}
	mix.record(r.Priority)
}

// reserveFor returns the share of the slots and of the gap goal that the request leaves
// to other requests. Only streams that have not begun leave any.
func (f *Fleet) reserveFor(r Request, now time.Time) float64 {
	if !r.Stream || r.Resumed {
		return 0
	}
	reserve := urgentReserve * f.priorities[r.Service].shareBefore(r.Priority)
	if float64(r.Key%guaranteeSteps) < guaranteedShare*guaranteeSteps {
		reserve = 0
	}
	if f.fairnessOf(r.Service).isExcess(r.Account, now) {
		reserve = max(reserve, excessReserve)
	}
	if r.PastGoal {
		reserve = max(reserve, pastGoalReserve)
	}
	return reserve
}
