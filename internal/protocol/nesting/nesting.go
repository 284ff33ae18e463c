package nesting

import (
	"bytes"
	"errors"
)

// maxNesting is the depth up to which values are kept; no object of a platform is nested
// as deeply. encoding/json refuses a whole text in which one value is nested 10,000 deep.
const maxNesting = 100

// tooDeep replaces a value that is nested more deeply than maxNesting.
var tooDeep = []byte(`"bluebellcrank: nested too deeply"`)

// ErrTooDeep reports that a value was cut.
var ErrTooDeep = errors.New("nesting: the value is nested too deeply")

// Cut returns a JSON text in which each value that begins below maxNesting is
// replaced by tooDeep. The text is returned as it is if there is none.
func Cut(text []byte) []byte {
	var out []byte
	depth, copied := 0, 0
	inString, isEscaped := false, false
	for n, b := range text {
		switch {
		case isEscaped:
			isEscaped = false
		case inString:
			isEscaped = b == '\\'
			inString = b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			if depth++; depth == maxNesting+1 {
				out = append(append(out, text[copied:n]...), tooDeep...)
			}
		case b == '}' || b == ']':
			if depth--; depth == maxNesting {
				copied = n + 1
			}
		}
	}
	if depth > maxNesting || copied == 0 {
		return text // as it is, or not valid
	}
	return append(out, text[copied:]...)
}

// IsCut reports whether a part of a JSON text was cut.
func IsCut(text []byte) bool { return bytes.Contains(text, tooDeep) }
