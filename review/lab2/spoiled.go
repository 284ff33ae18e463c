//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["spoiled-stream"] = playSpoiledStream }

// playSpoiledStream has half of the model servers spoil three in a hundred of their answers for
// five seconds: what comes has the status 200, but is encoded or bears no signature, and is no
// stream of events.
func playSpoiledStream(w *world, hasTrouble bool) []string {
	const (
		events      = 24
		spoilEach   = 34 // x = 0.03 of a server's answers, rounded down
		callers     = 12
		calmTime    = 4 * time.Second
		troubleTime = 5 * time.Second
	)
	var mu sync.Mutex
	var isSpoiling atomic.Bool
	spoiled, counts := map[string]string{}, map[string]int{}
	for n := range 4 {
		var s *server
		answers := 0
		s = w.startServer(fmt.Sprintf("i-%08x", 0x5840f93b+n), "drafts", 12, func(c net.Conn, r *http.Request, _ []byte) bool {
			id := r.Header.Get("Attempt-Id")
			form := ""
			mu.Lock()
			if isSpoiling.Load() && n < 2 {
				if answers++; answers%spoilEach == 0 {
					form = []string{"encoded", "unsigned"}[len(spoiled)%2]
					spoiled[id] = form + " by " + s.id
				}
			}
			mu.Unlock()
			w.printf("%s runs %s %s", s.id, id, form)
			time.Sleep(20 * time.Millisecond)
			switch form {
			case "encoded":
				body := "\x1f\x8b\x08\x00 not the server's bytes"
				_, err := fmt.Fprintf(c, "%s%s", s.head(200, id, fmt.Sprintf("Content-Type: application/octet-stream\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n", len(body))), body)
				return err == nil
			case "unsigned":
				body := "<html>not the server's bytes</html>"
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Type: text/html\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
				return err == nil
			}
			_, err := fmt.Fprint(c, s.head(200, id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
			for e := lastEvent(r) + 1; e <= events && err == nil; e++ {
				text := fmt.Sprintf("id: %d\ndata: %s.%d\n\n", e, id, e)
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
				time.Sleep(4 * time.Millisecond)
			}
			if err == nil {
				_, err = fmt.Fprint(c, "0\r\n\r\n")
			}
			return err == nil
		})
	}
	w.configure([]string{"drafts"}, route("lohu930", "streaming", "drafts", map[string]any{"streamResumption": true}))
	w.startGateways(2)
	var broken []string
	check := func(id string, a reply) {
		mu.Lock()
		defer mu.Unlock()
		counts[fmt.Sprint(a.status)]++
		fault := ""
		switch {
		case !a.isWhole || a.status < 200 || a.status > 299:
		case a.header.Get("Server-Signature") == "":
			fault = "a success without the server's signature"
		case a.header.Get("Content-Encoding") != "" || !isWholeStream(a.body, id, events):
			fault = "a success with a body that is not the server's whole body"
		}
		if fault != "" {
			broken = append(broken, fmt.Sprintf("MIXED: the client got for %s %s: %q (%s)", id, fault, a.body[:min(len(a.body), 40)], spoiled[id]))
		}
	}
	end := time.Now().Add(calmTime + troubleTime + calmTime)
	var calling sync.WaitGroup
	for n := range callers {
		calling.Go(func() {
			g := w.gateways[n%len(w.gateways)]
			for time.Now().Before(end) {
				c, err := dial(g.frontend)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for isOpen := true; isOpen && time.Now().Before(end); {
					id := newID()
					w.printf("client %d sends %s to %s", n, id, g.name)
					_, _ = c.Write([]byte(requestText("POST", "/lohu930/2f", id, `{"prompt":"pennant"}`, 8*time.Second,
						"Model: m", "Token-Usage: 714,96", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:40,%s:674", id[:8]))))
					a := c.read("POST", 9*time.Second)
					w.printf("client %d got %d for %s, signature %q, type %q, encoding %q, %d bytes, whole %v", n, a.status, id,
						a.header.Get("Server-Signature"), a.header.Get("Content-Type"), a.header.Get("Content-Encoding"), len(a.body), a.isWhole)
					check(id, a)
					isOpen = a.err == nil && !a.closed
				}
				_ = c.Close()
			}
		})
	}
	time.Sleep(calmTime)
	if hasTrouble {
		w.printf("two of four servers spoil one in %d of their answers for %s", spoilEach, troubleTime)
		isSpoiling.Store(true)
		time.Sleep(troubleTime)
		isSpoiling.Store(false)
		w.printf("the servers are sound again")
	}
	calling.Wait()
	w.printf("answers by status: %v; %d answers were spoiled, %d of them reached a client as a success", counts, len(spoiled), len(broken))
	return broken
}

// lastEvent returns the event after which a request goes on with a stream.
func lastEvent(r *http.Request) int {
	n := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &n)
	return n
}

// isWholeStream reports whether a body has all events of a request's stream in order.
func isWholeStream(body, id string, events int) bool {
	var want strings.Builder
	for e := 1; e <= events; e++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s.%d\n\n", e, id, e)
	}
	return body == want.String()
}
