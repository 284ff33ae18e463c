//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// wantedVersion has a day end with its final fault, the kill of all processes, and one client ask
// each entry for a version of the weights that the servers of its service do not have. The kill is
// played without the disruption as well: it alone must not break the rule.
func wantedVersion(w *world) (bool, error) {
	const (
		servers  = 4
		perS     = 40
		recovery = 12 * time.Second
		before   = 4 * time.Second
		watched  = 15 * time.Second
	)
	for n := range servers {
		l, err := w.listen(60 + n)
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+n)
		server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("Attempt-Id")
			out.Header().Set("Attempt-Id", attempt)
			wanted := r.Header.Get("Expected-Version")
			if r.Header.Get("Expected-Instance") != id || wanted != "" && wanted != "1" {
				out.Header().Set("Instance-Id", id)
				out.Header().Set("At-Server", id)
				out.WriteHeader(http.StatusMisdirectedRequest)
				w.logf("%s answers %s with 421: version %q is wanted", id, attempt, wanted)
				return
			}
			out.Header().Set("Server-Signature", id)
			out.Header().Set("Weight-Versions", "1")
			out.Header().Set("Content-Type", "text/event-stream")
			for p := 1; p <= 4; p++ {
				_, _ = fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", p, p, attempt)
				_ = http.NewResponseController(out).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		w.register(id, "drafts", l.Addr().String(), 12, 0, w.began)
	}
	configure := func(version int) {
		w.putConfig(version, []map[string]any{route("draft", "/draft/", "streaming", "drafts", 2, 8000)}, []map[string]any{service("drafts", 0)}, 15000)
	}
	configure(1)
	for n := range 2 {
		if _, err := w.startEntry(n + 1); err != nil {
			return false, err
		}
	}
	for _, e := range w.entries {
		if err := e.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	var mu sync.Mutex
	type sentAt struct {
		at     time.Time
		status int
	}
	var all []sentAt
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(time.Second / perS):
			}
			wg.Go(func() {
				at := time.Now()
				o := once(context.Background(), w.entries[n%2].traffic(), http.MethodPost, "/draft/1", 8000, "Token")
				mu.Lock()
				defer mu.Unlock()
				all = append(all, sentAt{at, o.status})
			})
		}
	})
	time.Sleep(before)
	configure(2)
	killedAt := time.Now()
	for _, e := range w.entries {
		e.signal(syscall.SIGKILL)
	}
	for _, e := range w.entries {
		if err := e.restart(); err != nil {
			return false, err
		}
	}
	for _, e := range w.entries {
		if err := e.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	back := time.Now()
	if trouble() {
		time.Sleep(time.Second)
		for _, e := range w.entries {
			c, err := net.Dial("tcp", e.traffic())
			if err != nil {
				return false, err
			}
			id := newID()
			w.logf("a client sends %s to %s, which wants version 2 of the weights", id, e.name)
			_, _ = fmt.Fprintf(c, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\nExpected-Version: 2\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n", host, id, apiKey)
			buffer := make([]byte, 200)
			_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
			n, err := c.Read(buffer)
			w.logf("it gets %.20q (%v)", buffer[:n], err)
			_ = c.Close()
		}
	}
	time.Sleep(time.Until(back.Add(recovery + watched)))
	close(done)
	wg.Wait()
	share := func(from, to time.Time) float64 {
		served, sent := 0, 0
		for _, s := range all {
			if !s.at.Before(from) && s.at.Before(to) {
				sent++
				if s.status == http.StatusOK {
					served++
				}
			}
		}
		w.logf("of %d requests sent from %.1f s to %.1f s, %d are served", sent, from.Sub(w.began).Seconds(), to.Sub(w.began).Seconds(), served)
		return float64(served) / float64(max(sent, 1))
	}
	earlier := share(w.began, killedAt)
	later := share(back.Add(recovery), back.Add(recovery+watched))
	return earlier >= 0.25 && later < 0.25, nil
}
