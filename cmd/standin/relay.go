package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

type relayCmd struct {
	Listen  string `required:""`
	To      string `required:""`
	Control string `required:"" help:"Address that accepts POST /cut, /silence and /garble."`
}

// relay forwards TCP connections and injects faults into them. The control
// request /cut closes all open connections; /silence leaves them open but drops
// their bytes, while new connections work; /garble changes one letter of all plain
// answers that follow.
type relay struct {
	destination string
	// listenAddress is where the relay's listener accepts connections; empty unless
	// the owner of the listener sets it.
	listenAddress string
	isGarbling    atomic.Bool
	// isSwallowing is set while new connections carry nothing, for as long as they are open.
	isSwallowing atomic.Bool
	// delay is the time in nanoseconds by which the bytes of each read are delayed.
	delay atomic.Int64
	mu    sync.Mutex
	// conns contains both ends of each relayed connection as keys.
	conns map[net.Conn]*relayedConn
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	// dropsToServer and dropsFromServer are set once bytes in that direction are
	// dropped.
	dropsToServer, dropsFromServer atomic.Bool
}

func newRelay(destination string) *relay {
	return &relay{destination: destination, conns: map[net.Conn]*relayedConn{}}
}

// serve forwards the connections of a listener until the listener is closed.
func (r *relay) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// cut closes all open connections.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// silence drops all further bytes of the open connections, in one direction or
// both.
func (r *relay) silence(toServer, fromServer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.dropsToServer.Store(p.dropsToServer.Load() || toServer)
		p.dropsFromServer.Store(p.dropsFromServer.Load() || fromServer)
	}
}

// closeSilenced closes the connections whose bytes are dropped. On a real network
// TCP keep-alive probes end such connections; here the kernel answers the probes,
// because the relay's sockets are still open.
func (r *relay) closeSilenced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, p := range r.conns {
		if p.dropsToServer.Load() || p.dropsFromServer.Load() {
			_ = conn.Close()
		}
	}
}

// endpointCount returns the number of open connection ends, two for each relayed
// connection.
func (r *relay) endpointCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Run implements the subcommand.
func (c *relayCmd) Run() error {
	r := newRelay(c.To)
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	go r.serve(l)
	return fasthttp.ListenAndServe(c.Control, r.control)
}

func (r *relay) control(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/garble":
		r.isGarbling.Store(true)
		return
	case "/cut":
		r.cut()
	case "/silence":
		r.silence(true, true)
	}
	_, _ = fmt.Fprintln(ctx, r.endpointCount())
}

// forward relays one connection to the destination until either side closes it.
func (r *relay) forward(client net.Conn) {
	server, err := net.Dial("tcp", r.destination)
	if err != nil {
		_ = client.Close()
		return
	}
	pair := &relayedConn{}
	pair.dropsToServer.Store(r.isSwallowing.Load())
	pair.dropsFromServer.Store(r.isSwallowing.Load())
	r.mu.Lock()
	r.conns[client], r.conns[server] = pair, pair
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.copyBytes(server, client, &pair.dropsToServer) })
	wg.Go(func() { r.copyBytes(client, server, &pair.dropsFromServer) })
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, client)
	delete(r.conns, server)
	r.mu.Unlock()
}

// copyBytes forwards bytes until either side closes, and then closes both. While it
// drops bytes, it leaves the destination open when the source closes.
func (r *relay) copyBytes(to, from net.Conn, isDropping *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(r.delay.Load()))
		if isDropping.Load() {
			if err != nil {
				return
			}
			continue
		}
		if r.isGarbling.Load() {
			copy(buffer[:n], bytes.ReplaceAll(buffer[:n], []byte("done"), []byte("dome")))
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == io.EOF || err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
