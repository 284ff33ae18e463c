package configcheck

import (
	"errors"
	"slices"
	"strings"

	"bluebellcrank/internal/state/account"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/document"
	"bluebellcrank/internal/state/service"
)

// Names of the sections and settings in the files.
const (
	sectionServices    = "services"
	sectionAccounts    = "accounts"
	sectionDataCentres = "data-centres"

	keyFirstToken    = "first-token"
	keyTokenGap      = "between-tokens"
	keyTokensPerUnit = "tokens-per-unit"
	keyKeyRequired   = "key-required"
	keyNonIdempotent = "non-idempotent"
	keyKeys          = "keys"
)

// servedMethods are the methods that entries accept; they answer others with 501.
var servedMethods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH"}

// CheckFiles builds the configuration of some files and returns its findings. The
// configuration is nil if there are errors; the findings are then these errors.
func CheckFiles(files []config.File) (*config.Config, []Finding) {
	conf, root, err := config.NewBuilder().BuildWithDocument(config.Head{}, files)
	if err != nil {
		return nil, Errors(err)
	}
	c := folderCheck{conf: conf, root: root, used: map[string]bool{}}
	for _, name := range conf.Accounts() {
		c.checkAccount(conf.Account(name))
	}
	for _, name := range conf.Services() {
		c.checkService(conf.Service(name))
	}
	c.checkDataCentres()
	sortFindings(c.findings)
	return conf, c.findings
}

// Errors returns a finding for each fault of a document.
func Errors(err error) []Finding {
	var faults *document.Faults
	if !errors.As(err, &faults) {
		return []Finding{NewFinding(Invalid, document.Position{}, "%s", err)}
	}
	var out []Finding
	for _, f := range faults.List() {
		out = append(out, NewFinding(Invalid, f.Position(), "%s", f.Message()))
	}
	sortFindings(out)
	return out
}

// folderCheck collects the findings of one valid configuration.
type folderCheck struct {
	conf *config.Config
	root *document.Node
	// used are the services that an account with a key may use.
	used     map[string]bool
	findings []Finding
}

// add records a finding at the innermost part of the path that the files contain.
func (c *folderCheck) add(class Class, path []string, format string, args ...any) {
	at, found := c.root.Find(path...)
	for n := len(path) - 1; n > 0 && !found; n-- {
		at, found = c.root.Find(path[:n]...)
	}
	c.findings = append(c.findings, NewFinding(class, at, format, args...))
}

func (c *folderCheck) has(path ...string) bool {
	_, found := c.root.Find(path...)
	return found
}

func (c *folderCheck) checkAccount(a *account.Account) {
	if len(a.Keys()) == 0 {
		c.add(AccountWithoutKeys, []string{sectionAccounts, a.Name(), keyKeys}, "account %q has no key, so no client can use it", a.Name())
	}
	if len(a.Services()) == 0 {
		c.add(AccountWithoutServices, []string{sectionAccounts, a.Name(), sectionServices}, "account %q may use no service", a.Name())
	}
	for n, name := range a.Services() {
		if slices.Contains(a.Services()[:n], name) {
			c.add(RepeatedEntry, []string{sectionAccounts, a.Name(), sectionServices}, "account %q lists service %q more than once", a.Name(), name)
		}
		if len(a.Keys()) > 0 {
			c.used[name] = true
		}
	}
}

func (c *folderCheck) checkService(s *service.Service) {
	path := func(key string) []string { return []string{sectionServices, s.Name(), key} }
	if !c.used[s.Name()] {
		c.add(ServiceWithoutAccount, []string{sectionServices, s.Name()}, "no account with a key may use service %q", s.Name())
	}
	c.checkRules(s)
	if s.Kind() == service.Plain {
		for _, key := range []string{keyFirstToken, keyTokenGap, keyTokensPerUnit} {
			if c.has(path(key)...) {
				c.add(SettingWithoutEffect, path(key), "%s has an effect on engine services only, and service %q is plain", key, s.Name())
			}
		}
	} else if s.FirstTokenGoal() > s.DefaultTimeout() {
		c.add(GoalOverTimeout, path(keyFirstToken), "service %q: the goal for the first token, %s, is over the timeout of %s", s.Name(), s.FirstTokenGoal(), s.DefaultTimeout())
	}
	if s.IsKeyRequired() && c.has(path(keyKeyRequired)...) && len(effectiveRules(s)) == 0 {
		c.add(SettingWithoutEffect, path(keyKeyRequired), "key-required has no effect, because service %q has no non-idempotent requests", s.Name())
	}
}

// checkRules finds rules that match no request, or none that another rule does not
// match as well.
func (c *folderCheck) checkRules(s *service.Service) {
	path := []string{sectionServices, s.Name(), keyNonIdempotent}
	rules, _ := s.NonIdempotentRules()
	for n, r := range rules {
		if !slices.Contains(servedMethods, r.Method()) {
			c.add(UnmatchedRule, path, "rule %q matches no request: an entry does not accept the method %q", r, r.Method())
			continue
		}
		if strings.ContainsAny(r.Path(), "?#") {
			c.add(UnmatchedRule, path, "rule %q matches no request: the path of a request ends before a ? or #", r)
			continue
		}
		for m, other := range rules {
			// Of two equal rules, the later is the shadowed one.
			if n != m && other.Covers(r) && (m < n || !r.Covers(other)) {
				c.add(ShadowedRule, path, "rule %q matches no request that rule %q does not match", r, other)
				break
			}
		}
	}
}

func (c *folderCheck) checkDataCentres() {
	names := c.conf.DataCentres()
	if len(names) > 0 && !slices.ContainsFunc(names, c.conf.IsDataCentreInService) {
		c.add(AllDataCentresOut, []string{sectionDataCentres}, "no data centre is in service: %s", strings.Join(names, ", "))
	}
}
