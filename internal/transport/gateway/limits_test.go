package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// TestClientLimits has clients exceed the limits of the configuration, which an
// operator may change at any time.
func TestClientLimits(t *testing.T) {
	const headerTimeout = 600 * time.Millisecond
	head := "POST /order/x HTTP/1.1\r\nHost: guild.example\r\nAttempt-Id: a-1\r\nAuthorization: Token " + testKey + "\r\n"
	tests := []struct {
		name string
		send string
		// part is sent every 50 ms until the entry closes the connection; empty if
		// the client waits for the answer.
		part   string
		status int
		within time.Duration
	}{
		{"a header within the limit", head + "Content-Length: 2\r\n\r\nok", "", 200, 5 * time.Second},
		{"a header over the limit", head + "X: " + strings.Repeat("x", 20_000) + "\r\nContent-Length: 2\r\n\r\nok", "", 431, 5 * time.Second},
		{"a header that does not end", head + "X: ", "x", 0, 3 * time.Second},
		{"a body that does not end", head + "Deadline-Ms: 800\r\nContent-Length: 100000\r\n\r\n", "x", 408, 3 * time.Second},
		{"a body over the limit", head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", 256<<10, strings.Repeat("x", 256<<10)), 413, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnv(t)
			env.store.Put("config", "main", map[string]any{
				"version": 2,
				"routes": []map[string]any{{
					"name": "order", "host": "guild.example", "pathPrefix": "/order/", "routeKind": "non_idempotent", "service": "bells",
					"maxAttempts": 1, "timeoutMs": 8000, "targetLatencyMs": 500,
				}},
				"services": []map[string]any{{"name": "bells"}},
				"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": headerTimeout.Milliseconds(), "idleTimeoutMs": 15000},
				"tenants":  []map[string]any{{"name": "guild", "apiKeys": []string{testKey}}},
			})
			target := &standin.Target{ID: "t-0"}
			env.addTarget(target, target.ID, "bells")
			env.eventually("the limits are in force", func() bool {
				return env.gateway.follower.Table().Version() == 2 && len(env.gateway.fleet.Targets(time.Now())) == 1
			})
			conn, err := net.Dial("tcp", env.address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			began := time.Now()
			_, err = io.WriteString(conn, tt.send)
			c.Assert(err, qt.IsNil)
			if tt.part != "" {
				go func() {
					for err := error(nil); err == nil; time.Sleep(50 * time.Millisecond) {
						_, err = io.WriteString(conn, tt.part)
					}
				}()
			}
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Check(time.Since(began) < tt.within, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
			if tt.status == 0 {
				c.Check(err, qt.IsNotNil)
				c.Check(len(target.Requests()), qt.Equals, 0)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(answer.StatusCode, qt.Equals, tt.status)
		})
	}
}
