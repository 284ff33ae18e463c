//go:build review

package lab2

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["pinned-version"] = playPinnedVersion }

// kindCount counts the requests of one kind, and those that were served.
type kindCount struct{ asked, served int }

func (k kindCount) share() float64 { return float64(k.served) / float64(max(k.asked, 1)) }

// playPinnedVersion has one client ask every few seconds, with one retry at the other gateway,
// for a version of the weights that the model servers no longer have.
func playPinnedVersion(w *world, hasTrouble bool) []string {
	const (
		weights   = 2
		calmTime  = 2 * time.Second
		playTime  = 30 * time.Second
		askEach   = 4 * time.Second
		perSecond = 10
		leastPart = 0.25
	)
	start := func(n int, service string, answerTime time.Duration) {
		var s *server
		s = w.startServer(fmt.Sprintf("i-%s-%d", service, n), service, 12, func(c net.Conn, r *http.Request, _ []byte) bool {
			id := r.Header.Get("Attempt-Id")
			if v := r.Header.Get("Expected-Version"); v != "" && v != strconv.Itoa(weights) {
				w.printf("%s answers 421 to %s, which expects version %s", s.id, id, v)
				_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nAt-Server: %s\r\nInstance-Id: %s\r\nWeight-Versions: %d\r\nContent-Length: 0\r\n\r\n", id, s.id, s.id, weights)
				return err == nil
			}
			w.printf("%s runs %s", s.id, id)
			time.Sleep(answerTime)
			if service == "storefront" {
				_, err := fmt.Fprintf(c, "%s%s", s.head(200, id, fmt.Sprintf("Content-Length: %d\r\n", len(id))), id)
				return err == nil
			}
			_, err := fmt.Fprint(c, s.head(200, id, fmt.Sprintf("Content-Type: text/event-stream\r\nWeight-Versions: %d\r\nTransfer-Encoding: chunked\r\n", weights)))
			for e := 1; e <= 8 && err == nil; e++ {
				text := fmt.Sprintf("id: %d\ndata: %s.%d\n\n", e, id, e)
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
			}
			if err == nil {
				_, err = fmt.Fprint(c, "0\r\n\r\n")
			}
			return err == nil
		})
	}
	for n := range 4 {
		start(n, "drafts", 20*time.Millisecond)
	}
	for n := range 3 {
		start(n, "storefront", 30*time.Millisecond)
	}
	w.configure([]string{"drafts", "storefront"}, route("lohu930", "streaming", "drafts", map[string]any{"streamResumption": true}),
		route("cufi504", "idempotent", "storefront", map[string]any{"timeoutMs": 1500, "priority": 2}))
	w.startGateways(2)
	// ask sends one request on a new connection, and returns whether it was served.
	ask := func(g *gateway, method, path string, more ...string) bool {
		c, err := dial(g.frontend)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		id := newID()
		body := ""
		if method == http.MethodPost {
			body = `{"prompt":"pennant"}`
		}
		w.printf("a client sends %s %s to %s %v", path, id, g.name, more)
		_, _ = c.Write([]byte(requestText(method, path, id, body, 1500*time.Millisecond, more...)))
		a := c.read(method, 2*time.Second)
		w.printf("the client got %d for %s, signature %q, retry after %q, whole %v", a.status, id, a.header.Get("Server-Signature"), a.header.Get("Retry-After"), a.isWhole)
		return a.isWhole && a.status == http.StatusOK && a.header.Get("Server-Signature") != ""
	}
	var mu sync.Mutex
	drafts, stock := &kindCount{}, &kindCount{}
	var asking sync.WaitGroup
	began := time.Now()
	count := func(k *kindCount, g *gateway, method, path string) {
		asking.Go(func() {
			isServed := ask(g, method, path)
			mu.Lock()
			defer mu.Unlock()
			k.asked++
			if isServed {
				k.served++
			}
		})
	}
	asking.Go(func() {
		pinned := weights
		if hasTrouble {
			pinned--
		}
		for at := calmTime; at < playTime; at += askEach {
			time.Sleep(time.Until(began.Add(at)))
			for _, g := range w.gateways { // the retry reaches another node
				if ask(g, http.MethodPost, "/lohu930/2f", fmt.Sprintf("Expected-Version: %d", pinned)) {
					break
				}
			}
		}
	})
	for n := range int(playTime.Seconds()) * perSecond {
		g := w.gateways[n%len(w.gateways)]
		count(drafts, g, http.MethodPost, "/lohu930/2f")
		count(stock, g, http.MethodGet, "/cufi504/2f")
		time.Sleep(time.Second / perSecond)
	}
	asking.Wait()
	all := kindCount{asked: drafts.asked + stock.asked, served: drafts.served + stock.served}
	w.printf("drafts: %d of %d served, stock checks: %d of %d, all: %d of %d", drafts.served, drafts.asked, stock.served, stock.asked, all.served, all.asked)
	if drafts.share() >= leastPart*all.share() {
		return nil
	}
	return []string{fmt.Sprintf("Starved: %d of %d drafts were served (%.3f) and %d of %d of all requests (%.3f); %g of that is the least",
		drafts.served, drafts.asked, drafts.share(), all.served, all.asked, all.share(), leastPart)}
}
