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
	errFolded     = errors.New("a folded line")
	errNoColon    = errors.New("no colon")
	errName       = errors.New("a name of a field that is no token")
	errValue      = errors.New("a control byte in the value of a field")
	errLength     = errors.New("no length in decimal digits")
	errCoding     = errors.New("a transfer coding other than chunked, or in HTTP/1.0")
	errTwoLengths = errors.New("a second statement of the length of the body")
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
// asks for no other protocol. It returns a *HeadError if RFC 9110 (sections 5 and 15) or RFC
// 9112 (sections 4 to 6) does not allow a server to send that head, except that lines may end
// with a line feed alone. Lenient parsers disagree about such heads, and about where the body
// begins and ends.
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
		default:
			err = h.readField(line)
		}
		if err != nil {
			return 0, &HeadError{line: number, text: line, cause: err}
		}
	}
	return 0, &HeadError{line: number, cause: errNoEnd}
}

// headReader reads the lines of one head.
type headReader struct {
	status   int
	isHTTP10 bool
	// hasLength is set once a field states where the body ends.
	hasLength bool
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
	h.isHTTP10 = version == "HTTP/1.0"
	h.status, _ = strconv.Atoi(status)
	if h.status == http.StatusSwitchingProtocols {
		return errUpgrade
	}
	return nil
}

func (h *headReader) readField(line string) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFolded
	}
	name, value, found := strings.Cut(line, ":")
	if !found {
		return errNoColon
	}
	if err := checkField(name, value); err != nil {
		return err
	}
	value = strings.Trim(value, " \t")
	isLength := strings.EqualFold(name, "Content-Length")
	isCoding := strings.EqualFold(name, "Transfer-Encoding")
	switch {
	case !isLength && !isCoding:
		return nil
	case h.hasLength:
		return errTwoLengths
	case isLength && !isDigits(value):
		return errLength
	case isCoding && (h.isHTTP10 || !strings.EqualFold(value, "chunked")):
		return errCoding
	}
	h.hasLength = true
	return nil
}

// CheckFields returns an error if a field that was read without CheckHead, such as a trailer,
// has a name or a value that RFC 9110 (section 5) does not allow.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return fmt.Errorf("answers: field %q: %w", name[:min(len(name), maxQuotedBytes)], err)
			}
		}
	}
	return nil
}

func checkField(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return errName
	case !httpguts.ValidHeaderFieldValue(value):
		return errValue
	}
	return nil
}

// isDigits reports whether a text consists of one or more decimal digits.
func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}
