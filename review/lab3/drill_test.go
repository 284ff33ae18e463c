//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// removedKeyInDrill takes a key away, has the store come back from a copy that still has it, and
// kills all entries at the same moment. The operator writes its configuration again.
func removedKeyInDrill(w *world) (bool, error) {
	const (
		entries    = 3
		revocation = 5 * time.Second
		// The times count from the acknowledgement of the configuration without the key.
		drillAt = 3500 * time.Millisecond
		awayFor = 300 * time.Millisecond
		// rewriteIn is the time from the store's return to the operator's write.
		rewriteIn = 3 * time.Second
		endAt     = 9 * time.Second
	)
	l, err := w.listen(60)
	if err != nil {
		return false, err
	}
	id := "i-7f3a91c2"
	var mu sync.Mutex
	sent := map[string]time.Time{}
	ran := map[string]time.Time{}
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Attempt-Id")
		out.Header().Set("Attempt-Id", attempt)
		if r.Header.Get("Expected-Instance") != id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mu.Lock()
		ran[attempt] = time.Now()
		mu.Unlock()
		out.Header().Set("Server-Signature", id)
		_, _ = fmt.Fprintf(out, "stock for %s", attempt)
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	register := func() { w.register(id, "shop", l.Addr().String(), 40, 0, w.began) }
	routes := []map[string]any{route("stock", "/stock/", "idempotent", "shop", 2, 1500)}
	services := []map[string]any{service("shop", 0)}
	register()
	w.keys = []string{apiKey, "key-of-the-verger"}
	w.putConfig(1, routes, services, 15000)
	for n := range entries {
		if _, err := w.startEntry(n + 1); err != nil {
			return false, err
		}
	}
	for _, e := range w.entries {
		if err := e.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	copied := w.store.Copy()
	w.logf("the copy of the store is made")
	time.Sleep(time.Second)
	w.keys = []string{"key-of-the-verger"}
	w.putConfig(2, routes, services, 15000)
	acked := time.Now()
	statuses := map[string]int{}
	var wg sync.WaitGroup
	done := make(chan struct{})
	for _, e := range w.entries {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(40 * time.Millisecond):
				}
				at := time.Now()
				o := once(context.Background(), e.traffic(), http.MethodGet, "/stock/1", 1500, "")
				mu.Lock()
				sent[o.id] = at
				statuses[fmt.Sprintf("second %2d: %d", int(at.Sub(acked).Seconds()), o.status)]++
				mu.Unlock()
			}
		})
	}
	if trouble() {
		time.Sleep(time.Until(acked.Add(drillAt)))
		w.logf("the store is away, and all entries are killed")
		w.store.Hang()
		for _, e := range w.entries {
			e.signal(syscall.SIGKILL)
		}
		time.Sleep(awayFor)
		w.store.Restore(copied)
		w.store.Resume()
		w.logf("the store is back from the copy, which is %d ms old", time.Since(acked).Milliseconds()+1000)
		register()
		back := time.Now()
		for _, e := range w.entries {
			if err := e.restart(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(back.Add(rewriteIn)))
		w.putConfig(2, routes, services, 15000)
	}
	time.Sleep(time.Until(acked.Add(endAt)))
	close(done)
	wg.Wait()
	for s := range int(endAt.Seconds()) {
		for _, status := range []int{0, 200, 401, 502, 503, 504} {
			if n := statuses[fmt.Sprintf("second %2d: %d", s, status)]; n > 0 {
				w.logf("clients with the removed key, second %d after the acknowledgement: %d times status %d", s, n, status)
			}
		}
	}
	late := 0
	for attempt, at := range sent {
		if _, hasRun := ran[attempt]; hasRun && at.Sub(acked) > revocation {
			late++
			if late <= 5 {
				w.logf("%s was sent %d ms after the acknowledgement, and ran", attempt, at.Sub(acked).Milliseconds())
			}
		}
	}
	w.logf("%d requests with the removed key ran that were sent later than %s after the acknowledgement", late, revocation)
	return late > 0, nil
}
