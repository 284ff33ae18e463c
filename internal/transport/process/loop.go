package process

import (
	"sync"
	"time"
)

// maxQueuedCalls is the number of queued functions at which Post starts to block.
const maxQueuedCalls = 1024

// Loop is the control loop of a process: one goroutine that runs the posted
// functions one after another. All control state is changed on it, so that the state
// needs no locks.
type Loop struct {
	calls     chan func(now time.Time)
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewLoop returns a control loop and starts its goroutine.
func NewLoop() *Loop {
	l := &Loop{
		calls: make(chan func(now time.Time), maxQueuedCalls),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(l.done)
		for {
			select {
			case f := <-l.calls:
				f(time.Now())
			case <-l.stop:
				return
			}
		}
	}()
	return l
}

// Post queues f to run on the control loop and does not wait for it. It blocks while
// the queue is full, and may drop f once the loop has stopped. The argument of f is
// the time at which it runs.
func (l *Loop) Post(f func(now time.Time)) {
	select {
	case l.calls <- f:
	case <-l.stop:
	}
}

// Call runs f on the control loop and returns its result, or the zero value if the
// loop has stopped. It deadlocks if it is called on the control loop.
func Call[R any](l *Loop, f func(now time.Time) R) R {
	reply := make(chan R, 1)
	l.Post(func(now time.Time) { reply <- f(now) })
	select {
	case r := <-reply:
		return r
	case <-l.done:
		var zero R
		return zero
	}
}

// Close stops the control loop and waits for the running function to return.
func (l *Loop) Close() {
	l.closeOnce.Do(func() { close(l.stop) })
	<-l.done
}

// Every calls f with the present time once per interval until stop is closed. It blocks,
// and skips calls while f takes longer than the interval or the process does not run.
func Every(interval time.Duration, stop <-chan struct{}, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			// A ticker sends the time at which the tick was due.
			f(time.Now())
		case <-stop:
			return
		}
	}
}
