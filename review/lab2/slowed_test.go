//go:build review

package lab2

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slowed-gateway"] = playSlowedGateway }

// runSlowly lets a process run a part of each period only.
func (g *gateway) runSlowly(duration, stop, run time.Duration) {
	g.mu.Lock()
	process := g.cmd.Process
	g.mu.Unlock()
	for until := time.Now().Add(duration); time.Now().Before(until); {
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(stop)
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(run)
	}
}

// playSlowedGateway has one of ten gateways run five times slower for five seconds. Its clients
// use kept connections, on which checks of the stock, which wait for a tenth of a second, and
// orders take turns. The service is busy.
func playSlowedGateway(w *world, hasTrouble bool) []string {
	const (
		gateways   = 10
		crowd      = 64 // clients of the first gateway; each other one has one
		work       = 30 * time.Millisecond
		checkTime  = 100 * time.Millisecond
		orderTime  = 1500 * time.Millisecond
		calmTime   = 2 * time.Second
		slowTime   = 5 * time.Second
		stop, run  = 120 * time.Millisecond, 30 * time.Millisecond
		afterwards = 4 * time.Second
	)
	var mu sync.Mutex
	ran := map[string]bool{}
	for n := range 3 {
		var s *server
		s = w.startServer(fmt.Sprintf("i-%08x", 0x9e16b79e+n), "storefront", 6, func(c net.Conn, r *http.Request, _ []byte) bool {
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			ran[id] = true
			mu.Unlock()
			w.printf("%s runs %s", s.id, id)
			time.Sleep(work)
			_, err := fmt.Fprintf(c, "%s%s", s.head(200, id, fmt.Sprintf("Content-Length: %d\r\n", len(id))), id)
			return err == nil
		})
	}
	terms := map[string]any{"timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2}
	w.configure([]string{"storefront"}, route("cufi504", "idempotent", "storefront", terms), route("puxa403", "non_idempotent", "storefront", terms))
	w.startGateways(gateways)
	type falseSuccess struct{ kind, id, gateway, phase string }
	var found []falseSuccess
	counts := map[string]int{}
	phase := "before"
	end := time.Now().Add(calmTime + slowTime + afterwards)
	var calling sync.WaitGroup
	for n := range crowd + gateways - 1 {
		g := w.gateways[max(0, n-crowd+1)]
		calling.Go(func() {
			for time.Now().Before(end) {
				c, err := dial(g.frontend)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				isOpen := true
				for sent := 0; isOpen && time.Now().Before(end); sent++ {
					id, kind := newID(), "check"
					text := requestText(http.MethodGet, "/cufi504/2f", id, "", checkTime)
					if sent%2 == 1 {
						kind = "order"
						text = requestText(http.MethodPost, "/puxa403/2f", id, `{"crates":1}`, orderTime)
					}
					_, _ = c.Write([]byte(text))
					a := c.read(http.MethodPost, 2*time.Second)
					isSigned := a.header.Get("Server-Signature") != ""
					w.printf("client %d sent %s the %s %s and got %d, signed %v, %q, whole %v", n, g.name, kind, id, a.status, isSigned, a.body, a.isWhole)
					mu.Lock()
					counts[fmt.Sprintf("%s %s %d signed %v", phase, kind, a.status, isSigned)]++
					if a.isWhole && a.status >= 200 && a.status <= 299 && !isSigned {
						found = append(found, falseSuccess{kind, id, g.name, phase})
					}
					mu.Unlock()
					isOpen = a.err == nil && !a.closed
				}
				_ = c.Close()
			}
		})
	}
	enter := func(next string) {
		mu.Lock()
		defer mu.Unlock()
		phase = next
		w.printf("phase: %s", next)
	}
	time.Sleep(calmTime)
	enter("during")
	if hasTrouble {
		w.printf("%s runs %s of each %s", w.gateways[0].name, run, stop+run)
		w.gateways[0].runSlowly(slowTime, stop, run)
	} else {
		time.Sleep(slowTime)
	}
	enter("after")
	calling.Wait()
	w.printf("answers: %v", counts)
	var broken []string
	ranCount := 0
	for _, f := range found {
		if ran[f.id] {
			ranCount++
		}
		broken = append(broken, fmt.Sprintf("MIXED: the client got a success without the server's signature for the %s %s from %s, %s the trouble; run by a server: %v", f.kind, f.id, f.gateway, f.phase, ran[f.id]))
	}
	w.printf("%d successes without a signature, %d of these requests were run by a server", len(found), ranCount)
	return broken
}
