package entry

import (
	"sync"
	"time"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

// maxSuspectRecipients is the maximum number of peers to which a suspect is reported.
const maxSuspectRecipients = 32

// recordDeaths records that a target died while it ran a call, and reports the call as a
// suspect to peers. It waits for their replies, so that they know of the suspect before
// the caller gets a response and can retry.
func (e *Entry) recordDeaths(c *call, deaths int) {
	if deaths == 0 {
		return
	}
	total := process.Call(e.member.Loop(), func(now time.Time) int {
		n := e.suspects.RecordDeath(c.fingerprint, now)
		e.suspectCount.Store(int64(e.suspects.Len()))
		return n
	})
	c.isSuspect = true
	s := peer.Suspect{Fingerprint: c.fingerprint, Deaths: total}
	var wg sync.WaitGroup
	for n, i := range e.suspectRecipients(c.service.Name()) {
		if n >= maxSuspectRecipients {
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

// suspectRecipients returns the other entries, followed by the agents of a service.
func (e *Entry) suspectRecipients(service string) []target.Instance {
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
