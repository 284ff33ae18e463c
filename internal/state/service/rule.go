package service

import "strings"

// Rule matches requests by method and path. A path that ends in * matches every path
// with the prefix before the asterisk.
type Rule struct {
	method string
	path   string
}

// NewRule returns a rule that matches a method and a path, or a prefix that is followed
// by an asterisk.
func NewRule(method, path string) Rule { return Rule{method: method, path: path} }

// Method returns the method of the matching requests.
func (r Rule) Method() string { return r.method }

// Path returns the path, or the prefix followed by an asterisk.
func (r Rule) Path() string { return r.path }

// String returns the rule in the format of the configuration, such as "POST /ring".
func (r Rule) String() string { return r.method + " " + r.path }

func (r Rule) matches(method, path string) bool {
	if r.method != method {
		return false
	}
	if prefix, found := strings.CutSuffix(r.path, "*"); found {
		return strings.HasPrefix(path, prefix)
	}
	return r.path == path
}

// Covers reports whether every request that another rule matches is matched by this
// one as well.
func (r Rule) Covers(other Rule) bool {
	prefix, isPrefix := strings.CutSuffix(other.path, "*")
	if !isPrefix {
		return r.matches(other.method, other.path)
	}
	own, ownIsPrefix := strings.CutSuffix(r.path, "*")
	return r.method == other.method && ownIsPrefix && strings.HasPrefix(prefix, own)
}
