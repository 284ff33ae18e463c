//go:build review

package lab3

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// revocation is revocationMs.
const revocation = 5 * time.Second

// keyShop is a service that is asked with a key that is taken away.
type keyShop struct {
	w      *world
	server *http.Server
	target *listedServer
	// acked is the time of the acknowledgement of the configuration without the key.
	acked   time.Time
	done    chan struct{}
	clients sync.WaitGroup

	mu sync.Mutex
	// sent has the time of each request with the key, ran those that the server ran, and statuses
	// counts the answers by second.
	sent     map[string]time.Time
	ran      map[string]bool
	statuses map[int]map[int]int
}

// listedServer is a server's entry in the store.
type listedServer struct {
	id, service, address string
	born                 time.Time
}

// newKeyShop starts a server and a number of entries, and waits until they know each other.
func newKeyShop(w *world, entries int) (*keyShop, error) {
	s := &keyShop{w: w, done: make(chan struct{}), sent: map[string]time.Time{}, ran: map[string]bool{}, statuses: map[int]map[int]int{}}
	l, err := w.listen(60)
	if err != nil {
		return nil, err
	}
	s.target = &listedServer{id: "i-7f3a91c2", service: "shop", address: l.Addr().String(), born: w.began}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	s.register()
	w.keys = []string{apiKey, "key-of-the-verger"}
	s.putConfig(1)
	for n := range entries {
		if _, err := w.startEntry(n + 1); err != nil {
			return nil, err
		}
	}
	for _, e := range w.entries {
		if err := e.waitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	return s, nil
}

func (s *keyShop) close() { _ = s.server.Close() }

// serve runs a request that expects this server.
func (s *keyShop) serve(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", attempt)
	if r.Header.Get("Expected-Instance") != s.target.id {
		out.Header().Set("Instance-Id", s.target.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.ran[attempt] = true
	s.mu.Unlock()
	out.Header().Set("Server-Signature", s.target.id)
	_, _ = fmt.Fprintf(out, "stock for %s", attempt)
}

// register writes the server's entry, as its heartbeat does.
func (s *keyShop) register() {
	s.w.register(s.target.id, s.target.service, s.target.address, 40, 0, s.target.born)
}

func (s *keyShop) putConfig(version int) {
	s.w.putConfig(version, []map[string]any{route("stock", "/stock/", "idempotent", "shop", 2, 1500)}, []map[string]any{service("shop", 0)}, 15000)
}

// removeKey takes the clients' key away.
func (s *keyShop) removeKey() {
	s.w.keys = []string{"key-of-the-verger"}
	s.putConfig(2)
	s.acked = time.Now()
}

// startClients has clients ask each entry with the removed key 25 times a second.
func (s *keyShop) startClients() {
	for _, e := range s.w.entries {
		s.clients.Go(func() {
			for {
				select {
				case <-s.done:
					return
				case <-time.After(40 * time.Millisecond):
				}
				at := time.Now()
				o := once(context.Background(), e.traffic(), http.MethodGet, "/stock/1", 1500, "")
				second := int(at.Sub(s.acked).Seconds())
				s.mu.Lock()
				s.sent[o.id] = at
				if s.statuses[second] == nil {
					s.statuses[second] = map[int]int{}
				}
				s.statuses[second][o.status]++
				s.mu.Unlock()
			}
		})
	}
}

// judge ends the clients at a time after the acknowledgement, and reports whether a request ran
// that was sent later than revocationMs after it.
func (s *keyShop) judge(endAt time.Duration) bool {
	time.Sleep(time.Until(s.acked.Add(endAt)))
	close(s.done)
	s.clients.Wait()
	for second := range int(endAt.Seconds()) {
		s.w.logf("clients with the removed key, second %d after the acknowledgement: number by status %v", second, s.statuses[second])
	}
	late := 0
	for attempt, at := range s.sent {
		if after := at.Sub(s.acked); s.ran[attempt] && after > revocation {
			late++
			s.w.logf("%s was sent %d ms after the acknowledgement, and ran", attempt, after.Milliseconds())
		}
	}
	s.w.logf("%d requests with the removed key ran that were sent later than %s after the acknowledgement", late, revocation)
	return late > 0
}
