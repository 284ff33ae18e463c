package instance

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Settings are what a platform tells a process about its instance. The fields
// are exported because the adapter of that platform sets them.
type Settings struct {
	// Name is unique among the instances of a deployment.
	Name string
	// Address is the IP address of the instance.
	Address string
	// DataCentre is where the instance stands.
	DataCentre string
	// TrafficListen is where callers connect (host:port); empty on agents.
	TrafficListen string
	// ReadyListen is where the platform asks whether to send callers here.
	ReadyListen string
	// FirstPort and LastPort bound the ports for our own protocols.
	FirstPort, LastPort int
	// StoreAddress is where the platform's store listens (host:port).
	StoreAddress string
	// EngineAddress is the address of the model engine beside an agent.
	EngineAddress string
	// Service is the service of that engine.
	Service string
	// MemoryMB is the memory beyond which the process is killed, in MiB.
	MemoryMB int
	// MaxOpenFiles is the limit of open files.
	MaxOpenFiles int
	// Bounds are the deployment's time limits and shares.
	Bounds Bounds
}

// Bounds are the limits that a deployment sets for all instances together.
type Bounds struct {
	// RevocationTimeout is how long after its removal a key may still be served.
	RevocationTimeout time.Duration
	// DrainPeriod is how long after it began to leave a target may get new work.
	DrainPeriod time.Duration
	// GracePeriod is the time between the request to stop and the kill.
	GracePeriod time.Duration
	// RetryRatio is the part of a service's requests that may be sent again.
	RetryRatio float64
	// RetryAllowance is the number of such sends in a window beside the ratio.
	RetryAllowance float64
	// RetryWindow is the window of both.
	RetryWindow time.Duration
	// ColdRateFactor is how many times its stated rate a cold target may get.
	ColdRateFactor float64
	// ColdRateAllowance is the number of requests a second beside the factor.
	ColdRateAllowance float64
	// StallTimeout is how long work waits for a dead rank before it is cut off.
	StallTimeout time.Duration
}

// Defaults returns bounds that are safe where a deployment names none.
func (Bounds) Defaults() Bounds {
	return Bounds{
		RevocationTimeout:  5 * time.Second,
		DrainPeriod:       2 * time.Second,
		GracePeriod:       8 * time.Second,
		RetryRatio:  0.2,
		RetryAllowance:  20,
		RetryWindow: 10 * time.Second,
		ColdRateFactor:  1,
		StallTimeout:       1500 * time.Millisecond,
	}
}

// Validate returns everything that is wrong with the settings.
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
		{"the callers' address", s.TrafficListen},
		{"the readiness address", s.ReadyListen},
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
		errs = append(errs, fmt.Errorf("instance: %d to %d is no range of ports", s.FirstPort, s.LastPort))
	}
	return errors.Join(errs...)
}
