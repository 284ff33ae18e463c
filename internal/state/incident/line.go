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

// maxLineBytes is the maximum length of a log line; longer lines are skipped. The
// longest lines of this project contain an error text of a few hundred bytes.
const maxLineBytes = 1 << 20

// Line is one event from a log.
type Line struct {
	// Time is the time of the event by the clock of its instance.
	Time time.Time
	// Instance is the name of the process that logged the event.
	Instance string
	// Event is the number of the event.
	Event int
	// Text is the text of the event.
	Text string
	// Fields are the key and value pairs of the event.
	Fields map[string]any
}

// requestID returns the ID of the line's request, or "" if the line belongs to no
// request.
func (l Line) requestID() string {
	id, _ := l.Fields["id"].(string)
	return id
}

// number returns a numeric field, or 0 if it is missing.
func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// text returns a string field, or "" if it is missing.
func (l Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Read returns the lines of a log that belong to a request and those of events
// that may affect any request (see stateEvents and backgroundEvents). skipped is
// the number of lines that are not events or are too long. Text before the first
// brace of a line is ignored, because log collectors add prefixes.
func Read(r io.Reader, request string) (lines []Line, skipped int, err error) {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			skipped++
			if err := discardLine(reader); err != nil {
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

func discardLine(reader *bufio.Reader) error {
	for {
		if _, err := reader.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
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
	brace := bytes.IndexByte(line, '{')
	if brace < 0 {
		return Line{}, errors.New("incident: no event")
	}
	var fields map[string]any
	if err := json.Unmarshal(line[brace:], &fields); err != nil {
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
