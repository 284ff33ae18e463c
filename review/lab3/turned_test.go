//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// gate is what lies between an entry and the store: it resets all connections while it is closed.
type gate struct {
	address  string
	isClosed atomic.Bool
	mu       sync.Mutex
	open     map[net.Conn]bool
}

// newGate starts a gate in front of the store.
func newGate(w *world) (*gate, error) {
	l, err := w.listen(8)
	if err != nil {
		return nil, err
	}
	g := &gate{address: l.Addr().String(), open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c, w.storeAddr)
		}
	}()
	return g, nil
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (g *gate) serve(c net.Conn, store string) {
	if g.isClosed.Load() {
		reset(c)
		return
	}
	s, err := net.Dial("tcp", store)
	if err != nil {
		reset(c)
		return
	}
	g.mu.Lock()
	g.open[c], g.open[s] = true, true
	g.mu.Unlock()
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
		g.mu.Lock()
		delete(g.open, to)
		delete(g.open, from)
		g.mu.Unlock()
	}
	go pass(c, s)
	pass(s, c)
}

// close resets all connections and refuses new ones with a reset.
func (g *gate) close() {
	g.isClosed.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		reset(c)
	}
}

// turnedAwayInDrill has the store turn the entry away with resets while a key is taken away, and
// come back from a copy that still has the key. The operator writes its configuration again.
func turnedAwayInDrill(w *world) (bool, error) {
	const (
		entries    = 3
		revocation = 5 * time.Second
		// The times count from the acknowledgement of the configuration without the key.
		turnedAwayFor = 3500 * time.Millisecond
		rewriteIn     = 3 * time.Second
		endAt         = 9 * time.Second
	)
	l, err := w.listen(60)
	if err != nil {
		return false, err
	}
	id := "i-7f3a91c2"
	var mu sync.Mutex
	sent, ran := map[string]time.Time{}, map[string]bool{}
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Attempt-Id")
		out.Header().Set("Attempt-Id", attempt)
		if r.Header.Get("Expected-Instance") != id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mu.Lock()
		ran[attempt] = true
		mu.Unlock()
		out.Header().Set("Server-Signature", id)
		_, _ = fmt.Fprintf(out, "stock for %s", attempt)
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	routes := []map[string]any{route("stock", "/stock/", "idempotent", "shop", 2, 1500)}
	services := []map[string]any{service("shop", 0)}
	w.register(id, "shop", l.Addr().String(), 40, 0, w.began)
	w.keys = []string{apiKey, "key-of-the-verger"}
	w.putConfig(1, routes, services, 15000)
	g, err := newGate(w)
	if err != nil {
		return false, err
	}
	w.entryStoreAddr = g.address
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
	time.Sleep(500 * time.Millisecond)
	if trouble() {
		w.logf("the store turns the entries away with resets")
		g.close()
		time.Sleep(100 * time.Millisecond)
	}
	w.keys = []string{"key-of-the-verger"}
	w.putConfig(2, routes, services, 15000)
	acked := time.Now()
	statuses := map[string]int{}
	var wg sync.WaitGroup
	done := make(chan struct{})
	for _, e := range w.entries {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(40 * time.Millisecond):
				}
				at := time.Now()
				o := once(context.Background(), e.traffic(), http.MethodGet, "/stock/1", 1500, "")
				mu.Lock()
				sent[o.id] = at
				statuses[fmt.Sprintf("%d/%d", int(at.Sub(acked).Seconds()), o.status)]++
				mu.Unlock()
			}
		})
	}
	if trouble() {
		time.Sleep(time.Until(acked.Add(turnedAwayFor)))
		w.store.Restore(copied)
		w.register(id, "shop", l.Addr().String(), 40, 0, w.began)
		g.isClosed.Store(false)
		w.logf("the store is back from the copy, which is %d ms old, and turns nobody away", time.Since(acked).Milliseconds()+600)
		time.Sleep(rewriteIn)
		w.putConfig(2, routes, services, 15000)
	}
	time.Sleep(time.Until(acked.Add(endAt)))
	close(done)
	wg.Wait()
	w.logf("status of clients with the removed key, by second after the acknowledgement: %v", statuses)
	late := 0
	for attempt, at := range sent {
		if ran[attempt] && at.Sub(acked) > revocation {
			if late++; late <= 5 {
				w.logf("%s was sent %d ms after the acknowledgement, and ran", attempt, at.Sub(acked).Milliseconds())
			}
		}
	}
	w.logf("%d requests with the removed key ran that were sent later than %s after the acknowledgement", late, revocation)
	return late > 0, nil
}
