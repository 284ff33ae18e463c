package entry

import (
	"sync"
	"time"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

// suspectPeers is how many peers hear of a suspect before its caller does.
const suspectPeers = 32

// recordDeaths remembers that targets died while they ran a call, and tells
// the other processes before the caller can send it again.
func (e *Entry) recordDeaths(c *call, deaths int) {
	if deaths == 0 {
		return
	}
	total := process.Call(e.member.Loop(), func(now time.Time) int {
		n := e.suspects.RecordDeath(c.fingerprint, now)
		e.suspect.Store(int64(e.suspects.Len()))
		return n
	})
	c.suspect = true
	s := peer.Suspect{Fingerprint: c.fingerprint, Deaths: total}
	var wg sync.WaitGroup
	for n, i := range e.othersOf(c.service.Name()) {
		if n >= suspectPeers {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = peer.Call[peer.Suspect, peer.Empty](e.member.Pool(), i.Peer, peer.MethodSuspect, s)
		}()
	}
	wg.Wait()
}

// othersOf are the entries, and then the agents of a service.
func (e *Entry) othersOf(service string) []target.Instance {
	var entries, agents []target.Instance
	for _, i := range e.member.Instances() {
		switch {
		case i.ID == e.settings.Instance:
		case i.Role == target.Entry:
			entries = append(entries, i)
		case i.Service == service:
			agents = append(agents, i)
		}
	}
	return append(entries, agents...)
}
