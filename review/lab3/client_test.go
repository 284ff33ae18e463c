//go:build review

package lab3

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1000000+lastID.Add(1)) }

// outcome is what a client saw of one attempt.
type outcome struct {
	id, sig, contentType, encoding, body string
	status                               int
	err                                  error
}

// request returns the bytes of a request.
func request(method, path, id string, deadlineMs int, body string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", method, path, host, id, deadlineMs, apiKey)
	if method == http.MethodPost {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return s + "\r\n" + body
}

// once sends one request on a new connection and reads its answer.
func once(ctx context.Context, address, method, path string, deadlineMs int, body string) outcome {
	o := outcome{id: newID()}
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadlineMs) * time.Millisecond))
	if _, err := io.WriteString(c, request(method, path, o.id, deadlineMs, body)); err != nil {
		o.err = err
		return o
	}
	o.read(bufio.NewReader(c), method)
	return o
}

// read reads an answer.
func (o *outcome) read(r *bufio.Reader, method string) {
	answer, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = answer.Body.Close() }()
	o.status, o.sig, o.contentType = answer.StatusCode, answer.Header.Get("Server-Signature"), answer.Header.Get("Content-Type")
	o.encoding = answer.Header.Get("Content-Encoding")
	data, err := io.ReadAll(answer.Body)
	o.body, o.err = string(data), err
}
