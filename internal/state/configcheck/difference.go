package configcheck

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"bluebellcrank/internal/state/account"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/service"
)

// Effect tells what clients notice of a difference.
type Effect string

const (
	// Added is something that clients can use from now on.
	Added Effect = "added"
	// Removed is something that clients can no longer use.
	Removed Effect = "removed"
	// Stricter is a setting with which a request may be refused, or end early, that
	// was not before.
	Stricter Effect = "stricter"
	// Looser is the opposite of Stricter.
	Looser Effect = "looser"
)

// Difference is one difference between two configurations.
type Difference struct {
	effect Effect
	path   string
	from   string
	to     string
}

// Effect returns what clients notice.
func (d Difference) Effect() Effect { return d.effect }

// Path returns the names of the section, the entry and the setting, separated by dots.
func (d Difference) Path() string { return d.path }

// From returns the old value; empty if something was added.
func (d Difference) From() string { return d.from }

// To returns the new value; empty if something was removed.
func (d Difference) To() string { return d.to }

// String returns the difference as one line of text.
func (d Difference) String() string {
	text := string(d.effect) + ": " + d.path
	switch {
	case d.from != "" && d.to != "":
		text += ": " + d.from + " to " + d.to
	case d.from != "" || d.to != "":
		text += ": " + d.from + d.to
	}
	return text
}

// differences collects the differences between two configurations.
type differences struct {
	list []Difference
}

func (d *differences) add(effect Effect, path, from, to string) {
	d.list = append(d.list, Difference{effect: effect, path: path, from: from, to: to})
}

// sorted returns the differences by path, and by effect for the same path.
func (d *differences) sorted() []Difference {
	slices.SortStableFunc(d.list, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.path, b.path), cmp.Compare(a.effect, b.effect))
	})
	return d.list
}

// direction tells which of two values of a setting is the stricter one.
type direction int

const (
	lowerIsStricter direction = iota
	higherIsStricter
)

// addChange records a changed number as stricter or looser.
func (d *differences) addChange(path string, from, to int64, stricter direction, format func(int64) string) {
	if from == to {
		return
	}
	effect := Looser
	if (to < from) == (stricter == lowerIsStricter) {
		effect = Stricter
	}
	d.add(effect, path, format(from), format(to))
}

func (d *differences) addBool(path string, from, to bool, stricter bool) {
	if from == to {
		return
	}
	effect := Looser
	if to == stricter {
		effect = Stricter
	}
	d.add(effect, path, strconv.FormatBool(from), strconv.FormatBool(to))
}

// addNames records the names that only one of two lists has, and returns those that
// both have.
func (d *differences) addNames(prefix string, from, to []string) (common []string) {
	from, to = unique(from), unique(to)
	for _, name := range from {
		if !contains(to, name) {
			d.add(Removed, prefix+name, "", "")
		}
	}
	for _, name := range to {
		if !contains(from, name) {
			d.add(Added, prefix+name, "", "")
		}
	}
	return both(from, to)
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func formatDuration(n int64) string { return time.Duration(n).String() }

// CompareFiles returns what clients notice if the configuration to replaces from.
func CompareFiles(from, to *config.Config) []Difference {
	var d differences
	for _, name := range d.addNames(sectionServices+".", from.Services(), to.Services()) {
		d.compareServices(from.Service(name), to.Service(name))
	}
	for _, name := range d.addNames(sectionAccounts+".", from.Accounts(), to.Accounts()) {
		d.compareAccounts(from.Account(name), to.Account(name))
	}
	for _, name := range unique(slices.Concat(from.DataCentres(), to.DataCentres())) {
		// A data centre that a configuration does not contain is in service.
		d.addBool(sectionDataCentres+"."+name+".in-service", from.IsDataCentreInService(name), to.IsDataCentreInService(name), false)
	}
	return d.sorted()
}

func (d *differences) compareServices(from, to *service.Service) {
	prefix := sectionServices + "." + from.Name() + "."
	if from.Kind() != to.Kind() {
		d.add(Removed, prefix+"kind", string(from.Kind()), "")
		d.add(Added, prefix+"kind", "", string(to.Kind()))
	}
	numbers := []struct {
		key      string
		from, to int
		stricter direction
	}{
		{"cold-limit", from.ColdLimit(), to.ColdLimit(), lowerIsStricter},
		{"warm-limit", from.WarmLimit(), to.WarmLimit(), lowerIsStricter},
		{"warm-up", from.WarmUpUnits(), to.WarmUpUnits(), higherIsStricter},
		{"queue-limit", from.QueueLimit(), to.QueueLimit(), lowerIsStricter},
	}
	for _, n := range numbers {
		d.addChange(prefix+n.key, int64(n.from), int64(n.to), n.stricter, formatInt)
	}
	if from.Kind() == service.Engine && to.Kind() == service.Engine {
		// With fewer tokens in a unit, a request needs more units of the target's limit.
		d.addChange(prefix+keyTokensPerUnit, int64(from.TokensPerUnit()), int64(to.TokensPerUnit()), lowerIsStricter, formatInt)
	}
	d.addChange(prefix+"timeout", int64(from.DefaultTimeout()), int64(to.DefaultTimeout()), lowerIsStricter, formatDuration)
	d.addBool(prefix+keyKeyRequired, from.IsKeyRequired(), to.IsKeyRequired(), true)
	d.addBool(prefix+"echo-required", from.IsEchoRequired(), to.IsEchoRequired(), true)
	d.compareRules(prefix+keyNonIdempotent, effectiveRules(from), effectiveRules(to))
}

// compareRules records the requests that may run at most once in only one of two
// configurations. Such a request is not sent a second time, and may need a key.
func (d *differences) compareRules(path string, from, to []service.Rule) {
	for _, r := range to {
		if !covered(r, from) {
			d.add(Stricter, path, "", r.String())
		}
	}
	for _, r := range from {
		if !covered(r, to) {
			d.add(Looser, path, r.String(), "")
		}
	}
}

func covered(r service.Rule, by []service.Rule) bool {
	return slices.ContainsFunc(by, func(other service.Rule) bool { return other.Covers(r) })
}

// effectiveRules returns the rules of a service, or those that correspond to its
// default.
func effectiveRules(s *service.Service) []service.Rule {
	rules, isConfigured := s.NonIdempotentRules()
	if isConfigured {
		return rules
	}
	for _, method := range servedMethods {
		if s.IsNonIdempotent(method, "/") {
			rules = append(rules, service.NewRule(method, "/*"))
		}
	}
	return rules
}

func (d *differences) compareAccounts(from, to *account.Account) {
	prefix := sectionAccounts + "." + from.Name() + "."
	d.addNames(prefix+sectionServices+".", from.Services(), to.Services())
	d.addNames(prefix+keyKeys+".", keyTexts(from), keyTexts(to))
	d.addChange(prefix+"share", int64(from.Share()), int64(to.Share()), lowerIsStricter, formatInt)
	d.addChange(prefix+"priority", int64(from.Priority()), int64(to.Priority()), higherIsStricter, formatInt)
	d.addLimit(prefix+"requests-per-second", int64(from.RequestsPerSecond()), int64(to.RequestsPerSecond()), formatInt)
}

func keyTexts(a *account.Account) []string {
	out := make([]string, 0, len(a.Keys()))
	for _, k := range a.Keys() {
		out = append(out, k.String())
	}
	return out
}
