package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds the memory for one event of a stream.
const maxEvent = 1 << 20

var errEventTooLarge = errors.New("gateway: an event of a stream is too large")

// eventReader cuts a stream into whole events.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next whole event with its last empty line, and its id; the
// bytes are good until the next call. A stream that ends within an event gives
// io.ErrUnexpectedEOF.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.event = e.event[:0]
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)
		if len(e.event) > maxEvent {
			return nil, "", errEventTooLarge
		}
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
	}
}
