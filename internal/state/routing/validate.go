package routing

import (
	"errors"
	"fmt"
	"strings"
)

// RouteError is an error of one route.
type RouteError struct {
	route   *Route
	message string
}

// Route returns the route.
func (e *RouteError) Route() *Route { return e.route }

// Error implements error.
func (e *RouteError) Error() string { return e.message }

// Validate returns all errors in the table, joined. An invalid table must not be
// applied: it would send requests to the wrong service, or to none.
func (t *Table) Validate() error {
	var errs []error
	if t.version <= 0 {
		errs = append(errs, fmt.Errorf("routing: version %d is not positive", t.version))
	}
	for _, routes := range t.hosts {
		prefixes := map[string]string{}
		for _, r := range routes {
			if other, found := prefixes[r.Prefix]; found {
				message := fmt.Sprintf("routing: routes %q and %q have the same host and prefix", other, r.Name)
				errs = append(errs, &RouteError{route: r, message: message})
			}
			prefixes[r.Prefix] = r.Name
			errs = append(errs, r.validate(t.services))
		}
	}
	return errors.Join(errs...)
}

// validate returns all errors in the route, joined.
func (r *Route) validate(services map[string]*Service) error {
	var errs []error
	fail := func(format string, values ...any) {
		message := fmt.Sprintf("routing: route %q: "+format, append([]any{r.Name}, values...)...)
		errs = append(errs, &RouteError{route: r, message: message})
	}
	if r.Host == "" {
		fail("the host is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fail("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		fail("time-out %s is not positive", r.Timeout)
	}
	totalWeight := 0
	for _, s := range r.Shares {
		totalWeight += s.Weight
		if s.Weight < 0 {
			fail("the weight of service %q is %d", s.Service, s.Weight)
		}
		if services[s.Service] == nil {
			fail("service %q does not exist", s.Service)
		}
	}
	if totalWeight <= 0 {
		fail("no service has a weight")
	}
	return errors.Join(errs...)
}
