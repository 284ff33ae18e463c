package config

import (
	"cmp"
	"slices"
	"sort"

	"github.com/samber/lo"

	"bluebellcrank/internal/state/account"
	"bluebellcrank/internal/state/datacentre"
	"bluebellcrank/internal/state/document"
	"bluebellcrank/internal/state/service"
)

// Config is one immutable configuration.
type Config struct {
	head     Head
	services map[string]*service.Service
	accounts map[string]*account.Account
	centres  map[string]*datacentre.DataCentre
	byKey    map[account.KeyHash]*account.Account
}

// Builder makes configurations and remembers each file's parsed content, so
// that a change of one file costs the parsing of that file.
type Builder struct {
	parsed   map[string]*document.Node
	accounts map[*document.Node]*account.Account
}

// NewBuilder returns a builder that remembers nothing.
func NewBuilder() *Builder {
	return &Builder{parsed: map[string]*document.Node{}}
}

// Build merges the files in the order of their names and checks the whole;
// the error lists every fault.
func (b *Builder) Build(head Head, files []File) (*Config, error) {
	var faults document.Faults
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(x, y File) int { return cmp.Compare(x.Name, y.Name) })
	parsed := make(map[string]*document.Node, len(files))
	documents := []*document.Node{document.Empty("folder")}
	for _, f := range sorted {
		id := f.Name + " " + f.Digest()
		parsed[id] = b.parse(id, f, &faults)
		documents = append(documents, parsed[id])
	}
	c := &Config{head: head}
	accounts := c.read(document.NewReader(document.Merge(documents), &faults), b.accounts)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	b.parsed, b.accounts = parsed, accounts
	return c, nil
}

func (b *Builder) parse(id string, f File, faults *document.Faults) *document.Node {
	if n := b.parsed[id]; n != nil {
		return n
	}
	if len(f.Content) > MaxFileBytes {
		faults.Add(document.NewPosition(f.Name, 1, 1), "file has %d bytes, over the limit of %d", len(f.Content), MaxFileBytes)
		return document.Empty(f.Name)
	}
	return document.Parse(f.Name, f.Content, faults)
}

// read takes the whole configuration out of the merged document. Accounts
// whose part of it is the same as in the last build are taken from there; the
// result has those of this one.
func (c *Config) read(r *document.Reader, known map[*document.Node]*account.Account) map[*document.Node]*account.Account {
	c.services = map[string]*service.Service{}
	c.accounts = map[string]*account.Account{}
	c.centres = map[string]*datacentre.DataCentre{}
	c.byKey = map[account.KeyHash]*account.Account{}
	r.EachMap("services", func(name string, r *document.Reader) {
		c.services[name] = service.Read(name, r)
	})
	r.EachMap("data-centres", func(name string, r *document.Reader) {
		c.centres[name] = datacentre.Read(name, r)
	})
	read := make(map[*document.Node]*account.Account, len(known))
	r.EachMap("accounts", func(name string, r *document.Reader) {
		a := known[r.Node()]
		if a == nil {
			a = account.Read(name, r)
		}
		read[r.Node()] = a
		c.accounts[name] = a
		c.check(a, r)
	})
	r.CheckUnknownKeys()
	return read
}

// check records broken references and keys that two accounts share.
func (c *Config) check(a *account.Account, r *document.Reader) {
	for _, s := range a.Services() {
		if c.services[s] == nil {
			r.AddFault("services", "account %q refers to unknown service %q", a.Name(), s)
		}
	}
	for _, k := range a.Keys() {
		if other := c.byKey[k]; other != nil {
			r.AddFault("keys", "accounts %q and %q have the same key", other.Name(), a.Name())
		}
		c.byKey[k] = a
	}
}

// Head returns the revision and the files it names.
func (c *Config) Head() Head { return c.head }

// Revision returns the configuration's revision, from one upward.
func (c *Config) Revision() int64 { return c.head.Revision }

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *service.Service { return c.services[name] }

// Services returns the names of the services, sorted.
func (c *Config) Services() []string { return sortedKeys(c.services) }

// Account returns a client account by name, or nil.
func (c *Config) Account(name string) *account.Account { return c.accounts[name] }

// RateLimitedAccounts returns the accounts that have a rate limit.
func (c *Config) RateLimitedAccounts() []*account.Account {
	return lo.Filter(lo.Values(c.accounts), func(a *account.Account, _ int) bool { return a.RequestsPerSecond() > 0 })
}

// AccountCount returns the number of client accounts.
func (c *Config) AccountCount() int { return len(c.accounts) }

// DataCentres returns the names of the data centres, sorted.
func (c *Config) DataCentres() []string { return sortedKeys(c.centres) }

// IsDataCentreInService reports whether a data centre may receive new work; one that the
// configuration does not name may.
func (c *Config) IsDataCentreInService(centre string) bool {
	d := c.centres[centre]
	return d == nil || d.InService()
}

// AccountByKey returns the account that owns an API key, or nil.
func (c *Config) AccountByKey(key string) *account.Account {
	h := account.HashKey(key)
	a := c.byKey[h]
	if a == nil || !a.HasKey(h) {
		return nil
	}
	return a
}

func sortedKeys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
