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

// Config is one immutable configuration; it is safe for concurrent use.
type Config struct {
	head          Head
	services      map[string]*service.Service
	accounts      map[string]*account.Account
	dataCentres   map[string]*datacentre.DataCentre
	accountsByKey map[account.KeyHash]*account.Account
}

// Builder builds configurations. It caches the parsed files and accounts of the
// last successful build, so that after a change only the changed files are parsed.
type Builder struct {
	parsed   map[string]*document.Node
	accounts map[*document.Node]*account.Account
}

// NewBuilder returns a builder with an empty cache.
func NewBuilder() *Builder {
	return &Builder{parsed: map[string]*document.Node{}}
}

// Build merges the files in the order of their names and validates the result.
// The error lists every fault; after an error the cache is unchanged.
func (b *Builder) Build(head Head, files []File) (*Config, error) {
	c, _, err := b.BuildWithDocument(head, files)
	return c, err
}

// BuildWithDocument is Build and also returns the merged document, which holds the
// position of each setting.
func (b *Builder) BuildWithDocument(head Head, files []File) (*Config, *document.Node, error) {
	var faults document.Faults
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(x, y File) int { return cmp.Compare(x.Name, y.Name) })
	parsed := make(map[string]*document.Node, len(files))
	documents := []*document.Node{document.Empty("folder")}
	for _, f := range sorted {
		id := f.Name + " " + f.Digest()
		parsed[id] = b.parseFile(id, f, &faults)
		documents = append(documents, parsed[id])
	}
	c := &Config{head: head}
	merged := document.Merge(documents)
	accounts := c.read(document.NewReader(merged, &faults), b.accounts)
	if err := faults.Err(); err != nil {
		return nil, nil, err
	}
	b.parsed, b.accounts = parsed, accounts
	return c, merged, nil
}

func (b *Builder) parseFile(id string, f File, faults *document.Faults) *document.Node {
	if n := b.parsed[id]; n != nil {
		return n
	}
	if len(f.Content) > MaxFileBytes {
		faults.Add(document.NewPosition(f.Name, 1, 1), "file has %d bytes, over the limit of %d", len(f.Content), MaxFileBytes)
		return document.Empty(f.Name)
	}
	return document.Parse(f.Name, f.Content, faults)
}

// read reads the configuration from the merged document. It reuses the account
// from the previous build where the document node is the same, and returns the
// accounts of this build by their nodes.
func (c *Config) read(r *document.Reader, previous map[*document.Node]*account.Account) map[*document.Node]*account.Account {
	c.services = map[string]*service.Service{}
	c.accounts = map[string]*account.Account{}
	c.dataCentres = map[string]*datacentre.DataCentre{}
	c.accountsByKey = map[account.KeyHash]*account.Account{}
	r.EachMap("services", func(name string, r *document.Reader) {
		c.services[name] = service.Read(name, r)
	})
	r.EachMap("data-centres", func(name string, r *document.Reader) {
		c.dataCentres[name] = datacentre.Read(name, r)
	})
	current := make(map[*document.Node]*account.Account, len(previous))
	r.EachMap("accounts", func(name string, r *document.Reader) {
		a := previous[r.Node()]
		if a == nil {
			a = account.Read(name, r)
		}
		current[r.Node()] = a
		c.accounts[name] = a
		c.checkReferences(a, r)
	})
	r.CheckUnknownKeys()
	return current
}

// checkReferences records references to unknown services and keys that another
// account has as well, and adds the account's keys to the index.
func (c *Config) checkReferences(a *account.Account, r *document.Reader) {
	for _, s := range a.Services() {
		if c.services[s] == nil {
			r.AddFault("services", "account %q refers to unknown service %q", a.Name(), s)
		}
	}
	for _, k := range a.Keys() {
		if other := c.accountsByKey[k]; other != nil {
			r.AddFault("keys", "accounts %q and %q have the same key", other.Name(), a.Name())
		}
		c.accountsByKey[k] = a
	}
}

// Head returns the head that the configuration was built from: its revision and
// files.
func (c *Config) Head() Head { return c.head }

// Revision returns the configuration's revision; revisions start at 1.
func (c *Config) Revision() int64 { return c.head.Revision }

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *service.Service { return c.services[name] }

// Services returns the names of the services, sorted.
func (c *Config) Services() []string { return sortedKeys(c.services) }

// Account returns the client account with the given name, or nil.
func (c *Config) Account(name string) *account.Account { return c.accounts[name] }

// Accounts returns the names of the client accounts, sorted.
func (c *Config) Accounts() []string { return sortedKeys(c.accounts) }

// RateLimitedAccounts returns the accounts that have a rate limit, unsorted.
func (c *Config) RateLimitedAccounts() []*account.Account {
	return lo.Filter(lo.Values(c.accounts), func(a *account.Account, _ int) bool { return a.RequestsPerSecond() > 0 })
}

// AccountCount returns the number of client accounts.
func (c *Config) AccountCount() int { return len(c.accounts) }

// DataCentres returns the names of the data centres, sorted.
func (c *Config) DataCentres() []string { return sortedKeys(c.dataCentres) }

// IsDataCentreInService reports whether a data centre may receive new requests.
// It is true for a data centre that the configuration does not contain.
func (c *Config) IsDataCentreInService(centre string) bool {
	d := c.dataCentres[centre]
	return d == nil || d.InService()
}

// AccountByKey returns the account with the given API key, or nil.
func (c *Config) AccountByKey(key string) *account.Account {
	h := account.HashKey(key)
	a := c.accountsByKey[h]
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
