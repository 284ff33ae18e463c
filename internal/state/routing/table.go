package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table is one version of the configuration; it does not change.
type Table struct {
	version  int64
	hosts    map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
	keyed    bool
	limits   Limits
}

// NewTable returns a table of routes, services and accounts by API key; keyed
// says whether requests need a key at all.
func NewTable(version int64, routes []*Route, services []*Service, accounts map[string]*Account, keyed bool, l Limits) *Table {
	t := &Table{
		version:  version,
		hosts:    map[string][]*Route{},
		services: make(map[string]*Service, len(services)),
		accounts: accounts,
		keyed:    keyed,
		limits:   l,
	}
	for _, r := range routes {
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, list := range t.hosts {
		// The longest prefix comes first.
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the operator's number of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns what a client may send.
func (t *Table) Limits() Limits { return t.limits }

// KeysRequired reports whether requests need a key unless their route is anonymous.
func (t *Table) KeysRequired() bool { return t.keyed }

// Account returns the account that holds a key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns the services in no order.
func (t *Table) Services() map[string]*Service { return t.services }

// Route returns the route with the longest prefix of a path, or nil.
func (t *Table) Route(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && strings.IndexByte(host[at:], ']') < 0 {
		host = host[:at]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
