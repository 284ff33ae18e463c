package agent

import (
	"errors"
	"net"
	"syscall"
	"time"

	"bluebellcrank/internal/protocol/engine"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
)

const (
	loadTimeout = 500 * time.Millisecond
	// missedLoadReportsToDown is the number of consecutive failures to read the
	// load report after which the target counts as down.
	missedLoadReportsToDown = 2
	redialDelay             = 50 * time.Millisecond
	redialTimeout           = 500 * time.Millisecond
)

// pollLoad reads the target's load report once per LoadInterval until the agent
// stops.
func (a *Agent) pollLoad() {
	process.Every(a.settings.LoadInterval, a.stop, func(time.Time) { a.pollLoadOnce() })
}

func (a *Agent) pollLoadOnce() {
	load, err := engine.ReadLoad(a.settings.Target, a.settings.LoadPath, loadTimeout)
	a.member.Loop().Post(func(now time.Time) { a.handleLoad(load, err, now) })
}

// handleLoad records a load report, or the error of reading it. It runs on the
// control loop.
func (a *Agent) handleLoad(load engine.Load, err error, now time.Time) {
	if err != nil {
		a.missedLoadReports++
		if a.missedLoadReports >= missedLoadReportsToDown && a.isTargetUp {
			a.isTargetUp = false
			a.warmth.Reset()
			event.TargetUnreachable.Log(a.log, "error", err)
		}
		a.dispatch(now)
		return
	}
	a.missedLoadReports = 0
	if !a.isTargetUp {
		a.isTargetUp = true
		event.TargetReachable.Log(a.log, "boot", load.Boot)
	}
	a.warmth.SetBootID(load.Boot)
	if load.Leaving {
		a.startLeaving("target")
	}
	a.dispatch(now)
}

// watchConnection keeps one idle connection to the target open. The close of this
// connection is the earliest sign that the target has stopped, before the next load
// report. The cold limit then applies until a load report contains a boot ID. If the
// boot ID is unchanged, the target has not restarted and regains its previous limit.
func (a *Agent) watchConnection() {
	for !a.isStopped() {
		conn, err := net.DialTimeout("tcp", a.settings.Target, redialTimeout)
		if err != nil {
			time.Sleep(redialDelay)
			continue
		}
		a.waitForClose(conn)
		a.pollLoadOnce()
	}
}

// isTargetConnected reports whether the watched connection is open. It queries the
// kernel, because this process may not have read the close of the connection yet.
// If the target has restarted, the kernel has processed the close before the new
// process can accept requests.
func (a *Agent) isTargetConnected() bool {
	conn := a.watchedConn.Load()
	if conn == nil {
		return false
	}
	raw, err := (*conn).(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isOpen = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && isOpen
}

// waitForClose publishes the watched connection and returns once the target closes
// it or the agent stops. If the target closed it, the target's cold limit applies.
func (a *Agent) waitForClose(conn net.Conn) {
	closed := make(chan struct{})
	go func() {
		select {
		case <-a.stop:
		case <-closed:
		}
		_ = conn.Close()
	}()
	a.watchedConn.Store(&conn)
	var b [1]byte
	_, _ = conn.Read(b[:])
	a.watchedConn.Store(nil)
	close(closed)
	if a.isStopped() {
		return
	}
	a.member.Loop().Post(func(now time.Time) {
		a.warmth.Suspend()
		a.dispatch(now)
	})
}
