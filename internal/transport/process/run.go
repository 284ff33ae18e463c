package process

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/state/event"
)

// Daemon is a process that can be stopped gracefully.
type Daemon interface {
	// Drain takes no new work and returns when nothing is in flight.
	Drain()
	// Close ends at once.
	Close()
}

// Run serves until a signal: the first one drains without a limit, a second
// one ends at once. SIGHUP calls reload; without one it ends the process, as
// is usual.
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

// NewLogger returns the process's log on standard error.
func NewLogger(s Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:  s.Instance,
		Level: hclog.LevelFromString(s.LogLevel),
	})
}
