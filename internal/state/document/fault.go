package document

import (
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a file; line and column start at 1.
type Position struct {
	file   string
	line   int
	column int
}

// NewPosition returns the position of a line and column in a file.
func NewPosition(file string, line, column int) Position {
	return Position{file: file, line: line, column: column}
}

// String returns the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}

// File returns the name of the file.
func (p Position) File() string { return p.file }

// Line returns the line, from 1; 0 is that of an unknown position.
func (p Position) Line() int { return p.line }

// Column returns the column, from 1; 0 is that of an unknown position.
func (p Position) Column() int { return p.column }

// IsKnown reports whether the position is in a file.
func (p Position) IsKnown() bool { return p.line > 0 }

// Fault is one error in a document, with its position.
type Fault struct {
	position Position
	message  string
}

// Position returns the position of the error.
func (f Fault) Position() Position { return f.position }

// Message returns the message without the position.
func (f Fault) Message() string { return f.message }

// Error returns the position followed by the message.
func (f Fault) Error() string {
	return f.position.String() + ": " + f.message
}

// Faults collects all errors in a document.
type Faults struct {
	list []Fault
}

// Add records a fault at a position.
func (f *Faults) Add(at Position, format string, args ...any) {
	f.list = append(f.list, Fault{position: at, message: fmt.Sprintf(format, args...)})
}

// Len returns the number of faults.
func (f *Faults) Len() int { return len(f.list) }

// List returns the faults in the order in which they were added.
func (f *Faults) List() []Fault { return slices.Clone(f.list) }

// Err returns the faults as one error, or nil if there are none.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}

// Error returns the faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, len(f.list))
	for i, fault := range f.list {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
