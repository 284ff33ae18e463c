package configcheck

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bluebellcrank/internal/state/document"
	"bluebellcrank/internal/state/routing"
)

// bytesPerMB is the number of bytes of one MB of an instance's memory.
const bytesPerMB = 1 << 20

// Positions are functions that return where the elements of a configuration of the users'
// platform are, by their places in the lists.
type Positions struct {
	Route   func(n int) document.Position
	Service func(n int) document.Position
	Account func(n int) document.Position
	Limits  func() document.Position
}

// CheckTable returns the findings of a valid configuration of the users' platform.
// entryMemoryMB is the memory of the smallest entry; 0 if it is not known.
func CheckTable(conf routing.Config, at Positions, entryMemoryMB int) []Finding {
	c := tableCheck{conf: conf, at: at}
	for n, r := range conf.Routes {
		c.checkRoute(r, at.Route(n))
	}
	for n, s := range conf.Services {
		c.checkService(n, s)
	}
	for n, a := range conf.Accounts {
		if len(a.Keys) == 0 {
			c.add(AccountWithoutKeys, at.Account(n), "account %q has no key, so no client can use it", a.Account.Name)
		}
	}
	body := bodyLimit(conf.Table.Limits())
	if entryMemoryMB > 0 && body > int64(entryMemoryMB)*bytesPerMB {
		c.add(BodyOverMemory, at.Limits(), "the limit of a body, %d bytes, is over the memory of an entry, %d MB", body, entryMemoryMB)
	}
	sortFindings(c.findings)
	return c.findings
}

func bodyLimit(l routing.Limits) int64 {
	if l.BodyBytes <= 0 {
		return routing.DefaultBodyBytes
	}
	return l.BodyBytes
}

// tableCheck collects the findings of one configuration.
type tableCheck struct {
	conf     routing.Config
	at       Positions
	findings []Finding
}

func (c *tableCheck) add(class Class, at document.Position, format string, args ...any) {
	c.findings = append(c.findings, NewFinding(class, at, format, args...))
}

func (c *tableCheck) checkRoute(r *routing.Route, at document.Position) {
	if colon := strings.LastIndexByte(r.Host, ':'); colon >= 0 && !strings.Contains(r.Host[colon:], "]") {
		c.add(UnmatchedRoute, at, "route %q matches no request: its host %q has a port, and that of a request is ignored", r.Name, r.Host)
	}
	if strings.ContainsAny(r.Prefix, "?#") {
		c.add(UnmatchedRoute, at, "route %q matches no request: the path of a request ends before a ? or #", r.Name)
	}
	for n, s := range r.Shares {
		if s.Weight == 0 {
			c.add(ZeroWeight, at, "route %q: service %q has a weight of 0 and gets no request", r.Name, s.Service)
		}
		if slices.ContainsFunc(r.Shares[:n], func(other routing.Share) bool { return other.Service == s.Service }) {
			c.add(RepeatedEntry, at, "route %q lists service %q more than once", r.Name, s.Service)
		}
	}
	if r.FirstByteGoal > r.Timeout {
		c.add(GoalOverTimeout, at, "route %q: the goal for the first byte, %s, is over the timeout of %s", r.Name, r.FirstByteGoal, r.Timeout)
	}
	if r.GapGoal > r.Timeout {
		c.add(GoalOverTimeout, at, "route %q: the goal for gaps, %s, is over the timeout of %s", r.Name, r.GapGoal, r.Timeout)
	}
	if r.Kind != routing.Stream && r.GapGoal > 0 {
		c.add(SettingWithoutEffect, at, "route %q: the goal for gaps has an effect on streams only", r.Name)
	}
	if r.Kind != routing.Stream && r.Resumable {
		c.add(SettingWithoutEffect, at, "route %q: that streams may be resumed has an effect on streams only", r.Name)
	}
}

func (c *tableCheck) checkService(n int, s *routing.Service) {
	at := c.at.Service(n)
	if c.conf.Table.Service(s.Name) != s {
		c.add(RepeatedEntry, at, "service %q is listed again below, which replaces this one", s.Name)
		return
	}
	used := slices.ContainsFunc(c.conf.Routes, func(r *routing.Route) bool {
		return slices.ContainsFunc(r.Shares, func(share routing.Share) bool { return share.Service == s.Name && share.Weight > 0 })
	})
	if !used {
		c.add(ServiceWithoutRoute, at, "no route sends requests to service %q", s.Name)
	}
	if s.Engine != nil && s.MaxConnections > 0 && s.Engine.Slots > s.MaxConnections {
		c.add(SlotsOverConnections, at, "service %q: an engine has %d slots, and a target may have only %d connections", s.Name, s.Engine.Slots, s.MaxConnections)
	}
}

// addLimit records a changed limit, of which 0 stands for none.
func (d *differences) addLimit(path string, from, to int64, format func(int64) string) {
	text := func(n int64) string {
		if n <= 0 {
			return "no limit"
		}
		return format(n)
	}
	from, to = max(from, 0), max(to, 0)
	if (from == 0) != (to == 0) {
		// No limit is looser than any limit.
		d.addChange(path, from, to, higherIsStricter, text)
		return
	}
	d.addChange(path, from, to, lowerIsStricter, text)
}

func (d *differences) addDuration(path string, from, to time.Duration) {
	d.addLimit(path, int64(from), int64(to), formatDuration)
}

// CompareTables returns what clients notice if the configuration to replaces from. Routes
// are the same if host and prefix are, whatever their names.
func CompareTables(from, to routing.Config) []Difference {
	var d differences
	oldRoutes, newRoutes := routesByPrefix(from), routesByPrefix(to)
	for _, key := range d.addNames("routes.", keys(oldRoutes), keys(newRoutes)) {
		d.compareRoutes("routes."+key+".", oldRoutes[key], newRoutes[key])
	}
	for _, name := range both(serviceNames(from), serviceNames(to)) {
		d.compareTargets("services."+name+".", from.Table.Service(name), to.Table.Service(name))
	}
	oldAccounts, newAccounts := accountsByName(from), accountsByName(to)
	for _, name := range d.addNames("accounts.", keys(oldAccounts), keys(newAccounts)) {
		d.compareKeys("accounts."+name+".", oldAccounts[name], newAccounts[name])
	}
	d.addBool("accounts.keys-required", from.Table.KeysRequired(), to.Table.KeysRequired(), true)
	oldLimits, newLimits := from.Table.Limits(), to.Table.Limits()
	d.addLimit("limits.header-bytes", int64(oldLimits.HeaderBytes), int64(newLimits.HeaderBytes), formatInt)
	d.addLimit("limits.body-bytes", bodyLimit(oldLimits), bodyLimit(newLimits), formatInt)
	d.addDuration("limits.header-timeout", oldLimits.HeaderTimeout, newLimits.HeaderTimeout)
	d.addDuration("limits.idle-timeout", oldLimits.IdleTimeout, newLimits.IdleTimeout)
	return d.sorted()
}

func (d *differences) compareRoutes(prefix string, from, to *routing.Route) {
	if from.Kind != to.Kind {
		d.add(Removed, prefix+"kind", kindText(from.Kind), "")
		d.add(Added, prefix+"kind", "", kindText(to.Kind))
	}
	d.addDuration(prefix+"timeout", from.Timeout, to.Timeout)
	d.addDuration(prefix+"first-byte-goal", from.FirstByteGoal, to.FirstByteGoal)
	d.addDuration(prefix+"gap-goal", from.GapGoal, to.GapGoal)
	d.addChange(prefix+"priority", int64(from.Priority), int64(to.Priority), higherIsStricter, formatInt)
	d.addChange(prefix+"max-targets", int64(from.MaxTargets), int64(to.MaxTargets), lowerIsStricter, formatInt)
	d.addBool(prefix+"anonymous", from.Anonymous, to.Anonymous, false)
	d.addBool(prefix+"resumable", from.Resumable, to.Resumable, false)
	d.addNames(prefix+"services.", usedServices(from), usedServices(to))
}

func kindText(k routing.Kind) string {
	switch k {
	case routing.Idempotent:
		return "idempotent"
	case routing.Stream:
		return "stream"
	}
	return "at-most-once"
}

func usedServices(r *routing.Route) []string {
	var out []string
	for _, s := range r.Shares {
		if s.Weight > 0 {
			out = append(out, s.Service)
		}
	}
	return out
}

func (d *differences) compareTargets(prefix string, from, to *routing.Service) {
	d.addLimit(prefix+"max-connections", int64(from.MaxConnections), int64(to.MaxConnections), formatInt)
	d.addLimit(prefix+"cold-per-second", thousandths(from.ColdPerSecond), thousandths(to.ColdPerSecond), formatThousandths)
	if from.Engine != nil && to.Engine != nil {
		d.addChange(prefix+"slots", int64(from.Engine.Slots), int64(to.Engine.Slots), lowerIsStricter, formatInt)
	}
}

// thousandths converts a rate, which may be a fraction, to a whole number.
func thousandths(rate float64) int64 { return int64(math.Round(rate * 1000)) }

func formatThousandths(n int64) string { return strconv.FormatFloat(float64(n)/1000, 'f', -1, 64) }

// compareKeys compares the keys and the priority of an account. Keys are secret, so that
// the differences name their digests.
func (d *differences) compareKeys(prefix string, from, to accountEntry) {
	d.addNames(prefix+keyKeys+".", from.digests, to.digests)
	if from.hasPriority && to.hasPriority {
		d.addChange(prefix+"priority", int64(from.priority), int64(to.priority), higherIsStricter, formatInt)
		return
	}
	if from.hasPriority {
		d.add(Removed, prefix+"priority", formatInt(int64(from.priority)), "")
	}
	if to.hasPriority {
		d.add(Added, prefix+"priority", "", formatInt(int64(to.priority)))
	}
}
