package balance

import (
	"slices"
	"time"
)

// Ticket is a waiting request.
type Ticket struct {
	need  Need
	grant chan *Lease
}

// Granted yields the lease once there is room.
func (t *Ticket) Granted() <-chan *Lease { return t.grant }

// Wait queues a request behind those of the same or a better priority; it
// returns nil where most already wait for the service.
func (f *Fleet) Wait(n Need, most int) *Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	waiting := 0
	for _, t := range f.queue {
		if t.need.Service == n.Service && t.need.Priority <= n.Priority {
			waiting++
		}
	}
	if waiting >= most {
		return nil
	}
	t := &Ticket{need: n, grant: make(chan *Lease, 1)}
	at := len(f.queue)
	for at > 0 && f.queue[at-1].need.Priority > n.Priority {
		at--
	}
	f.queue = slices.Insert(f.queue, at, t)
	return t
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
