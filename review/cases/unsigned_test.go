//go:build review

// The case unsigned sends requests on a streaming route whose servers answer some of them
// with wrong bytes: a complete 200 that is no stream and bears no signature, or whose body
// is encoded. It checks that no client gets such an answer as a success.
package cases

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serverCount   = 5
	clientCount   = 10
	requestsEach  = 100
	eventCount    = 8
	eventInterval = 5 * time.Millisecond
	// The dose: 2 of 5 servers spoil one of 40 answers, for 5.5 s.
	spoilingServers = 2
	spoiledEach     = 40
	troublePeriod   = 5500 * time.Millisecond
)

// serve streams the events of a sound server, or a spoiled answer.
func spoilingHandler(k *Kit, b *Backend, spoils bool) func(net.Conn, *http.Request, []byte) bool {
	var served atomic.Int64
	began := time.Now()
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Attempt-Id")
		n := served.Add(1)
		if k.Trouble && spoils && n%spoiledEach == 0 && time.Since(began) < troublePeriod {
			page := "<html><body>It works!</body></html>\n"
			header := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Type: text/html\r\nContent-Length: %d\r\n", id, len(page))
			kind := "no signature"
			if n%(2*spoiledEach) == 0 {
				kind = "a signature, but an encoded body"
				header += "Server-Signature: " + b.ID + "\r\nContent-Encoding: gzip\r\n"
			}
			k.Record("%s answers %s with a page: %s", b.ID, id, kind)
			_, _ = io.WriteString(c, header+"\r\n"+page)
			return true
		}
		k.Record("%s runs %s", b.ID, id)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, b.ID)
		for n := 1; n <= eventCount; n++ {
			time.Sleep(eventInterval)
			event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

func runUnsigned(dir string) (int, error) {
	k, err := New(dir)
	if err != nil {
		return NotRun, err
	}
	defer func() { k.Close(false) }()
	k.Configure(1, []string{"key-of-guild"}, Route{Name: "draft", Kind: "streaming", Service: "drafts", Attempts: 2, TimeoutMs: 8000, Resumable: true})
	for n := range serverCount {
		b := &Backend{ID: fmt.Sprintf("drafts-%d", n), Service: "drafts"}
		b.Serve = spoilingHandler(k, b, n < spoilingServers)
		if err := k.AddBackend(100+n, b); err != nil {
			return NotRun, err
		}
	}
	entry, err := k.StartEntry(0, k.StoreAddr)
	if err != nil {
		return NotRun, err
	}
	if err := WaitReady(entry); err != nil {
		return NotRun, err
	}
	var broken, whole atomic.Int64
	var clients sync.WaitGroup
	for n := range clientCount {
		clients.Go(func() {
			c := &Client{Address: entry.Traffic}
			defer c.Close()
			for i := range requestsEach {
				id := fmt.Sprintf("a-%d-%d", n, i)
				r := c.Send(http.MethodPost, "/draft/x", id, "key-of-guild", 8*time.Second, "draft a pennant")
				signature, encoding := r.Header.Get("Server-Signature"), r.Header.Get("Content-Encoding")
				k.Record("%s got status %d, complete %v, signature %q, encoding %q, %d bytes", id, r.Status, r.Complete, signature, encoding, len(r.Body))
				switch {
				case r.Status/100 == 2 && r.Complete && (signature == "" || encoding != ""):
					k.Record("BROKEN: %s got a success without the server's signature, or with a body that is not the server's", id)
					broken.Add(1)
				case r.Status == http.StatusOK && strings.Count(r.Body, "data: ") == eventCount:
					whole.Add(1)
				}
			}
		})
	}
	clients.Wait()
	fmt.Printf("%d requests, %d whole streams, %d false successes\n", clientCount*requestsEach, whole.Load(), broken.Load())
	switch {
	case broken.Load() > 0:
		return Broken, nil
	case whole.Load() == 0:
		return NotRun, fmt.Errorf("no stream was served")
	}
	return Held, nil
}
