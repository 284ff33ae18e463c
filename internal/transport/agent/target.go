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
	// missesToDown is how many load reports in a row may fail.
	missesToDown  = 2
	redialPause   = 50 * time.Millisecond
	redialTimeout = 500 * time.Millisecond
)

// poll reads the target's load report.
func (a *Agent) poll() {
	process.Every(a.settings.LoadInterval, a.stop, func(time.Time) { a.pollOnce() })
}

func (a *Agent) pollOnce() {
	load, err := engine.ReadLoad(a.settings.Target, a.settings.LoadPath, loadTimeout)
	a.member.Loop().Post(func(now time.Time) { a.heardLoad(load, err, now) })
}

// heardLoad runs on the control thread.
func (a *Agent) heardLoad(load engine.Load, err error, now time.Time) {
	if err != nil {
		a.misses++
		if a.misses >= missesToDown && a.targetUp {
			a.targetUp = false
			a.warmth.Reset()
			event.TargetUnreachable.Log(a.log, "error", err)
		}
		a.next(now)
		return
	}
	a.misses = 0
	if !a.targetUp {
		a.targetUp = true
		event.TargetReachable.Log(a.log, "boot", load.Boot)
	}
	a.warmth.SetBootID(load.Boot)
	if load.Leaving {
		a.leave("the target itself")
	}
	a.next(now)
}

// watchConnection holds one idle connection to the target: its end is the
// earliest sign that the target stopped, earlier than the next load report.
// Until the report names the same boot id again, the target counts as cold.
func (a *Agent) watchConnection() {
	for !a.stopped() {
		conn, err := net.DialTimeout("tcp", a.settings.Target, redialTimeout)
		if err != nil {
			time.Sleep(redialPause)
			continue
		}
		a.holdConnection(conn)
		a.pollOnce()
	}
}

// stillThere asks the kernel whether the watched connection is open: the end
// of a target that was restarted is there before its successor can accept,
// whenever this process gets to read it.
func (a *Agent) stillThere() bool {
	conn := a.watched.Load()
	if conn == nil {
		return false
	}
	raw, err := (*conn).(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

func (a *Agent) holdConnection(conn net.Conn) {
	ended := make(chan struct{})
	go func() {
		select {
		case <-a.stop:
		case <-ended:
		}
		_ = conn.Close()
	}()
	a.watched.Store(&conn)
	var b [1]byte
	_, _ = conn.Read(b[:])
	a.watched.Store(nil)
	close(ended)
	if a.stopped() {
		return
	}
	a.member.Loop().Post(func(now time.Time) {
		a.warmth.Suspend()
		a.next(now)
	})
}
