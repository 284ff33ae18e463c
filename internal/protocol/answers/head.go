package answers

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxQuotedBytes limits how much of a line an error quotes.
const maxQuotedBytes = 80

var (
	errStatusLine = errors.New("no status line of HTTP/1.0 or HTTP/1.1")
	errStatus     = errors.New("no status from 100 to 599")
	errUpgrade    = errors.New("a switch of protocols that was not asked for")
	errReason     = errors.New("a control byte in the reason")
	errNoEnd      = errors.New("no empty line at the end")
)

// HeadError is the error of bytes that are no head of an answer.
type HeadError struct {
	line  int
	text  string
	cause error
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("answers: line %d of the head, %q: %v", e.line, e.text[:min(len(e.text), maxQuotedBytes)], e.cause)
}

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.cause }

// CheckHead returns the status of a head, with its empty line, of an answer to a request that
// asks for no other protocol. It returns a *HeadError if RFC 9110 (section 15) or RFC 9112
// (section 4) does not allow a server to send its status line.
func CheckHead(head []byte) (int, error) {
	var h headReader
	number := 0
	for line := range strings.Lines(string(head)) {
		number++
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		var err error
		switch {
		case number == 1:
			err = h.readStatusLine(line)
		case line == "":
			return h.status, nil
		}
		if err != nil {
			return 0, &HeadError{line: number, text: line, cause: err}
		}
	}
	return 0, &HeadError{line: number, cause: errNoEnd}
}

// headReader reads the lines of one head.
type headReader struct {
	status int
}

func (h *headReader) readStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	switch {
	case version != "HTTP/1.0" && version != "HTTP/1.1":
		return errStatusLine
	case len(status) != len("200") || !isDigits(status) || status < "100" || status > "599":
		return errStatus
	case !httpguts.ValidHeaderFieldValue(reason):
		return errReason
	}
	h.status, _ = strconv.Atoi(status)
	if h.status == http.StatusSwitchingProtocols {
		return errUpgrade
	}
	return nil
}

// isDigits reports whether a text consists of one or more decimal digits.
func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}
