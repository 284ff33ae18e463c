package process

import (
	"os"
	"os/signal"
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

// Run waits for SIGTERM or SIGINT and stops the daemon. The first signal drains it
// without a time limit, and a second one closes it at once. SIGHUP calls reload; if
// reload is nil, SIGHUP keeps its default effect and terminates the process.
func Run(d Daemon, log hclog.Logger, reload func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if reload != nil {
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		go func() {
			for range hangups {
				reload()
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
	select {
	case <-drained:
	case <-signals:
		event.ProcessAborted.Log(log)
	}
	d.Close()
	event.ProcessStopped.Log(log)
}

// NewLogger returns a logger to standard error with the instance ID as its name.
func NewLogger(s Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:  s.Instance,
		Level: hclog.LevelFromString(s.LogLevel),
	})
}
