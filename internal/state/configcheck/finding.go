package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"bluebellcrank/internal/state/document"
)

// Class is the class of a finding.
type Class string

const (
	// Invalid is an error in a file: the configuration would be refused.
	Invalid Class = "invalid"
	// AccountWithoutKeys is an account as which no client can authenticate.
	AccountWithoutKeys Class = "account-without-keys"
	// AccountWithoutServices is an account whose requests are all refused.
	AccountWithoutServices Class = "account-without-services"
	// RepeatedEntry is an element that its list contains before.
	RepeatedEntry Class = "repeated-entry"
	// ServiceWithoutAccount is a service that no account with a key may use.
	ServiceWithoutAccount Class = "service-without-account"
	// ShadowedRule is a rule whose requests are all matched by another rule.
	ShadowedRule Class = "shadowed-rule"
	// UnmatchedRule is a rule that matches no request that an entry accepts.
	UnmatchedRule Class = "unmatched-rule"
	// ServiceWithoutRoute is a service to which no route sends requests.
	ServiceWithoutRoute Class = "service-without-route"
	// UnmatchedRoute is a route that matches no request.
	UnmatchedRoute Class = "unmatched-route"
	// ZeroWeight is a service that gets no request of a route, because its weight is 0.
	ZeroWeight Class = "zero-weight"
	// AllDataCentresOut is a configuration in which no data centre is in service.
	AllDataCentresOut Class = "all-data-centres-out"
	// SettingWithoutEffect is a setting that another setting makes meaningless.
	SettingWithoutEffect Class = "setting-without-effect"
	// GoalOverTimeout is a latency goal that is longer than the timeout.
	GoalOverTimeout Class = "goal-over-timeout"
	// SlotsOverConnections is an engine with more slots than its target may have
	// connections.
	SlotsOverConnections Class = "slots-over-connections"
	// BodyOverMemory is a limit of a request body that is over the memory of an entry.
	BodyOverMemory Class = "body-over-memory"
)

// FolderClasses returns the classes of findings of CheckFiles.
func FolderClasses() []Class {
	return []Class{
		Invalid, AccountWithoutKeys, AccountWithoutServices, RepeatedEntry, ServiceWithoutAccount, ShadowedRule,
		UnmatchedRule, AllDataCentresOut, SettingWithoutEffect, GoalOverTimeout,
	}
}

// TableClasses returns the classes of findings of CheckTable and of the errors of the
// users' platform's configuration.
func TableClasses() []Class {
	return []Class{
		Invalid, AccountWithoutKeys, RepeatedEntry, ServiceWithoutRoute, UnmatchedRoute, ZeroWeight,
		SettingWithoutEffect, GoalOverTimeout, SlotsOverConnections, BodyOverMemory,
	}
}

// Finding is one problem of a configuration.
type Finding struct {
	class    Class
	position document.Position
	message  string
}

// NewFinding returns a finding at a position in a file.
func NewFinding(class Class, at document.Position, format string, args ...any) Finding {
	return Finding{class: class, position: at, message: fmt.Sprintf(format, args...)}
}

// Class returns the class of the finding.
func (f Finding) Class() Class { return f.class }

// Position returns where the finding is; it may be unknown.
func (f Finding) Position() document.Position { return f.position }

// Message returns the description of the finding.
func (f Finding) Message() string { return f.message }

// String returns the finding as one line of text.
func (f Finding) String() string {
	text := string(f.class) + ": " + f.message
	if !f.position.IsKnown() {
		return text
	}
	return f.position.String() + ": " + text
}

// sortFindings sorts by position and then by text.
func sortFindings(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		p, q := a.position, b.position
		return cmp.Or(cmp.Compare(p.File(), q.File()), cmp.Compare(p.Line(), q.Line()),
			cmp.Compare(p.Column(), q.Column()), cmp.Compare(a.String(), b.String()))
	})
}
