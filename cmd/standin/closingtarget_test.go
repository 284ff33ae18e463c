package main

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// keptConn is a connection on which a target has answered before.
type keptConn struct {
	*net.TCPConn
	reader *bufio.Reader
	target *standin.Target
	// hasCrossed is set if a request came although the target had closed its side.
	hasCrossed bool
}

// run reads a request, runs it and returns the answer.
func (c *keptConn) run() ([]byte, error) {
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	c.target.ServeHTTP(recorder, request)
	response := recorder.Result()
	response.ContentLength = int64(recorder.Body.Len())
	var answer bytes.Buffer
	err = response.Write(&answer)
	return answer.Bytes(), err
}

// runAndAnswer runs a request and writes the answer.
func (c *keptConn) runAndAnswer() error {
	answer, err := c.run()
	if err == nil {
		_, err = c.Write(answer)
	}
	return err
}

// connEnd is how a target ends a kept connection under a request; the connection is closed
// after end.
type connEnd struct {
	name string
	end  func(c *keptConn, r *rand.Rand) error
}

var connEnds = []connEnd{
	{"run, then closed", func(c *keptConn, _ *rand.Rand) error {
		_, err := c.run()
		return err
	}},
	{"run, then reset", func(c *keptConn, _ *rand.Rand) error {
		if _, err := c.run(); err != nil {
			return err
		}
		return c.SetLinger(0)
	}},
	{"reset after half of the head", func(c *keptConn, _ *rand.Rand) error {
		_, err := io.ReadFull(c.TCPConn, make([]byte, 100))
		return err
	}},
	{"closed after half of the head", func(c *keptConn, r *rand.Rand) error {
		if _, err := io.ReadFull(c.TCPConn, make([]byte, 100)); err != nil {
			return err
		}
		defer time.Sleep(randomDuration(r, time.Millisecond, 20*time.Millisecond))
		return c.CloseWrite()
	}},
	{"reset at the first byte", func(c *keptConn, _ *rand.Rand) error {
		_, err := c.reader.Peek(1)
		return err
	}},
	{"closed at the first byte, and run", func(c *keptConn, _ *rand.Rand) error {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		if err := c.CloseWrite(); err != nil {
			return err
		}
		_, err := c.run()
		return err
	}},
	{"closed after an answer, and what crosses it run", func(c *keptConn, r *rand.Rand) error {
		if err := c.runAndAnswer(); err != nil {
			return err
		}
		time.Sleep(randomDuration(r, 0, 2*time.Millisecond))
		if err := c.CloseWrite(); err != nil {
			return err
		}
		_, err := c.run()
		c.hasCrossed = err == nil
		return nil
	}},
	{"reset after an answer", func(c *keptConn, r *rand.Rand) error {
		if err := c.runAndAnswer(); err != nil {
			return err
		}
		time.Sleep(randomDuration(r, 0, 2*time.Millisecond))
		return c.SetLinger(0)
	}},
	{"read after the request's time, and run", func(c *keptConn, r *rand.Rand) error {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		time.Sleep(randomDuration(r, closedSoakTimeout/2, closedSoakTimeout))
		// An error means that the entry has given up.
		_ = c.runAndAnswer()
		return nil
	}},
}

// closedSoak is a run whose targets end kept connections under requests.
type closedSoak struct {
	*seriesSoak
	mu     sync.Mutex
	random *rand.Rand // for the targets
	// chosen counts how often each way was chosen, and ends the connections that ended so.
	chosen, ends map[string]int
	// crossed counts the requests that crossed a close.
	crossed int
}

// nextEnd chooses how a connection ends under its next request, rare ways first; nil if it
// stays.
func (s *closedSoak) nextEnd() (*connEnd, *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.IntN(5) > 0 {
		return nil, nil
	}
	rarest := slices.MinFunc(connEnds, func(a, b connEnd) int { return s.chosen[a.name] - s.chosen[b.name] })
	s.chosen[rarest.name]++
	return &rarest, rand.New(rand.NewPCG(s.random.Uint64(), 2))
}

// listen starts a target of a service and lists it.
func (s *closedSoak) listen(service string) {
	l, err := net.Listen("tcp", freeAddress())
	s.c.Assert(err, qt.IsNil)
	s.t.Cleanup(func() { _ = l.Close() })
	target := s.newTarget(service)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(&keptConn{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), target: target})
		}
	}()
	s.listServer(target.ID, service, l.Addr().String())
}

// serve answers the requests on a connection until it ends.
func (s *closedSoak) serve(c *keptConn) {
	defer func() { _ = c.Close() }()
	for c.runAndAnswer() == nil {
		end, r := s.nextEnd()
		if end == nil {
			continue
		}
		err := end.end(c, r)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			s.chosen[end.name]--
			return
		}
		s.ends[end.name]++
		if c.hasCrossed {
			s.crossed++
		}
		return
	}
}
