package document

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Reader reads typed values from one map and records faults. A value that is not
// set or is invalid leaves the destination unchanged.
type Reader struct {
	node     *Node
	faults   *Faults
	readKeys []string
}

// NewReader returns a reader of the map n that records faults in faults.
func NewReader(n *Node, faults *Faults) *Reader {
	return &Reader{node: n, faults: faults}
}

// Node returns the map that is read. Nodes do not change, so that a result can be
// cached by its node.
func (r *Reader) Node() *Node { return r.node }

// Has reports whether the key is set.
func (r *Reader) Has(key string) bool {
	return r.node.find(key) != nil
}

// AddFault records a fault at the value of the key, or at the map if the key is
// not set.
func (r *Reader) AddFault(key, format string, args ...any) {
	at := r.node.position
	if e := r.node.find(key); e != nil {
		at = e.value.position
	}
	r.faults.Add(at, format, args...)
}

// Position returns the position of the key's value, or of the map if the key is
// not set.
func (r *Reader) Position(key string) Position {
	if e := r.node.find(key); e != nil {
		return e.value.position
	}
	return r.node.position
}

func (r *Reader) find(key string, k kind) *Node {
	r.readKeys = append(r.readKeys, key)
	e := r.node.find(key)
	if e == nil {
		return nil
	}
	if e.value.kind != k {
		r.faults.Add(e.value.position, "%s: expected %s, found %s", key, k, e.value.kind)
		return nil
	}
	return e.value
}

// Text reads a string.
func (r *Reader) Text(key string, into *string) {
	if n := r.find(key, text); n != nil {
		*into = n.text
	}
}

// OneOf reads a string that must be one of the allowed values.
func (r *Reader) OneOf(key string, into *string, allowed ...string) {
	n := r.find(key, text)
	if n == nil {
		return
	}
	if !slices.Contains(allowed, n.text) {
		r.faults.Add(n.position, "%s: %q is not one of %s", key, n.text, strings.Join(allowed, ", "))
		return
	}
	*into = n.text
}

// Int reads a whole number from low to high, both included.
func (r *Reader) Int(key string, into *int, low, high int) {
	n := r.find(key, integer)
	if n == nil {
		return
	}
	v, err := strconv.Atoi(strings.ReplaceAll(n.text, "_", ""))
	if err != nil || v < low || v > high {
		r.faults.Add(n.position, "%s: %s is not from %d to %d", key, n.text, low, high)
		return
	}
	*into = v
}

// Bool reads a boolean.
func (r *Reader) Bool(key string, into *bool) {
	if n := r.find(key, boolean); n != nil {
		*into = strings.EqualFold(n.text, "true")
	}
}

// Duration reads a duration such as 400ms from low to high, both included.
func (r *Reader) Duration(key string, into *time.Duration, low, high time.Duration) {
	n := r.find(key, text)
	if n == nil {
		return
	}
	v, err := time.ParseDuration(n.text)
	if err != nil || v < low || v > high {
		r.faults.Add(n.position, "%s: %q is not a duration from %s to %s", key, n.text, low, high)
		return
	}
	*into = v
}

// TextList reads a list of strings. It records a fault for each element of another
// type and keeps the valid elements.
func (r *Reader) TextList(key string, into *[]string) {
	n := r.find(key, list)
	if n == nil {
		return
	}
	out := make([]string, 0, len(n.items))
	for _, i := range n.items {
		if i.kind != text {
			r.faults.Add(i.position, "%s: expected text, found %s", key, i.kind)
			continue
		}
		out = append(out, i.text)
	}
	*into = out
}

// EachMap reads a map of maps and calls f with the key and a reader of each.
func (r *Reader) EachMap(key string, f func(name string, r *Reader)) {
	n := r.find(key, mapping)
	if n == nil {
		return
	}
	for _, e := range n.entries {
		if e.value.kind != mapping {
			r.faults.Add(e.value.position, "%s: expected map, found %s", e.key, e.value.kind)
			continue
		}
		f(e.key, NewReader(e.value, r.faults))
	}
}

// CheckUnknownKeys records a fault for every key that was not read.
func (r *Reader) CheckUnknownKeys() {
	for _, e := range r.node.entries {
		if !slices.Contains(r.readKeys, e.key) {
			r.faults.Add(e.position, "unknown key %q", e.key)
		}
	}
}
