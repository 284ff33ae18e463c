package balance

import (
	"slices"
	"time"
)

// Ticket is a waiting request.
type Ticket struct {
	need  Request
	grant chan *Lease
}

// Granted yields the lease once there is room.
func (t *Ticket) Granted() <-chan *Lease { return t.grant }

const (
	// rhythmWeight is the weight of one grant in the average time between
	// grants.
	rhythmWeight = 0.1
	// rhythmMost bounds one such time, so that an idle night does not count.
	rhythmMost = 500 * time.Millisecond
	// shiftTime is how long a rank group without room is expected to have some
	// soon: its experts are being moved after a shift of favourites.
	shiftTime = 700 * time.Millisecond
)

// rhythm is how often a service of this fleet has room for a request.
type rhythm struct {
	interval time.Duration
	last     time.Time
}

func (r *rhythm) granted(now time.Time) {
	gap := min(now.Sub(r.last), rhythmMost)
	r.interval = blend(r.interval, gap, rhythmWeight)
	r.last = now
}

// wait is how long a request behind others is expected to wait; a service
// that has had no room for longer than a shift of favourites takes is expected
// to have none for as long again.
func (r *rhythm) wait(ahead int, now time.Time) time.Duration {
	out := time.Duration(ahead) * r.interval
	if closed := now.Sub(r.last); closed > shiftTime {
		out += closed
	}
	return out
}

// before reports whether a request is granted before one that waits already.
func (n Request) before(o Request) bool {
	if n.Priority != o.Priority {
		return n.Priority < o.Priority
	}
	return o.PastGoal && !n.PastGoal
}

// Enqueue queues a request behind those of the same or a better priority, and
// late ones behind those that can be answered in time. It returns nil where
// most already wait, or where the request would wait for longer than its
// patience: such a one is refused at once.
func (f *Fleet) Enqueue(n Request, most int, patience time.Duration, now time.Time) *Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	waiting := 0
	for _, t := range f.queue {
		if t.need.Service == n.Service && !n.before(t.need) {
			waiting++
		}
	}
	if waiting >= most || f.rhythm(n.Service, now).wait(waiting, now) > patience {
		return nil
	}
	t := &Ticket{need: n, grant: make(chan *Lease, 1)}
	at := len(f.queue)
	for at > 0 && n.before(f.queue[at-1].need) {
		at--
	}
	f.queue = slices.Insert(f.queue, at, t)
	return t
}

// rhythm returns a service's rhythm; one that was not seen yet begins now.
func (f *Fleet) rhythm(service string, now time.Time) *rhythm {
	r := f.rhythms[service]
	if r == nil {
		r = &rhythm{last: now}
		f.rhythms[service] = r
	}
	return r
}

// Cancel takes a request out of the queue; a lease that it was granted
// meanwhile is returned.
func (f *Fleet) Cancel(t *Ticket) *Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(o *Ticket) bool { return o == t })
	select {
	case l := <-t.grant:
		return l
	default:
		return nil
	}
}

// Poll grants what the passing of time has made room for.
func (f *Fleet) Poll(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serveQueue(now)
}

// serveQueue grants places in order; a service without room is asked once.
func (f *Fleet) serveQueue(now time.Time) {
	if len(f.queue) == 0 {
		return
	}
	full := map[string]bool{}
	f.queue = slices.DeleteFunc(f.queue, func(t *Ticket) bool {
		if full[t.need.Service] {
			return false
		}
		l, _ := f.pick(t.need, now)
		if l == nil {
			full[t.need.Service] = true
			return false
		}
		t.grant <- l
		return true
	})
}
