package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// copyingEngine answers each order with the next status of a list, and writes its first answer
// on a connection once more where the second one is due.
func copyingEngine(t *testing.T, statuses ...int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader, first := bufio.NewReader(conn), ""
		for count := 0; ; count++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			status, body := http.StatusOK, `{"step":7,"boot":"b"}`
			if request.Method == http.MethodPost {
				mu.Lock()
				status, statuses, body = statuses[0], statuses[1:], ""
				mu.Unlock()
			}
			answer := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			if count == 0 {
				first = answer
			} else if count == 1 {
				answer = first + answer
			}
			_, _ = io.WriteString(conn, answer)
			if request.Close {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// TestOrderIsNotAnsweredByACopiedAnswer guards against a map that counts as loaded although the
// engine refused it.
func TestOrderIsNotAnsweredByACopiedAnswer(t *testing.T) {
	const timeout = time.Second
	tests := []struct {
		name     string
		statuses [2]int
	}{
		{"accepted, then refused", [2]int{http.StatusOK, http.StatusConflict}},
		{"refused, then accepted", [2]int{http.StatusConflict, http.StatusOK}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			address := copyingEngine(t, tt.statuses[:]...)
			for n, status := range tt.statuses {
				err := OrderMap(address, MapOrder{Version: int64(n + 1)}, timeout)
				c.Check(err == nil, qt.Equals, status == http.StatusOK, qt.Commentf("order %d: %v", n, err))
			}
			state, err := ReadRank(address, timeout)
			c.Check(err, qt.IsNil)
			c.Check(state.Step, qt.Equals, int64(7))
			load, err := ReadLoad(address, "/load", timeout)
			c.Check(err, qt.IsNil)
			c.Check(load.Boot, qt.Equals, "b")
		})
	}
}
