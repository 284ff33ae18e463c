package main

import (
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFreePortStaysFreeWhileProcessesStart guards against a process that is being started
// keeping the socket open by which a port was found free.
func TestFreePortStaysFreeWhileProcessesStart(t *testing.T) {
	const starters, ports = 8, 2000
	c := qt.New(t)
	done := make(chan struct{})
	var starting sync.WaitGroup
	for range starters {
		starting.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	inUse := 0
	for range ports {
		address := freeAddress()
		l, err := net.Listen("tcp", address)
		if err != nil {
			inUse++
			time.Sleep(time.Millisecond)
			continue
		}
		_ = l.Close()
	}
	close(done)
	starting.Wait()
	c.Check(inUse, qt.Equals, 0)
}
