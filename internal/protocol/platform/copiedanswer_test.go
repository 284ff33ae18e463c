package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// copyingPlatform takes each other write, answers a read with the path, and writes its first
// answer on a connection once more where the second one is due.
func copyingPlatform(t *testing.T, refusesFirst bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	var writes atomic.Int64
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader, first := bufio.NewReader(conn), ""
		for count := 0; ; count++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			status, body := http.StatusOK, request.URL.Path
			if request.Method == http.MethodPut {
				body = ""
				if isFirst := writes.Add(1) == 1; isFirst == refusesFirst {
					status = http.StatusPreconditionFailed
				}
			}
			answer := fmt.Sprintf("HTTP/1.1 %d X\r\nETag: \"7\"\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
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
	return "http://" + l.Addr().String()
}

// TestCallIsNotAnsweredByACopiedAnswer guards against a claim that counts as written although
// another attempt holds the key.
func TestCallIsNotAnsweredByACopiedAnswer(t *testing.T) {
	put := func(client *Client, key string) error {
		_, err := client.Put(key, nil, Absent)
		return err
	}
	get := func(client *Client, key string) error {
		o, err := client.Get(key)
		if err == nil && string(o.Value) != pathObjects+key {
			err = fmt.Errorf("got the answer to %s", o.Value)
		}
		return err
	}
	tests := []struct {
		name          string
		refusesFirst  bool
		first, second func(*Client, string) error
		want          [2]error
	}{
		{"written, then in conflict", false, put, put, [2]error{nil, ErrConflict}},
		{"in conflict, then written", true, put, put, [2]error{ErrConflict, nil}},
		{"read twice", false, get, get, [2]error{}},
		{"read after a conflict", true, put, get, [2]error{ErrConflict, nil}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			client := NewClient(copyingPlatform(t, tt.refusesFirst), time.Second)
			for n, call := range []func(*Client, string) error{tt.first, tt.second} {
				err := call(client, fmt.Sprint("claims/", n))
				if tt.want[n] == nil {
					c.Check(err, qt.IsNil)
					continue
				}
				c.Check(err, qt.ErrorIs, tt.want[n])
			}
		})
	}
}
