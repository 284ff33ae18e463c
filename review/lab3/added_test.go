//go:build review

package lab3

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// coldServer takes orders, and crashes once it has got more of them in one second than the rule
// allows while it is cold.
type coldServer struct {
	w       *world
	id      string
	allowed int
	server  *http.Server

	mu       sync.Mutex
	arrivals []time.Time
	// running has the orders that have begun and are not answered, and lost those of them at the
	// crash.
	running, lost map[string]bool
	hasCrashed    bool
}

// worst returns the most arrivals within one second. The caller holds s.mu.
func (s *coldServer) worst() int {
	most, first := 0, 0
	for n, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

func (s *coldServer) serve(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", attempt)
	if r.Header.Get("Expected-Instance") != s.id {
		out.Header().Set("Instance-Id", s.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.running[attempt] = true
	if s.worst() > s.allowed && !s.hasCrashed {
		s.hasCrashed = true
		for id := range s.running {
			s.lost[id] = true
		}
		s.w.logf("server: %d arrivals within a second, %d are allowed; it crashes with %d orders that it had begun", s.worst(), s.allowed, len(s.lost))
		go func() { _ = s.server.Close() }()
	}
	s.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	s.mu.Lock()
	delete(s.running, attempt)
	s.mu.Unlock()
	out.Header().Set("Server-Signature", s.id)
	_, _ = fmt.Fprintf(out, "order %s is placed", attempt)
}

// addedEntries adds three entries to three while the only server of a service is cold and many
// users come at once.
func addedEntries(w *world) (bool, error) {
	const (
		coldPerS = 20.0
		entries  = 6
		perEntry = 30 // requests a second that each entry is sent
		duration = 10 * time.Second
	)
	l, err := w.listen(60)
	if err != nil {
		return false, err
	}
	s := &coldServer{w: w, id: "i-7f3a91c2", allowed: int(coldPerS*1.5 + 5), running: map[string]bool{}, lost: map[string]bool{}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	defer func() { _ = s.server.Close() }()
	w.register(s.id, "shop", l.Addr().String(), 40, 60000, w.began)
	w.putConfig(1, []map[string]any{route("order", "/order/", "non_idempotent", "shop", 1, 1500)}, []map[string]any{service("shop", coldPerS)}, 15000)
	first := entries / 2
	if !trouble() {
		first = entries
	}
	for n := range entries {
		if n == first {
			time.Sleep(9 * time.Second) // the first ones have read the list of entries twice
		}
		e, err := w.startEntry(n + 1)
		if err == nil {
			err = e.waitReady(10 * time.Second)
		}
		if err != nil {
			return false, err
		}
	}
	if !trouble() {
		time.Sleep(9 * time.Second)
	}
	w.logf("clients begin, %d orders a second at each entry", perEntry)
	began := time.Now()
	failed := map[string]int{}
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < duration; n++ {
		for _, e := range w.entries {
			wg.Go(func() {
				o := once(context.Background(), e.traffic(), http.MethodPost, "/order/1", 1500, "a crate of flags")
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.lost[o.id] && o.status != http.StatusOK {
					failed[o.id] = o.status
				}
			})
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / perEntry)))
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	w.logf("%d orders arrived at the cold server, %d in the worst second, allowed %d; %d orders that it had begun were lost, their clients got %v",
		len(s.arrivals), s.worst(), s.allowed, len(failed), failed)
	return s.worst() > s.allowed, nil
}
