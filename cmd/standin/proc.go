package main

import (
	"os/exec"
	"syscall"
	"time"
)

// proc is a child process of this program; exited is closed once it has ended.
type proc struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{}
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the process to end.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM and reports whether the process ended within stopTimeout;
// otherwise it kills the process.
func (p *proc) stop() bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(stopTimeout):
		p.kill()
		return false
	}
}
