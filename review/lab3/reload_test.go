//go:build review

package lab3

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// reloadBudget has the servers of a service fail two in five requests, and changes the settings
// file of the entries, in a value that has nothing to do with retries.
func reloadBudget(w *world) (bool, error) {
	const (
		servers  = 5
		perS     = 58
		entries  = 2
		duration = 18 * time.Second
		reloadAt = 5200 * time.Millisecond
	)
	var mu sync.Mutex
	arrivals := map[string]int{}
	var repeats, firsts []time.Time
	for n := range servers {
		l, err := w.listen(60 + n)
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+n)
		count := 0
		server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("Attempt-Id")
			out.Header().Set("Attempt-Id", attempt)
			if r.Header.Get("Expected-Instance") != id {
				out.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			mu.Lock()
			if arrivals[attempt]++; arrivals[attempt] > 1 {
				repeats = append(repeats, time.Now())
			}
			count++
			fails := count%5 < 2
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			out.Header().Set("Server-Signature", id)
			if fails {
				out.WriteHeader(http.StatusInternalServerError)
			}
			_, _ = fmt.Fprintf(out, "stock for %s", attempt)
		})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		w.register(id, "shop", l.Addr().String(), 40, 0, w.began)
	}
	w.putConfig(1, []map[string]any{route("stock", "/stock/", "idempotent", "shop", 4, 1500)}, []map[string]any{service("shop", 0)}, 15000)
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
	time.Sleep(4 * time.Second) // the entries know each other
	began, isReloaded := time.Now(), false
	w.logf("clients begin, %d requests a second", perS)
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < duration; n++ {
		if trouble() && !isReloaded && time.Since(began) > reloadAt {
			isReloaded = true
			w.bounds["gracePeriodS"] = 9
			for _, e := range w.entries {
				if err := w.writeSettings(e); err != nil {
					return false, err
				}
				e.signal(syscall.SIGHUP)
			}
		}
		mu.Lock()
		firsts = append(firsts, time.Now())
		mu.Unlock()
		wg.Go(func() {
			once(context.Background(), w.entries[n%entries].traffic(), http.MethodGet, "/stock/1", 1500, "")
		})
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / perS)))
	}
	wg.Wait()
	return judgeBudget(w, firsts, repeats), nil
}

// judgeBudget looks for a window of 10 s with more repeats than the ratio and the extra allow.
func judgeBudget(w *world, firsts, repeats []time.Time) bool {
	const window, ratio, extra = 10 * time.Second, 0.2, 184.0
	in := func(list []time.Time, from, to time.Time) int {
		a, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
		b, _ := slices.BinarySearchFunc(list, to, time.Time.Compare)
		return b - a
	}
	slices.SortFunc(repeats, time.Time.Compare)
	perSecond := map[int]int{}
	for _, r := range repeats {
		perSecond[int(r.Sub(w.began).Seconds())]++
	}
	w.logf("repeats by second: %v", perSecond)
	worst, allowedThen, at := 0, 0.0, time.Time{}
	for _, from := range repeats {
		n := in(repeats, from, from.Add(window))
		most := 0
		for _, earlier := range []time.Duration{0, window / 2, window} {
			most = max(most, in(firsts, from.Add(-earlier), from.Add(window-earlier)))
		}
		allowed := ratio*float64(most) + extra
		if float64(n)-allowed > float64(worst)-allowedThen || at.IsZero() {
			worst, allowedThen, at = n, allowed, from
		}
	}
	w.logf("%d requests, %d repeats; the worst window of 10 s begins at %.3f s: %d repeats, allowed %.1f", len(firsts), len(repeats), at.Sub(w.began).Seconds(), worst, allowedThen)
	return float64(worst) > allowedThen
}
