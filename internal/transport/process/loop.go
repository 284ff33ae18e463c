package process

import (
	"sync"
	"time"
)

const loopBuffer = 1024

// Loop is a process's control thread: every change of control state runs on
// it, one after another.
type Loop struct {
	calls chan func(now time.Time)
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once
}

// NewLoop starts the control thread.
func NewLoop() *Loop {
	l := &Loop{
		calls: make(chan func(now time.Time), loopBuffer),
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

// Post runs f on the control thread some time later.
func (l *Loop) Post(f func(now time.Time)) {
	select {
	case l.calls <- f:
	case <-l.stop:
	}
}

// Call runs f on the control thread and returns its result, or the zero value
// once the loop has stopped.
func Call[R any](l *Loop, f func(now time.Time) R) R {
	reply := make(chan R, 1)
	l.Post(func(now time.Time) { reply <- f(now) })
	select {
	case r := <-reply:
		return r
	case <-l.done:
		var none R
		return none
	}
}

// Close stops the control thread.
func (l *Loop) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

// Every calls f at an interval until stop is closed.
func Every(interval time.Duration, stop <-chan struct{}, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			f(now)
		case <-stop:
			return
		}
	}
}
