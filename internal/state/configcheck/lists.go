package configcheck

import (
	"slices"
	"strings"

	"bluebellcrank/internal/state/account"
	"bluebellcrank/internal/state/routing"
)

// accountEntry is what an account's entries in the list have in common.
type accountEntry struct {
	digests     []string
	hasPriority bool
	priority    int
}

// digestLength is the number of characters of a key's digest in a difference; 12 digits
// tell keys apart and are no help to guess one.
const digestLength = len("sha256:") + 12

// accountsByName returns the accounts with the digests of their keys. The keys of several
// entries of one name are added up.
func accountsByName(c routing.Config) map[string]accountEntry {
	out := make(map[string]accountEntry, len(c.Accounts))
	for _, a := range c.Accounts {
		e := out[a.Account.Name]
		for _, k := range a.Keys {
			e.digests = append(e.digests, account.HashKey(k).String()[:digestLength])
		}
		e.hasPriority, e.priority = a.Account.HasPriority, a.Account.Priority
		out[a.Account.Name] = e
	}
	return out
}

// routesByPrefix returns the routes by host and prefix.
func routesByPrefix(c routing.Config) map[string]*routing.Route {
	out := make(map[string]*routing.Route, len(c.Routes))
	for _, r := range c.Routes {
		out[strings.ToLower(r.Host)+r.Prefix] = r
	}
	return out
}

func serviceNames(c routing.Config) []string {
	out := make([]string, 0, len(c.Services))
	for _, s := range c.Services {
		out = append(out, s.Name)
	}
	return out
}

func keys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	return out
}

// both returns the names that both lists have, sorted.
func both(a, b []string) []string {
	b = unique(b)
	return slices.DeleteFunc(unique(a), func(name string) bool { return !contains(b, name) })
}

// unique returns the names sorted, and each of them once.
func unique(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

// contains reports whether a sorted list has a name.
func contains(sorted []string, name string) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}
