package hedge

import (
	"fmt"
	"time"
)

// MaxShare is the largest share of second requests. With more, a service at 0.7 of its
// slots would come close to its capacity.
const MaxShare = 0.2

const (
	// refusalMemory is how long after a refusal for lack of capacity no second request
	// is sent.
	refusalMemory = 2 * time.Second
	// maxUse is the fraction of the slots in use above which no second request is sent.
	maxUse = 0.7
	// slowFraction is the fraction of the share that the requests past the delay take up
	// while the times are steady. With all of it, a tenth of the slow requests found the
	// share used up, which kept p99.9 of lost answers at the deadline.
	slowFraction = 0.75
)

// CheckShare returns an error unless a number can be the share of second requests.
func CheckShare(share float64) error {
	if !(share >= 0 && share <= MaxShare) { // false for NaN
		return fmt.Errorf("the share of second requests must be from 0 to %g: %g", MaxShare, share)
	}
	return nil
}

// Reason is why a second request is not sent.
type Reason string

// The reasons not to send a second request. The first four are those of Service.Check, the
// others those of its caller.
const (
	// Queued means that requests of the service wait for a slot.
	Queued Reason = "queued"
	// Refused means that one was refused for lack of capacity a short time ago.
	Refused Reason = "refused"
	// Busy means that most slots are in use.
	Busy Reason = "busy"
	// ShareUsed means that the share is used up.
	ShareUsed Reason = "share"
	// NoTimes means that there are too few recent times for a delay.
	NoTimes Reason = "times"
	// NoTarget means that no other target is suitable.
	NoTarget Reason = "target"
	// NotAllowed means that the retry budget, the route's number of attempts or another
	// condition of repeated requests does not allow it.
	NotAllowed Reason = "repeat"
)

// Load is the load of a service as far as an entry knows.
type Load struct{ queued, inUse, slots int }

// NewLoad returns the load of a service with a number of queued requests and of slots in
// use, of all its slots. The number of slots is 0 if it is not known.
func NewLoad(queued, inUse, slots int) Load { return Load{queued: queued, inUse: inUse, slots: slots} }

// Service decides on the second requests of one service at one entry. It is not safe for
// concurrent use.
type Service struct {
	budget    budget
	times     map[Class]*times
	refusedAt time.Time
}

// NewService returns the state of a service without any request. The share must be one
// that CheckShare accepts, and above 0.
func NewService(share float64) *Service {
	return &Service{budget: budget{share: share}, times: map[Class]*times{}}
}

// RecordFirstAttempt counts a request of the service, whether or not it may be repeated.
func (s *Service) RecordFirstAttempt(now time.Time) { s.budget.slotAt(now).firstAttempts++ }

// RecordTime records the time from the first attempt of a request to its answer or first
// event. For an attempt that was overtaken it is the time that the attempt lasted.
func (s *Service) RecordTime(c Class, d time.Duration, now time.Time) {
	t := s.times[c]
	if t == nil {
		t = newTimes(now)
		s.times[c] = t
	}
	t.record(d, now)
}

// RecordRefusal records that a request was refused for lack of capacity.
func (s *Service) RecordRefusal(now time.Time) { s.refusedAt = now }

// Delay returns the time after which a first attempt without an answer counts as slow. It
// returns false if there are too few recent times.
func (s *Service) Delay(c Class, now time.Time) (time.Duration, bool) {
	t := s.times[c]
	if t == nil {
		return 0, false
	}
	return t.quantile(1-slowFraction*s.budget.share, now)
}

// Check returns why no second request is to be sent now, or an empty reason.
func (s *Service) Check(l Load, now time.Time) Reason {
	switch {
	case l.queued > 0:
		return Queued
	case !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusalMemory:
		return Refused
	case l.slots > 0 && float64(l.inUse) > maxUse*float64(l.slots):
		return Busy
	case !s.budget.allows(now):
		return ShareUsed
	}
	return ""
}

// Spend takes one second request from the share and reports whether there was one left.
func (s *Service) Spend(now time.Time) bool {
	if !s.budget.allows(now) {
		return false
	}
	s.budget.slotAt(now).sent++
	return true
}

// GiveBack returns what Spend took for a second request that was not sent after all.
func (s *Service) GiveBack(now time.Time) {
	c := s.budget.slotAt(now)
	c.sent = max(c.sent-1, 0)
}
