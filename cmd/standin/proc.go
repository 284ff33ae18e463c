package main

import (
	"os/exec"
	"syscall"
	"time"
)

// proc is one process that this program started.
type proc struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process without a chance to act.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks for a graceful end and returns whether it came in time.
func (p *proc) stop() bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(stopTimeout):
		p.kill()
		return false
	}
}
