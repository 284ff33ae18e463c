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
	// maxMissedLoadReports is how many load reports in a row may fail.
	maxMissedLoadReports = 2
	redialDelay          = 50 * time.Millisecond
	redialTimeout        = 500 * time.Millisecond
)

// pollLoad reads the target's load report.
func (a *Agent) pollLoad() {
	process.Every(a.settings.LoadInterval, a.stop, func(time.Time) { a.pollLoadOnce() })
}

func (a *Agent) pollLoadOnce() {
	load, err := engine.ReadLoad(a.settings.Target, a.settings.LoadPath, loadTimeout)
	a.member.Loop().Post(func(now time.Time) { a.handleLoad(load, err, now) })
}

// handleLoad runs on the control thread.
func (a *Agent) handleLoad(load engine.Load, err error, now time.Time) {
	if err != nil {
		a.missedLoadReports++
		if a.missedLoadReports >= maxMissedLoadReports && a.isTargetUp {
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
		a.startLeaving("the target itself")
	}
	a.dispatch(now)
}

// watchConnection holds one idle connection to the target: its end is the
// earliest sign that the target stopped, earlier than the next load report.
// Until the report names the same boot id again, the target counts as cold.
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

// isTargetConnected asks the kernel whether the watched connection is open: the end
// of a target that was restarted is there before its successor can accept,
// whenever this process gets to read it.
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
