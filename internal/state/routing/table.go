package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table is the routing table of one version of the configuration. It is immutable
// and safe for concurrent use.
type Table struct {
	version      int64
	hosts        map[string][]*Route
	services     map[string]*Service
	accounts     map[string]*Account
	keysRequired bool
	limits       Limits
}

// NewTable returns a table of routes, services and accounts by API key.
// keysRequired tells whether requests need a key unless their route is anonymous.
func NewTable(version int64, routes []*Route, services []*Service, accounts map[string]*Account, keysRequired bool, limits Limits) *Table {
	t := &Table{
		version:      version,
		hosts:        map[string][]*Route{},
		services:     make(map[string]*Service, len(services)),
		accounts:     accounts,
		keysRequired: keysRequired,
		limits:       limits,
	}
	for _, r := range routes {
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, list := range t.hosts {
		// Longest prefix first, so that the first match is the most specific.
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version number that the operator gave the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on the requests and connections of clients.
func (t *Table) Limits() Limits { return t.limits }

// KeysRequired reports whether requests need a key unless their route is anonymous.
func (t *Table) KeysRequired() bool { return t.keysRequired }

// Account returns the account with an API key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns the services by name; the map must not be changed.
func (t *Table) Services() map[string]*Service { return t.services }

// Route returns the route of a host whose prefix is the longest that matches the
// path, or nil. A port in the host is ignored.
func (t *Table) Route(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
