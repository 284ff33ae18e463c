package document

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Reader takes typed values out of one map and records each fault.
type Reader struct {
	node   *Node
	faults *Faults
	asked  []string
}

// NewReader starts reading a map.
func NewReader(n *Node, faults *Faults) *Reader {
	return &Reader{node: n, faults: faults}
}

// Node returns the map that is read; the same node reads the same.
func (r *Reader) Node() *Node { return r.node }

// Has reports whether the key is set.
func (r *Reader) Has(key string) bool {
	return r.node.find(key) != nil
}

// AddFault records a fault at the key, or at the map where the key is not set.
func (r *Reader) AddFault(key, format string, args ...any) {
	at := r.node.position
	if e := r.node.find(key); e != nil {
		at = e.value.position
	}
	r.faults.Add(at, format, args...)
}

// Position returns where the key's value stands.
func (r *Reader) Position(key string) Position {
	if e := r.node.find(key); e != nil {
		return e.value.position
	}
	return r.node.position
}

func (r *Reader) take(key string, k kind) *Node {
	r.asked = append(r.asked, key)
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
	if n := r.take(key, text); n != nil {
		*into = n.text
	}
}

// OneOf reads a string out of a closed set.
func (r *Reader) OneOf(key string, into *string, allowed ...string) {
	n := r.take(key, text)
	if n == nil {
		return
	}
	if !slices.Contains(allowed, n.text) {
		r.faults.Add(n.position, "%s: %q is none of %s", key, n.text, strings.Join(allowed, ", "))
		return
	}
	*into = n.text
}

// Int reads a whole number from low to high.
func (r *Reader) Int(key string, into *int, low, high int) {
	n := r.take(key, integer)
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

// Bool reads true or false.
func (r *Reader) Bool(key string, into *bool) {
	if n := r.take(key, boolean); n != nil {
		*into = strings.EqualFold(n.text, "true")
	}
}

// Duration reads a time such as 400ms from low to high.
func (r *Reader) Duration(key string, into *time.Duration, low, high time.Duration) {
	n := r.take(key, text)
	if n == nil {
		return
	}
	v, err := time.ParseDuration(n.text)
	if err != nil || v < low || v > high {
		r.faults.Add(n.position, "%s: %q is not a time from %s to %s", key, n.text, low, high)
		return
	}
	*into = v
}

// TextList reads a list of strings.
func (r *Reader) TextList(key string, into *[]string) {
	n := r.take(key, list)
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

// EachMap reads a map of maps, by name.
func (r *Reader) EachMap(key string, f func(name string, r *Reader)) {
	n := r.take(key, mapping)
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

// CheckUnknownKeys records every key that was never read as unknown.
func (r *Reader) CheckUnknownKeys() {
	for _, e := range r.node.entries {
		if !slices.Contains(r.asked, e.key) {
			r.faults.Add(e.position, "unknown key %q", e.key)
		}
	}
}
