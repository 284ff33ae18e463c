package gateway

import (
	"net"
	"net/http"

	"bluebellcrank/internal/coordination/clientlimit"
	"bluebellcrank/internal/transport/process"
)

// newTrafficServer returns the server of the clients' requests.
func (g *Gateway) newTrafficServer() *http.Server {
	out := g.newServer(g.serve, maxHeaderBytes)
	out.ConnState = func(conn net.Conn, s http.ConnState) {
		g.clients.stateChanged(conn, s)
		connStateChanged(conn, s)
	}
	return out
}

// newServer returns an HTTP server whose connections are guarded.
func (g *Gateway) newServer(handler http.HandlerFunc, maxHeader int) *http.Server {
	return &http.Server{
		Handler:           guarded(g.answered(handler)),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         connStateChanged,
		ConnContext:       g.clients.withConn,
	}
}

// guardListeners keeps the clients of each listener within their share of the memory and the
// descriptors of this process. The traffic listener is wrapped by New, above the listener
// that Drain closes.
func (g *Gateway) guardListeners(l Listeners) Listeners {
	shares := clientlimit.NewShares(g.settings.MemoryMB, g.settings.MaxOpenFiles)
	add := func(name string, limits clientlimit.Limits, hasServerStates bool) *process.Guard {
		out := process.NewGuard(name, limits, hasServerStates, g.metrics.set, g.log)
		g.guards = append(g.guards, out)
		return out
	}
	add("traffic", shares.Traffic, true)
	l.Ready = add("readiness", shares.Ready, true).Listen(l.Ready)
	l.Entries = add("entries", shares.Entries, true).Listen(l.Entries)
	if l.Operator != nil {
		l.Operator = add("operator", shares.Operator, false).Listen(l.Operator)
	}
	return l
}
