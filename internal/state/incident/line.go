package incident

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// maxLineBytes is the length in bytes beyond which a line of a log is not read;
// the longest of our own have an error text of a few hundred.
const maxLineBytes = 1 << 20

// Line is one event of a log.
type Line struct {
	// Time is when it was written, by the clock of its instance.
	Time time.Time
	// Instance is the process that wrote it.
	Instance string
	// Event is the number of the event.
	Event int
	// Text is what the event says.
	Text string
	// Fields are the values that go with it.
	Fields map[string]any
}

// requestID returns the id of the line's requestID; empty where it has none.
func (l Line) requestID() string {
	id, _ := l.Fields["id"].(string)
	return id
}

// number returns a numeric field; 0 where it is missing.
func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

func (l Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Read returns the lines of a log that tell of a request, or of what processes
// believed, and how many lines are no events. What stands before the brace of a
// line is skipped, as log collectors put it there.
func Read(r io.Reader, request string) (lines []Line, skipped int, err error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		line, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			skipped++
			if err := discardLine(in); err != nil {
				return lines, skipped, ignoreEOF(err)
			}
			continue
		}
		if len(bytes.TrimSpace(line)) > 0 {
			l, parseErr := parse(line)
			switch {
			case parseErr != nil:
				skipped++
			case l.requestID() == request || l.requestID() == "" && (stateEvents[l.Event] || backgroundEvents[l.Event]):
				lines = append(lines, l)
			}
		}
		if err != nil {
			return lines, skipped, ignoreEOF(err)
		}
	}
}

func discardLine(in *bufio.Reader) error {
	for {
		if _, err := in.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func parse(line []byte) (Line, error) {
	at := bytes.IndexByte(line, '{')
	if at < 0 {
		return Line{}, errors.New("incident: no event")
	}
	var fields map[string]any
	if err := json.Unmarshal(line[at:], &fields); err != nil {
		return Line{}, fmt.Errorf("incident: %w", err)
	}
	l := Line{Fields: fields}
	l.Event = int(l.number("event"))
	l.Instance, l.Text = l.text("@module"), l.text("@message")
	timestamp, err := time.Parse(time.RFC3339Nano, l.text("@timestamp"))
	if err != nil || l.Event == 0 {
		return Line{}, errors.Join(errors.New("incident: no event"), err)
	}
	l.Time = timestamp
	for _, name := range []string{"@module", "@message", "@timestamp", "@level", "event"} {
		delete(fields, name)
	}
	return l, nil
}
