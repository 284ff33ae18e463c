//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// addedEntries adds two entries to three while a server that has just started, and is cold, gets
// as many requests as the entries let through.
func addedEntries(w *world) (bool, error) {
	const (
		coldPerS = 20.0
		allowed  = int(coldPerS*1.5 + 5)
		perEntry = 30 // requests a second that each entry is sent
		duration = 12 * time.Second
	)
	l, err := w.listen(60)
	if err != nil {
		return false, err
	}
	id := "i-7f3a91c2"
	var mu sync.Mutex
	var arrivals []time.Time
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Attempt-Id")
		out.Header().Set("Attempt-Id", attempt)
		if r.Header.Get("Expected-Instance") != id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		out.Header().Set("Server-Signature", id)
		_, _ = fmt.Fprintf(out, "stock for %s", attempt)
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	w.register(id, "shop", l.Addr().String(), 40, 60000, w.began)
	w.putConfig(1, []map[string]any{route("stock", "/stock/", "idempotent", "shop", 2, 1500)}, []map[string]any{service("shop", coldPerS)}, 15000)
	first := 3
	if !trouble() {
		first = 5
	}
	start := func(n int) error {
		e, err := w.startEntry(n)
		if err == nil {
			err = e.waitReady(10 * time.Second)
		}
		return err
	}
	for n := range first {
		if err := start(n + 1); err != nil {
			return false, err
		}
	}
	time.Sleep(9 * time.Second) // the entries have read their list twice
	for n := first; n < 5; n++ {
		if err := start(n + 1); err != nil {
			return false, err
		}
	}
	w.logf("clients begin, %d requests a second at each entry", perEntry)
	began := time.Now()
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < duration; n++ {
		for _, e := range w.entries {
			wg.Go(func() { once(context.Background(), e.traffic(), http.MethodGet, "/stock/1", 1500, "") })
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / perEntry)))
	}
	wg.Wait()
	worst, at := 0, time.Time{}
	for n, from := range arrivals {
		count := 0
		for _, a := range arrivals[n:] {
			if a.Sub(from) < time.Second {
				count++
			}
		}
		if count > worst {
			worst, at = count, from
		}
	}
	w.logf("%d arrivals at the cold server; the worst second begins at %.3f s: %d arrivals, allowed %d", len(arrivals), at.Sub(w.began).Seconds(), worst, allowed)
	return worst > allowed, nil
}
