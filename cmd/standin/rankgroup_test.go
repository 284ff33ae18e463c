package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	groupRankCount     = 4
	groupFaultCount    = 6
	decideIntervalFlag = "--decide-interval=200ms"
	leasePeriodFlag    = "--lease-period=3s"
	pausePeriod        = 4 * time.Second // longer than the lease period
)

// readStepLog returns the last step of a group, the maps that its ranks used, and
// the mismatches: steps in which ranks used different maps, or a map that was
// not loaded.
func readStepLog(f *fleet, group string) (steps int64, maps map[int64]bool, mismatches []string) {
	content, _ := os.ReadFile(f.runLogPath(group))
	used := map[int64]int64{}
	maps = map[int64]bool{}
	for _, line := range bytes.Split(bytes.TrimSpace(content), []byte("\n")) {
		var s rankStep
		if json.Unmarshal(line, &s) != nil {
			continue
		}
		steps = max(steps, s.Step)
		maps[s.Map] = true
		if first, found := used[s.Step]; s.Map == 0 || found && first != s.Map {
			mismatches = append(mismatches, fmt.Sprintf("step %d: rank %d used map %d, another rank map %d", s.Step, s.Rank, s.Map, first))
		}
		used[s.Step] = s.Map
	}
	return steps, maps, mismatches
}

// groupFleet starts a rank group with its agents and waits for the first change
// of the expert map.
func groupFleet(t *testing.T) *fleet {
	f := testFleet(t)
	f.useRelays = true
	must(t, f.addRankGroup("flags", groupRankCount, "east", decideIntervalFlag, leasePeriodFlag), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, waitFor(func() bool { _, maps, _ := readStepLog(f, "flags"); return len(maps) > 1 }, "the first map change"))
	return f
}

// injectGroupFault injects one random fault into the agents of a group, or into
// the platform.
func injectGroupFault(t *testing.T, f *fleet, rnd *rand.Rand) {
	id := fmt.Sprintf("flags-%d", rnd.IntN(groupRankCount))
	switch rnd.IntN(5) {
	case 4:
		t.Logf("silence the open connections to %s", id)
		for range 20 {
			must(t, f.postJSON("http://"+f.relayControls["relay-peer-"+id]+"/silence", nil))
			time.Sleep(20 * time.Millisecond)
		}
	case 0:
		t.Logf("kill agent %s", id)
		f.proc(id).kill()
		must(t, f.startRank(f.instance(id), groupRankCount, decideIntervalFlag, leasePeriodFlag))
	case 1:
		t.Logf("pause agent %s longer than the lease period", id)
		f.proc(id).signal(syscall.SIGSTOP)
		time.Sleep(pausePeriod)
		f.proc(id).signal(syscall.SIGCONT)
	case 2:
		t.Logf("kill agents %s and flags-0", id)
		f.proc(id).kill()
		if id != "flags-0" {
			f.proc("flags-0").kill()
			must(t, f.startRank(f.instance("flags-0"), groupRankCount, decideIntervalFlag, leasePeriodFlag))
		}
		must(t, f.startRank(f.instance(id), groupRankCount, decideIntervalFlag, leasePeriodFlag))
	case 3:
		t.Log("platform down")
		must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{Down: true}))
		time.Sleep(faultPeriod)
		must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{}))
	}
}

// TestProveOneMap checks that under faults all ranks use the same map in each
// step, and that steps and map changes go on after the faults.
func TestProveOneMap(t *testing.T) {
	for _, seed := range seeds(1) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			f := groupFleet(t)
			rnd := rand.New(rand.NewPCG(seed, 11))
			for range groupFaultCount {
				time.Sleep(time.Duration(rnd.Int64N(int64(time.Second))))
				injectGroupFault(t, f, rnd)
			}
			before, mapsBefore, _ := readStepLog(f, "flags")
			must(t, waitFor(func() bool {
				steps, maps, _ := readStepLog(f, "flags")
				return steps > before+50 && len(maps) > len(mapsBefore)
			}, "steps and another map change after the faults"))
			steps, maps, mismatches := readStepLog(f, "flags")
			c.Check(mismatches, qt.HasLen, 0)
			t.Logf("seed %d: %d steps, %d maps", seed, steps, len(maps))
		})
	}
}
