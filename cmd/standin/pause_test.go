package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEntryServesAfterAPause pauses an entry while it forwards streams. The gaps between
// their events do not mean that the targets are slow, also not for the next 20 s.
func TestEntryServesAfterAPause(t *testing.T) {
	const (
		pause       = 3 * time.Second
		requestGap  = 150 * time.Millisecond
		settleDelay = time.Second
		sent        = 140
	)
	t.Parallel()
	s := newCrashRun(t, func(*http.Request, string) bool { return false }, crashHooks{})
	client := &http.Client{Timeout: 5 * time.Second}
	var streams sync.WaitGroup
	var served atomic.Int64
	send := func(n int) {
		streams.Go(func() {
			if a := s.send(client, s.entries[0], true, fmt.Sprint("sound ", n), ""); a.status == http.StatusOK && a.complete {
				served.Add(1)
			}
		})
		time.Sleep(requestGap)
	}
	for n := range 10 {
		send(n)
	}
	s.entries[0].signal(syscall.SIGSTOP)
	time.Sleep(pause)
	s.entries[0].signal(syscall.SIGCONT)
	time.Sleep(settleDelay)
	streams.Wait()
	served.Store(0)
	for n := range sent {
		send(n)
	}
	streams.Wait()
	s.c.Check(served.Load()*10 >= sent*9, qt.IsTrue, qt.Commentf("%d of %d served after the pause", served.Load(), sent))
	s.checkLogs()
}
