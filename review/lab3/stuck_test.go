//go:build review

package lab3

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stuckWatch has the store turn one of two entries away without a word, for some seconds, and kills
// the other one once that is over. Later a server leaves.
func stuckWatch(w *world) (bool, error) {
	const (
		servers   = 3
		perS      = 20
		drain     = 2 * time.Second
		silentFor = 6 * time.Second
		// The times count from the end of the silence.
		killAt    = 2500 * time.Millisecond
		restartIn = 250 * time.Millisecond
		leaveAt   = 4500 * time.Millisecond // the store is stable, and the entry in touch, from 3 s on
		// exitAfter is the time from the acknowledgement that a server leaves to its exit.
		exitAfter = 4 * time.Second
		endAt     = 10 * time.Second
	)
	type arrival struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival // at the server that leaves
	running := map[string]bool{}
	var leaving *http.Server
	leave := func() {}
	for n := range servers {
		l, err := w.listen(60 + n)
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+n)
		server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("Attempt-Id")
			out.Header().Set("Attempt-Id", attempt)
			if r.Header.Get("Expected-Instance") != id {
				out.Header().Set("Instance-Id", id)
				out.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if n == 0 {
				mu.Lock()
				arrivals = append(arrivals, arrival{attempt, time.Now()})
				running[attempt] = true
				mu.Unlock()
			}
			time.Sleep(400 * time.Millisecond)
			if n == 0 {
				mu.Lock()
				delete(running, attempt)
				mu.Unlock()
			}
			out.Header().Set("Server-Signature", id)
			_, _ = fmt.Fprintf(out, "order %s is placed", attempt)
		})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		w.register(id, "shop", l.Addr().String(), 12, 0, w.began)
		if n == 0 {
			leaving = server
			leave = func() { w.registerAs(id, "shop", l.Addr().String(), 12, 0, w.began, "draining") }
		}
	}
	w.putConfig(1, []map[string]any{route("order", "/order/", "non_idempotent", "shop", 1, 1500)}, []map[string]any{service("shop", 0)}, 15000)
	g, err := newGate(w)
	if err != nil {
		return false, err
	}
	w.entryStoreAddr = g.address
	first, err := w.startEntry(1)
	if err != nil {
		return false, err
	}
	w.entryStoreAddr = ""
	second, err := w.startEntry(2)
	if err != nil {
		return false, err
	}
	for _, e := range w.entries {
		if err := e.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second) // the entries know each other
	done := make(chan struct{})
	statuses := map[int]int{}
	lost := 0
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Second / perS):
			}
			wg.Go(func() {
				o := once(context.Background(), first.traffic(), http.MethodPost, "/order/1", 1500, "crate")
				mu.Lock()
				defer mu.Unlock()
				statuses[o.status]++
				if running[o.id] {
					lost++
					w.logf("client: order %s, which the leaving server had begun, gets status %d", o.id, o.status)
				}
			})
		}
	})
	if isPlayed("silent") {
		w.logf("the store turns %s away without a word", first.name)
		g.isSilent.Store(true)
	}
	time.Sleep(silentFor)
	g.isSilent.Store(false)
	w.logf("the store turns nobody away")
	healed := time.Now()
	time.Sleep(killAt)
	if isPlayed("kill") {
		second.signal(syscall.SIGKILL)
		time.Sleep(restartIn)
		if err := second.restart(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(healed.Add(leaveAt)))
	leave()
	acked := time.Now()
	w.logf("the store acknowledges that a server leaves")
	time.Sleep(exitAfter)
	mu.Lock()
	w.logf("the server exits with %d orders that it has begun", len(running))
	mu.Unlock()
	_ = leaving.Close()
	time.Sleep(time.Until(healed.Add(endAt)))
	close(done)
	wg.Wait()
	late := 0
	var latest time.Duration
	for _, a := range arrivals {
		if after := a.at.Sub(acked); after > drain {
			late++
			latest = max(latest, after)
		}
	}
	w.logf("clients of %s by status: %v", first.name, statuses)
	w.logf("%d requests reached the leaving server later than %s after the acknowledgement, the last one after %d ms; %d orders that it had begun got no answer", late, drain, latest.Milliseconds(), lost)
	return late > 0, nil
}
