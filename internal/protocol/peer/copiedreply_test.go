package peer

import (
	"bufio"
	"encoding/json"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/jsonrpc2"
)

// TestCallIsNotAnsweredByACopiedReply has a peer write the reply to each call once more before
// the next one on the connection.
func TestCallIsNotAnsweredByACopiedReply(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader, codec := bufio.NewReader(conn), jsonrpc2.VarintObjectCodec{}
		var last *jsonrpc2.Response
		for {
			var request jsonrpc2.Request
			if codec.ReadObject(reader, &request) != nil {
				return
			}
			reply := &jsonrpc2.Response{ID: request.ID, Result: request.Params}
			if request.Method == "refuse" {
				reply = &jsonrpc2.Response{ID: request.ID, Error: &jsonrpc2.Error{Message: "refused"}}
			}
			if last != nil {
				_ = codec.WriteObject(conn, last)
			}
			if err := codec.WriteObject(conn, reply); err != nil {
				return
			}
			last = reply
		}
	}()
	p := NewPool(time.Second)
	defer p.Close()
	for n := range 6 {
		if n%3 == 0 {
			_, err := Call[int, json.RawMessage](p, l.Addr().String(), "refuse", n)
			c.Check(err, qt.ErrorMatches, ".*refused")
			continue
		}
		got, err := Call[int, int](p, l.Addr().String(), "echo", n)
		c.Check(err, qt.IsNil, qt.Commentf("call %d", n))
		c.Check(got, qt.Equals, n)
	}
}
