package main

import (
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
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

// TestPortOfAProcessThatIsDownIsNotTaken guards against another test, of this process or of
// one beside it, that takes the port of a process between its end and its next start.
func TestPortOfAProcessThatIsDownIsNotTaken(t *testing.T) {
	c := qt.New(t)
	const taken = 200
	reserved := map[string]bool{}
	for range taken {
		address := freeAddress()
		_, port, err := net.SplitHostPort(address)
		c.Assert(err, qt.IsNil)
		number, err := strconv.ParseInt(port, 10, 64)
		c.Assert(err, qt.IsNil)
		c.Check(number < firstEphemeralPort(t), qt.IsTrue, qt.Commentf("%s is a port that connections get", address))
		reserved[address] = true
	}
	// As another process that walks through the same ports.
	nextPort.Add(-taken)
	for range taken {
		address := freeAddress()
		c.Check(reserved[address], qt.IsFalse, qt.Commentf("%s is given out twice", address))
	}
}

// firstEphemeralPort returns the first port that the kernel gives to connections.
func firstEphemeralPort(t *testing.T) int64 {
	c := qt.New(t)
	content, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	c.Assert(err, qt.IsNil)
	first, err := strconv.ParseInt(strings.Fields(string(content))[0], 10, 64)
	c.Assert(err, qt.IsNil)
	return first
}
