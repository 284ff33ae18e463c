package document

import (
	"errors"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// kind is the type of a node's value, as named in error messages.
type kind string

const (
	null    kind = "null"
	text    kind = "text"
	integer kind = "whole number"
	float   kind = "number"
	boolean kind = "true or false"
	list    kind = "list"
	mapping kind = "map"
)

// entry is one key of a map and its value; position is that of the key.
type entry struct {
	key      string
	position Position
	value    *Node
}

// Node is one value of a document. It is not modified after Parse or Merge.
type Node struct {
	position Position
	kind     kind
	text     string
	items    []*Node
	entries  []*entry
}

// Empty returns an empty map at the start of a file.
func Empty(file string) *Node {
	return &Node{position: NewPosition(file, 1, 1), kind: mapping}
}

// Parse parses one YAML file and returns its top-level map. It records errors in
// faults and returns an empty map for a file that cannot be used.
func Parse(file string, content []byte, faults *Faults) *Node {
	tokens := lexer.Tokenize(string(content))
	if t := findDeepNesting(tokens); t != nil {
		faults.Add(NewPosition(file, t.Position.Line, t.Position.Column), "nested too deeply")
		return Empty(file)
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		faults.Add(syntaxPosition(file, err), "%s", syntaxMessage(err))
		return Empty(file)
	}
	c := converter{file: file, faults: faults}
	root := Empty(file)
	for i, d := range tree.Docs {
		if d.Body == nil {
			continue
		}
		if i > 0 {
			faults.Add(c.position(d.Body), "a file may hold only one document")
			break
		}
		root = c.node(d.Body)
	}
	if root.kind == null {
		return Empty(file)
	}
	if root.kind != mapping {
		faults.Add(root.position, "expected a map, found %s", root.kind)
		return Empty(file)
	}
	return root
}

func syntaxPosition(file string, err error) Position {
	var s *yaml.SyntaxError
	if errors.As(err, &s) && s.GetToken() != nil {
		p := s.GetToken().Position
		return NewPosition(file, p.Line, p.Column)
	}
	return NewPosition(file, 1, 1)
}

func syntaxMessage(err error) string {
	var s *yaml.SyntaxError
	if errors.As(err, &s) {
		return s.GetMessage()
	}
	return err.Error()
}

// converter converts the syntax tree of the YAML library into nodes.
type converter struct {
	file   string
	faults *Faults
}

func (c *converter) position(n ast.Node) Position {
	p := n.GetToken().Position
	return NewPosition(c.file, p.Line, p.Column)
}

func (c *converter) node(n ast.Node) *Node {
	switch v := n.(type) {
	case *ast.MappingNode:
		return c.mapping(n, v.Values)
	case *ast.MappingValueNode:
		return c.mapping(n, []*ast.MappingValueNode{v})
	case *ast.SequenceNode:
		out := &Node{position: c.position(n), kind: list}
		for _, i := range v.Values {
			out.items = append(out.items, c.node(i))
		}
		return out
	case *ast.NullNode:
		return c.scalar(n, null)
	case *ast.BoolNode:
		return c.scalar(n, boolean)
	case *ast.IntegerNode:
		return c.scalar(n, integer)
	case *ast.FloatNode:
		return c.scalar(n, float)
	case *ast.StringNode:
		return &Node{position: c.position(n), kind: text, text: v.Value}
	case *ast.LiteralNode:
		return &Node{position: c.position(n), kind: text, text: v.Value.Value}
	}
	c.faults.Add(c.position(n), "anchors, aliases and tags are not supported")
	return c.scalar(n, null)
}

func (c *converter) scalar(n ast.Node, k kind) *Node {
	return &Node{position: c.position(n), kind: k, text: n.GetToken().Value}
}

func (c *converter) mapping(n ast.Node, values []*ast.MappingValueNode) *Node {
	out := &Node{position: c.position(n), kind: mapping}
	for _, v := range values {
		key := v.Key.GetToken()
		at := NewPosition(c.file, key.Position.Line, key.Position.Column)
		if out.find(key.Value) != nil {
			c.faults.Add(at, "duplicate key %q", key.Value)
			continue
		}
		out.entries = append(out.entries, &entry{key: key.Value, position: at, value: c.node(v.Value)})
	}
	if len(out.entries) > 0 {
		out.position = out.entries[0].position
	}
	return out
}

func (n *Node) find(key string) *entry {
	for _, e := range n.entries {
		if e.key == key {
			return e
		}
	}
	return nil
}

// Find returns the position of the value at a path through nested maps and lists, and
// whether the document has it. The path consists of the keys of maps and of indexes of
// lists. The position of a map with a key is that of the key.
func (n *Node) Find(path ...string) (Position, bool) {
	at := n.position
	for _, key := range path {
		if n.kind == list {
			index, err := strconv.Atoi(key)
			if err != nil || index < 0 || index >= len(n.items) {
				return Position{}, false
			}
			n = n.items[index]
			at = n.position
			continue
		}
		e := n.find(key)
		if e == nil {
			return Position{}, false
		}
		n = e.value
		at = n.position
		if n.kind == mapping {
			at = e.position
		}
	}
	return at, true
}

// Merge merges maps; later ones take precedence. Nested maps are merged by key,
// scalars and lists are replaced, and an explicit null removes the key. The
// documents are not modified, and the result shares the nodes that only one
// document contributes to.
func Merge(documents []*Node) *Node {
	out := &Node{kind: mapping}
	layers := map[string][]*entry{}
	var order []string
	for _, d := range documents {
		out.position = d.position
		for _, e := range d.entries {
			if layers[e.key] == nil {
				order = append(order, e.key)
			}
			layers[e.key] = append(layers[e.key], e)
		}
	}
	for _, key := range order {
		out.addWithoutNulls(mergeLayers(layers[key]))
	}
	return out
}

// mergeLayers returns the last value of a key. If it is a map, it is merged with
// the maps that directly precede it.
func mergeLayers(layers []*entry) *entry {
	last := layers[len(layers)-1]
	first := len(layers) - 1
	for first > 0 && layers[first].value.kind == mapping && layers[first-1].value.kind == mapping {
		first--
	}
	if first == len(layers)-1 {
		return last
	}
	values := make([]*Node, 0, len(layers)-first)
	for _, e := range layers[first:] {
		values = append(values, e.value)
	}
	return &entry{key: last.key, position: last.position, value: Merge(values)}
}

// addWithoutNulls appends an entry without the nulls in its value; an entry whose
// value is null is left out.
func (n *Node) addWithoutNulls(e *entry) {
	if e.value.kind == null {
		return
	}
	if e.value.hasNull() {
		e = &entry{key: e.key, position: e.position, value: e.value.withoutNulls()}
	}
	n.entries = append(n.entries, e)
}

func (n *Node) hasNull() bool {
	for _, e := range n.entries {
		if e.value.kind == null || e.value.hasNull() {
			return true
		}
	}
	return false
}

func (n *Node) withoutNulls() *Node {
	out := &Node{position: n.position, kind: n.kind}
	for _, e := range n.entries {
		out.addWithoutNulls(e)
	}
	return out
}
