package process

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"time"
)

// Settings are the settings that entries and agents have in common. The fields are
// exported because the command-line library sets them.
type Settings struct {
	Instance         string        `name:"instance" yaml:"instance" help:"Instance id, unique in the fleet (default: host name)."`
	DataCentre       string        `name:"data-centre" yaml:"data-centre" help:"Name of the data centre."`
	Platform         string        `name:"platform" yaml:"platform" default:"http://127.0.0.1:7000" help:"Base address of the platform's object API."`
	PeerListen       string        `name:"peer-listen" yaml:"peer-listen" default:"127.0.0.1:0" help:"Where other processes reach this one (host:port)."`
	TrafficListen    string        `name:"traffic-listen" yaml:"traffic-listen" default:"127.0.0.1:0" help:"Where requests arrive (host:port)."`
	OperatorListen   string        `name:"operator-listen" yaml:"operator-listen" default:"127.0.0.1:0" help:"Metrics, health and dump (host:port); loopback unless set."`
	Seeds            []string      `name:"seeds" yaml:"seeds" help:"Peer addresses to ask while the platform is down."`
	PlatformTimeout  time.Duration `name:"platform-timeout" yaml:"platform-timeout" default:"1s" help:"How long one call to the platform may take."`
	PeerTimeout      time.Duration `name:"peer-timeout" yaml:"peer-timeout" default:"800ms" help:"How long one call to a peer may take."`
	ExchangeInterval time.Duration `name:"exchange-interval" yaml:"exchange-interval" default:"500ms" help:"Time between two comparisons of revisions with a peer."`
	ListInterval     time.Duration `name:"list-interval" yaml:"list-interval" default:"1s" help:"Time between two reads of the instance list."`
	WatchTimeout     time.Duration `name:"watch-time" yaml:"watch-time" default:"10s" help:"How long one watch of the platform waits."`
	RefusalInterval  time.Duration `name:"refusal-interval" yaml:"refusal-interval" default:"1s" help:"Time between two batches of refusals."`
	MaxKeptRefusals  int           `name:"refusals-kept" yaml:"refusals-kept" default:"10000" help:"Refusals kept in memory until they are written."`
	LogLevel         string        `name:"log-level" yaml:"log-level" default:"info" enum:"trace,debug,info,warn,error" help:"Lowest level that is logged."`
}

const (
	minInterval       = 10 * time.Millisecond
	maxInterval       = time.Minute
	keptRefusalsLimit = 1_000_000
)

// Listen opens the listeners for peers, traffic and operators. If one of them fails,
// it closes the others and returns the error.
func (s *Settings) Listen() (Listeners, error) {
	var l Listeners
	for _, socket := range []struct {
		address  string
		listener *net.Listener
	}{{s.PeerListen, &l.Peer}, {s.TrafficListen, &l.Traffic}, {s.OperatorListen, &l.Operator}} {
		opened, err := net.Listen("tcp", socket.address)
		if err != nil {
			l.Close()
			return Listeners{}, err
		}
		*socket.listener = opened
	}
	return l, nil
}

// Listeners are the listening sockets of a daemon.
type Listeners struct {
	Peer     net.Listener
	Traffic  net.Listener
	Operator net.Listener
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Peer, l.Traffic, l.Operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Defaults sets an empty instance ID to the host name.
func (s *Settings) Defaults() {
	if s.Instance == "" {
		s.Instance, _ = os.Hostname()
	}
}

// BeforeApply sets the defaults. The command-line library calls it before it applies
// the operator's values, and calls Validate afterwards.
func (s *Settings) BeforeApply() error {
	s.Defaults()
	return nil
}

// Validate returns an error that lists every invalid setting.
func (s *Settings) Validate() error {
	var errs []error
	fail := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.Instance == "" {
		fail("instance: is empty")
	}
	if s.DataCentre == "" {
		fail("data-centre: is empty")
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" || u.Host == "" {
		fail("platform: %q is not an http address", s.Platform)
	}
	for _, address := range []struct{ name, value string }{
		{"peer-listen", s.PeerListen},
		{"traffic-listen", s.TrafficListen},
		{"operator-listen", s.OperatorListen},
	} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			fail("%s: %q is not host:port", address.name, address.value)
		}
	}
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			fail("seeds: %q is not host:port", seed)
		}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"platform-timeout", s.PlatformTimeout},
		{"peer-timeout", s.PeerTimeout},
		{"exchange-interval", s.ExchangeInterval},
		{"list-interval", s.ListInterval},
		{"watch-time", s.WatchTimeout},
		{"refusal-interval", s.RefusalInterval},
	} {
		if d.value < minInterval || d.value > maxInterval {
			fail("%s: %s is not from %s to %s", d.name, d.value, minInterval, maxInterval)
		}
	}
	if s.MaxKeptRefusals < 1 || s.MaxKeptRefusals > keptRefusalsLimit {
		fail("refusals-kept: %d is not from 1 to %d", s.MaxKeptRefusals, keptRefusalsLimit)
	}
	return errors.Join(errs...)
}
