//go:build review

package lab3

import (
	"net"
	"sync"
	"sync/atomic"
)

// gate is what lies between an entry and the store: it resets all connections while it is closed.
// While it is silent it accepts connections, and passes nothing on; a connection on which an answer
// is lost stays silent.
type gate struct {
	address            string
	isClosed, isSilent atomic.Bool
	mu                 sync.Mutex
	open               map[net.Conn]bool
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
		buffer, isLost := make([]byte, 32<<10), false
		for {
			n, err := from.Read(buffer)
			isLost = isLost || g.isSilent.Load()
			if n > 0 && !isLost {
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
