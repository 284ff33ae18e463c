package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gofiber/fiber/v3"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/transport/process"
)

// textSource is the source of an answer from an agent.
type textSource struct {
	io.Reader
	length, digest string
}

// Close implements io.Closer.
func (textSource) Close() error { return nil }

// Trailers implements attempt.Source.
func (s textSource) Trailers() (length, digest string) { return s.length, s.digest }

// TestCallerNoticesAStreamThatBreaksOff guards against a caller that takes a part of a stream for
// all of it. The library sends chunks in HTTP/1.0 as well.
func TestCallerNoticesAStreamThatBreaksOff(t *testing.T) {
	c := qt.New(t)
	e := &Entry{log: hclog.NewNullLogger()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	app := fiber.New()
	app.Get("/:end", func(f fiber.Ctx) error {
		matches := f.Params("end") == "whole"
		source := textSource{Reader: strings.NewReader("data: piece\n\n")}
		noResume := func(int64) (attempt.Source, error) { return nil, errors.New("no other source") }
		e.writeAnswer(f, &answer{status: 200, finish: func(bool) {},
			stream: attempt.NewVerifyingReader(source, func(bool) bool { return matches }, noResume)})
		return nil
	})
	go func() {
		_ = app.Listener(process.NewWriteTimeoutListener(l, time.Second), fiber.ListenConfig{DisableStartupMessage: true})
	}()
	defer func() { _ = app.Shutdown() }()
	tests := []struct {
		path, protocol string
		isWhole        bool
	}{
		{"/broken", "HTTP/1.0", false},
		{"/broken", "HTTP/1.1", false},
		{"/whole", "HTTP/1.0", true},
		{"/whole", "HTTP/1.1", true},
	}
	for _, tt := range tests {
		t.Run(tt.path+"/"+tt.protocol, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", l.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: h\r\n\r\n", tt.path, tt.protocol)
			c.Assert(err, qt.IsNil)
			got, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(got.Body)
			c.Check(err == nil, qt.Equals, tt.isWhole, qt.Commentf("%v", err))
		})
	}
}
