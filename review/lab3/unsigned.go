//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// unsignedSuccess has half of the servers of a streaming service spoil one in fifty of their
// answers: instead of the stream comes a page without the server's signature or, every other
// time, an encoded body with it.
func unsignedSuccess(w *world) (bool, error) {
	const (
		servers  = 4
		faulty   = 2
		spoilOne = 50
		requests = 800
		pieces   = 6
	)
	var mu sync.Mutex
	spoiled := map[string]string{}
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
			count++
			spoil, isEncoded := trouble() && n < faulty && count%spoilOne == 0, count/spoilOne%2 == 0
			if spoil {
				spoiled[attempt] = id
			}
			mu.Unlock()
			if spoil {
				w.logf("%s spoils its answer to %s", id, attempt)
				out.Header().Set("Content-Type", "text/html")
				if isEncoded {
					out.Header().Set("Server-Signature", id)
					out.Header().Set("Content-Encoding", "gzip")
				}
				_, _ = fmt.Fprintln(out, "<html>It works!</html>")
				return
			}
			out.Header().Set("Server-Signature", id)
			out.Header().Set("Content-Type", "text/event-stream")
			for p := 1; p <= pieces; p++ {
				_, _ = fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", p, p, attempt)
				_ = http.NewResponseController(out).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		w.register(id, "drafts", l.Addr().String(), 12, 0, w.began)
	}
	w.putConfig(1, []map[string]any{route("draft", "/draft/", "streaming", "drafts", 2, 8000)}, []map[string]any{service("drafts", 0)}, 15000)
	e, err := w.startEntry(1)
	if err != nil {
		return false, err
	}
	if err := e.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	wrong, good, other := 0, 0, 0
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			o := once(context.Background(), e.traffic(), http.MethodPost, "/draft/1", 8000, "Token")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case o.err != nil || o.status >= 300:
				other++
				w.logf("client: %s gets status %d, error %v", o.id, o.status, o.err)
			case o.sig == "" || o.encoding != "" || !strings.Contains(o.body, fmt.Sprintf("piece %d of %s", pieces, o.id)):
				wrong++
				w.logf("client: %s gets status %d, signature %q, type %q, encoding %q, body %q; spoiled by %q", o.id, o.status, o.sig, o.contentType, o.encoding, o.body, spoiled[o.id])
			default:
				good++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	w.logf("%d requests: %d whole streams, %d successes without a signature or with another body, %d others; %d answers were spoiled", requests, good, wrong, other, len(spoiled))
	return wrong > 0, nil
}
