package gateway

import (
	"context"
	"errors"
	"net/http"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/platform"
)

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
