package document

import (
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// kind says what a node holds.
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

// entry is one key of a map with its value.
type entry struct {
	key      string
	position Position
	value    *Node
}

// Node is one value of a document.
type Node struct {
	position Position
	kind     kind
	text     string
	items    []*Node
	entries  []*entry
}

// Empty returns a map without keys.
func Empty(file string) *Node {
	return &Node{position: NewPosition(file, 1, 1), kind: mapping}
}

// Parse reads one YAML file; what is wrong is added to the faults.
func Parse(file string, content []byte, faults *Faults) *Node {
	tree, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		faults.Add(syntaxPosition(file, err), "%s", syntaxMessage(err))
		return Empty(file)
	}
	b := builder{file: file, faults: faults}
	root := Empty(file)
	for i, d := range tree.Docs {
		if d.Body == nil {
			continue
		}
		if i > 0 {
			faults.Add(b.at(d.Body), "a file holds one document")
			break
		}
		root = b.node(d.Body)
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

// builder turns the library's tree into nodes.
type builder struct {
	file   string
	faults *Faults
}

func (b *builder) at(n ast.Node) Position {
	p := n.GetToken().Position
	return NewPosition(b.file, p.Line, p.Column)
}

func (b *builder) node(n ast.Node) *Node {
	switch v := n.(type) {
	case *ast.MappingNode:
		return b.mapping(n, v.Values)
	case *ast.MappingValueNode:
		return b.mapping(n, []*ast.MappingValueNode{v})
	case *ast.SequenceNode:
		out := &Node{position: b.at(n), kind: list}
		for _, i := range v.Values {
			out.items = append(out.items, b.node(i))
		}
		return out
	case *ast.NullNode:
		return b.scalar(n, null)
	case *ast.BoolNode:
		return b.scalar(n, boolean)
	case *ast.IntegerNode:
		return b.scalar(n, integer)
	case *ast.FloatNode:
		return b.scalar(n, float)
	case *ast.StringNode:
		return &Node{position: b.at(n), kind: text, text: v.Value}
	case *ast.LiteralNode:
		return &Node{position: b.at(n), kind: text, text: v.Value.Value}
	}
	b.faults.Add(b.at(n), "anchors, aliases and tags are not used here")
	return b.scalar(n, null)
}

func (b *builder) scalar(n ast.Node, k kind) *Node {
	return &Node{position: b.at(n), kind: k, text: n.GetToken().Value}
}

func (b *builder) mapping(n ast.Node, values []*ast.MappingValueNode) *Node {
	out := &Node{position: b.at(n), kind: mapping}
	for _, v := range values {
		key := v.Key.GetToken()
		at := NewPosition(b.file, key.Position.Line, key.Position.Column)
		if out.find(key.Value) != nil {
			b.faults.Add(at, "key %q stands here twice", key.Value)
			continue
		}
		out.entries = append(out.entries, &entry{key: key.Value, position: at, value: b.node(v.Value)})
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

// Merge refines documents by later ones: maps merge by key, scalars and lists
// are replaced, an explicit null removes. The documents do not change, and
// what one document alone says is shared with the result.
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
		out.add(refine(layers[key]))
	}
	return out
}

// refine returns the last layer, merged with the maps just before it.
func refine(layers []*entry) *entry {
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

// add appends a key, without the nulls in and below its value.
func (n *Node) add(e *entry) {
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
		out.add(e)
	}
	return out
}
