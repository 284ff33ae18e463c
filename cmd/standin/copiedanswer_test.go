package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/target"
)

// copyPause separates a copy from the answer that follows it.
const copyPause = 5 * time.Millisecond

// copyingTarget is a target that once writes its first answer on a connection again where
// the second one is due.
type copyingTarget struct {
	status  int
	hasID   bool
	hasBody bool
	copied  atomic.Bool
}

func (g *copyingTarget) listen(t *testing.T) string {
	l, err := net.Listen("tcp", freeAddress())
	must(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(conn)
		}
	}()
	return l.Addr().String()
}

func (g *copyingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, first := bufio.NewReader(conn), ""
	for count := 1; ; count++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		if request.URL.Path == "/load" {
			const load = `{"boot":"b"}`
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(load), load)
			return
		}
		answer := g.answer(request, body)
		if count == 1 {
			first = answer
		} else if !g.copied.Swap(true) {
			_, _ = io.WriteString(conn, first)
			time.Sleep(copyPause)
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func (g *copyingTarget) answer(request *http.Request, body []byte) string {
	head, text := fmt.Sprintf("HTTP/1.1 %d X\r\n", g.status), ""
	if g.hasID {
		head += "X-Request-Id: " + request.Header.Get("X-Request-Id") + "\r\n"
	}
	if g.hasBody {
		text = plainAnswer(parseLabel(body))
	}
	if g.status == http.StatusNoContent {
		return head + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
}

// TestRequestIsNotAnsweredByACopiedAnswer has a target write an answer once more where that
// to the next request on the connection is due.
func TestRequestIsNotAnsweredByACopiedAnswer(t *testing.T) {
	const requests = 6
	tests := []struct {
		name           string
		target         *copyingTarget
		isEchoRequired bool
		// wantOwn is how many requests get their answer.
		wantOwn int
	}{
		{"answer without id", &copyingTarget{status: 200, hasBody: true}, false, 6},
		{"refusal without id", &copyingTarget{status: 503, hasBody: true}, false, 6},
		{"answer with id", &copyingTarget{status: 200, hasID: true, hasBody: true}, false, 6},
		{"answer without the required id", &copyingTarget{status: 200, hasBody: true}, true, 0},
		{"answer with the required id", &copyingTarget{status: 200, hasID: true, hasBody: true}, true, 5},
		{"empty answer with the required id", &copyingTarget{status: 200, hasID: true}, true, 5},
		{"answer that has no body, with the required id", &copyingTarget{status: 204, hasID: true}, true, 5},
	}
	f := testFleet(t)
	config := "data-centres: {east: {}}\nservices:\n"
	var names []string
	for n, tt := range tests {
		id := fmt.Sprint("copies-", n)
		f.targetAddresses[id] = tt.target.listen(t)
		i := target.Instance{ID: id, Role: target.Agent, Service: id, DataCentre: "east", Peer: freeAddress(), Traffic: freeAddress()}
		f.instances = append(f.instances, i)
		must(t, f.startAgent(i))
		names = append(names, id)
		config += fmt.Sprintf("  %s: {kind: plain, timeout: 5s, echo-required: %t}\n", id, tt.isEchoRequired)
	}
	config += fmt.Sprintf("accounts:\n  parish: {services: [%s], keys: [\"DIGEST\"]}\n", strings.Join(names, ", "))
	must(t, f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(config)})
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			must(t, waitFor(func() bool { return reportedLimit(f, names[n]) > 0 }, names[n]+" is ready"))
			own := 0
			for k := range requests {
				label := fmt.Sprint(k)
				got, err := f.send("entry-1", "GET", "/"+names[n]+"/x", fmt.Sprintf(`{"token":%q}`, label), nil)
				c.Assert(err, qt.IsNil)
				if got.effect != "" {
					c.Check(got.effect, qt.Equals, "unknown")
					continue
				}
				c.Check(got.status, qt.Equals, tt.target.status)
				if tt.target.hasBody {
					c.Check(got.body, qt.Equals, plainAnswer(label))
				}
				own++
			}
			c.Check(own, qt.Equals, tt.wantOwn)
		})
	}
}
