package document

import (
	"fmt"
	"strings"
)

// Position is a place in a file; line and column count from one.
type Position struct {
	file   string
	line   int
	column int
}

// NewPosition makes a position.
func NewPosition(file string, line, column int) Position {
	return Position{file: file, line: line, column: column}
}

// String returns file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}

// Fault is one thing that is wrong with a document.
type Fault struct {
	position Position
	message  string
}

// Error returns the fault behind its position.
func (f Fault) Error() string {
	return f.position.String() + ": " + f.message
}

// Faults collects everything that is wrong with a document.
type Faults struct {
	list []Fault
}

// Add records one fault.
func (f *Faults) Add(at Position, format string, args ...any) {
	f.list = append(f.list, Fault{position: at, message: fmt.Sprintf(format, args...)})
}

// Len returns the number of faults.
func (f *Faults) Len() int { return len(f.list) }

// Err returns the faults as one error, or nil where there are none.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}

// Error returns a line for each fault.
func (f *Faults) Error() string {
	lines := make([]string, len(f.list))
	for i, ft := range f.list {
		lines[i] = ft.Error()
	}
	return strings.Join(lines, "\n")
}
