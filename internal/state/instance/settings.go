package instance

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Settings are the settings of one instance, as the platform provides them. The
// platform's adapter sets the fields.
type Settings struct {
	// Name is unique among the instances of a deployment.
	Name string
	// Address is the IP address of the instance.
	Address string
	// DataCentre is the data centre of the instance.
	DataCentre string
	// TrafficListen is the listen address for callers (host:port); empty on agents.
	TrafficListen string
	// ReadyListen is the listen address for the platform's readiness checks
	// (host:port).
	ReadyListen string
	// FirstPort and LastPort are the bounds, both included, of the port range for
	// the connections between instances.
	FirstPort, LastPort int
	// StoreAddress is the address of the platform's store (host:port).
	StoreAddress string
	// EngineAddress is the address (host:port) of the model engine next to an
	// agent; empty on other instances.
	EngineAddress string
	// Service is the name of the engine's service.
	Service string
	// MemoryMB is the memory limit in MiB; a process that exceeds it is killed.
	MemoryMB int
	// MaxOpenFiles is the maximum number of open file descriptors.
	MaxOpenFiles int
	// Start tells whether the whole system starts for the first time.
	Start Start
	// Bounds are the limits that apply to the whole deployment.
	Bounds Bounds
}

// Start is what the platform says of a start of the system.
type Start int

// The starts of a system.
const (
	// UnknownStart is a start of which the platform says nothing.
	UnknownStart Start = iota
	// FirstStart is the first start of the whole system.
	FirstStart
	// LaterStart is a start of a system that has run before.
	LaterStart
)

// Bounds are the time limits, rates and ratios that a deployment sets for all
// instances.
type Bounds struct {
	// RevocationTimeout is the longest time that requests with an API key may be
	// served after the key was removed.
	RevocationTimeout time.Duration
	// DrainPeriod is the longest time that a target may get new requests after it
	// started to leave.
	DrainPeriod time.Duration
	// GracePeriod is the time from the termination signal until the process is
	// killed.
	GracePeriod time.Duration
	// RetryRatio is the share of a service's requests that may be retried within
	// RetryWindow, from 0 to 1.
	RetryRatio float64
	// RetryAllowance is the number of retries allowed within RetryWindow in
	// addition to RetryRatio.
	RetryAllowance float64
	// RetryWindow is the period over which retries are counted.
	RetryWindow time.Duration
	// ColdRateFactor is the multiple of its stated request rate that a cold target
	// may get.
	ColdRateFactor float64
	// ColdRateAllowance is the number of requests per second that a cold target may
	// get in addition to ColdRateFactor.
	ColdRateAllowance float64
	// StabilityWindow is how long after a fault an instance may still act on what it
	// knew before.
	StabilityWindow time.Duration
	// StallTimeout is how long requests wait for a failed rank before they are
	// aborted.
	StallTimeout time.Duration
}

// Defaults returns the bounds that apply where the deployment sets none. They are safe
// for a deployment that names no bounds of its own.
func (Bounds) Defaults() Bounds {
	return Bounds{
		RevocationTimeout: 5 * time.Second,
		DrainPeriod:       2 * time.Second,
		GracePeriod:       8 * time.Second,
		RetryRatio:        0.2,
		RetryAllowance:    20,
		RetryWindow:       10 * time.Second,
		ColdRateFactor:    1,
		StabilityWindow:   3 * time.Second,
		StallTimeout:      1500 * time.Millisecond,
	}
}

// Validate returns all errors in the settings, joined.
func (s Settings) Validate() error {
	var errs []error
	if s.Name == "" {
		errs = append(errs, errors.New("instance: the name is missing"))
	}
	if s.DataCentre == "" {
		errs = append(errs, errors.New("instance: the data centre is missing"))
	}
	for _, a := range []struct{ what, value string }{
		{"the store's address", s.StoreAddress},
		{"the listen address for callers", s.TrafficListen},
		{"the listen address for readiness checks", s.ReadyListen},
		{"the engine's address", s.EngineAddress},
	} {
		if a.value == "" && a.what != "the store's address" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			errs = append(errs, fmt.Errorf("instance: %s: %w", a.what, err))
		}
	}
	if s.FirstPort <= 0 || s.LastPort < s.FirstPort {
		errs = append(errs, fmt.Errorf("instance: %d to %d is not a valid port range", s.FirstPort, s.LastPort))
	}
	return errors.Join(errs...)
}
