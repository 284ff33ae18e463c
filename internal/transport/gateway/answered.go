package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/platform"
)

// The causes for which the context of a connection ends.
const (
	endedByClient  = "client"   // closed or shut down for sending
	endedByReset   = "reset"    // by the client or the network
	endedByTimeout = "time-out" // of this entry
	endedHere      = "closed"   // by this entry
	endedOtherwise = "other"
)

// connectionEnd returns why the context of a request's connection has ended, or an empty text
// if it has not.
func connectionEnd(ctx context.Context) string {
	if ctx.Err() == nil {
		return ""
	}
	var err error
	if c := guardedConnIn(ctx); c != nil {
		err = c.Err()
	}
	switch {
	case errors.Is(err, io.EOF):
		return endedByClient
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return endedByReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endedByTimeout
	case err == nil, errors.Is(err, net.ErrClosed):
		return endedHere
	}
	return endedOtherwise
}

// readBefore reads the body of a request, with a deadline on the reads of its connection. A
// request without a body gets none: the server reads ahead on the connection, to notice that the
// client leaves, and a time-out of that read would end the context of all its requests. Behind
// a body, the server lifts the deadline before it reads ahead. A connection whose body was not
// read to its end carries no other request.
func readBefore(w http.ResponseWriter, r *http.Request, deadline time.Time, read func(body io.ReadCloser) ([]byte, error)) ([]byte, error) {
	if r.Body == http.NoBody {
		return read(r.Body)
	}
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	content, err := read(r.Body)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	return content, err
}

// errNotBegun is the error of a flush before the answer's status is known.
var errNotBegun = errors.New("the answer has not begun")

// answerWriter records whether a handler has begun its answer. It closes a connection whose
// context has ended, since that would end all later requests on it.
type answerWriter struct {
	http.ResponseWriter
	// ctx is the context of the request.
	ctx      context.Context
	hasBegun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// begin records that the final answer begins.
func (w *answerWriter) begin() {
	if !w.hasBegun && w.ctx.Err() != nil {
		w.Header().Set("Connection", "close")
	}
	w.hasBegun = true
}

// FlushError sends what was written. Before the answer has begun it fails, because the server
// would begin one with status 200.
func (w *answerWriter) FlushError() error {
	if !w.hasBegun {
		return errNotBegun
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer for an http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answered closes the connection of a request that a handler leaves without an answer, for
// which the server would send an empty one with status 200. It counts these requests, and those
// whose connection has ended meanwhile.
func (g *Gateway) answered(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out := &answerWriter{ResponseWriter: w, ctx: r.Context()}
		defer func() {
			if cause := connectionEnd(r.Context()); cause != "" {
				g.metrics.countEndedConnection(cause)
			}
		}()
		next(out, r)
		if !out.hasBegun {
			g.metrics.unanswered.Inc()
			event.RequestUnanswered.Log(g.log, "id", platform.ReadAttemptID(r.Header), "path", r.URL.Path,
				"from", r.RemoteAddr, "connection-end", connectionEnd(r.Context()))
			panic(http.ErrAbortHandler)
		}
	}
}

// countEndedConnection counts a request whose connection ended before its handler did.
func (m *entryMetrics) countEndedConnection(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellcrank_request_connections_ended_total{cause=%q}", cause)).Inc()
}
