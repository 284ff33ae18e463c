package process

import (
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/state/event"
)

// Daemon is a running server that can be stopped gracefully.
type Daemon interface {
	// Drain refuses new work and returns once nothing is in flight.
	Drain()
	// Close stops the daemon without waiting for work in flight.
	Close()
}

// Signals sets what signals do, apart from the first SIGTERM or SIGINT, which drains.
type Signals struct {
	// Reload is called at SIGHUP; nil keeps its default effect, which ends the process.
	Reload func()
	// Abort lists the signals that end the process at once while it drains. Others do
	// nothing then.
	Abort []os.Signal
}

// Defaults returns the signals of a process that drains without a time limit: a second
// SIGTERM or SIGINT ends it at once.
func (Signals) Defaults() Signals {
	return Signals{Abort: []os.Signal{syscall.SIGTERM, syscall.SIGINT}}
}

// Run waits for SIGTERM or SIGINT and stops the daemon. It waits until the daemon has
// drained, unless a signal aborts that.
func Run(d Daemon, log hclog.Logger, s Signals) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if s.Reload != nil {
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		go func() {
			for range hangups {
				s.Reload()
			}
		}()
	}
	<-signals
	event.ProcessDraining.Log(log)
	drained := make(chan struct{})
	go func() {
		d.Drain()
		close(drained)
	}()
	if !waitForDrain(drained, signals, s.Abort) {
		event.ProcessAborted.Log(log)
	}
	d.Close()
	event.ProcessStopped.Log(log)
}

// waitForDrain waits until the daemon has drained, and returns false if one of the
// signals in abort arrives first.
func waitForDrain(drained <-chan struct{}, signals <-chan os.Signal, abort []os.Signal) bool {
	for {
		select {
		case <-drained:
			return true
		case received := <-signals:
			if slices.Contains(abort, received) {
				return false
			}
		}
	}
}

// NewLogger returns a logger to standard error with the instance ID as its name.
func NewLogger(s Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:  s.Instance,
		Level: hclog.LevelFromString(s.LogLevel),
	})
}
