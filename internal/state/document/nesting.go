package document

import "github.com/goccy/go-yaml/token"

const (
	// maxBrackets limits how many lists and maps in brackets may be open at once. The
	// parser needs memory in proportion to the square of the depth: 100,000 open brackets,
	// which fit into a file, needed more than 14 GB.
	maxBrackets = 100
	// maxEntryColumn limits the column of a list entry that begins with a hyphen, and so
	// how many of them are nested in each other.
	maxEntryColumn = 1000
)

// findDeepNesting returns the first token that is nested more deeply than the limits, or
// nil. Maps without brackets need no limit: each level needs a line with more indentation,
// so that a file of the largest size has at most some 1,300 levels.
func findDeepNesting(tokens token.Tokens) *token.Token {
	brackets := 0
	for _, t := range tokens {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			if brackets++; brackets > maxBrackets {
				return t
			}
		case token.SequenceEndType, token.MappingEndType:
			brackets = max(brackets-1, 0)
		case token.SequenceEntryType:
			if t.Position.Column > maxEntryColumn {
				return t
			}
		}
	}
	return nil
}
