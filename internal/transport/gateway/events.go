package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes is the largest size of one event of a stream. It bounds the memory
// that one stream uses.
const maxEventBytes = 256 << 10

var (
	errEventTooLarge = errors.New("gateway: stream event exceeds 256 KiB")
	errHeadInStream  = errors.New("gateway: stream contains the head of another response")
)

// statusLineStart begins the head of a response. No field of an event begins so.
const statusLineStart = "HTTP/1."

// eventReader splits a stream of server-sent events into whole events.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
	// isEmpty is set if the last event consists of comments and empty lines only.
	isEmpty bool
	// peekedID is the ID of the event that peek has read and next has not returned yet;
	// nil if there is none.
	peekedID *string
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next event, including its terminating empty line, and its
// ID, which is empty if the event has none. The bytes are valid until the next
// call. The error is io.EOF at the end of the stream, and io.ErrUnexpectedEOF if
// the stream ends within an event.
func (e *eventReader) next() (event []byte, id string, err error) {
	if e.peekedID != nil {
		id, e.peekedID = *e.peekedID, nil
		return e.event, id, nil
	}
	e.event, e.isEmpty = e.event[:0], true
	isLineStart := true
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)
		if len(e.event) > maxEventBytes {
			return nil, "", errEventTooLarge
		}
		if isLineStart && bytes.HasPrefix(line, []byte(statusLineStart)) {
			return nil, "", errHeadInStream
		}
		isLineStart = err == nil
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if err == io.EOF && len(e.event) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, "", err
		}
		if text, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(text))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.event, id, nil
		}
		e.isEmpty = e.isEmpty && line[0] == ':'
	}
}

// peek waits for the first event that is not empty, and skips empty ones before it.
func (e *eventReader) peek() error {
	for {
		_, id, err := e.next()
		if err != nil {
			return err
		}
		if !e.isEmpty {
			e.peekedID = &id
			return nil
		}
	}
}
