package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/claim"
	"bluebellcrank/internal/coordination/revision"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

const (
	// rewriteWorkers is the number of claims that are written again at once.
	rewriteWorkers = 8
	// rewriteDelay is the delay before a claim is written once more.
	rewriteDelay = 200 * time.Millisecond
	// claimCopyInterval is the time between two copies of new claims to another agent.
	claimCopyInterval = 100 * time.Millisecond
)

// keepClaim keeps the claim of a job, to write it again if the platform loses it.
func (a *Agent) keepClaim(j *job, r claim.Record) {
	e := claim.Entry{Key: claim.Key(j.envelope.Service(), j.envelope.Account(), j.envelope.Key()), Record: r}
	a.member.Loop().Post(func(now time.Time) {
		a.keptClaims.Add(e, now)
		a.newClaims = append(a.newClaims, e)
	})
}

// copyNewClaims copies the claims since the last copy to another agent, so that they are
// written again even if this one has died or is paused when the platform loses them.
func (a *Agent) copyNewClaims(time.Time) {
	claims := process.Call(a.member.Loop(), func(time.Time) []claim.Entry {
		out := a.newClaims
		a.newClaims = nil
		return out
	})
	if len(claims) == 0 {
		return
	}
	agents := lo.Filter(a.member.Instances(), func(i target.Instance, _ int) bool { return i.Role == target.Agent })
	if i, found := revision.BackupPeer(a.settings.Instance, agents); found {
		_ = peer.Notify(a.member.Pool(), i.Peer, peer.MethodClaims, peer.KeepClaims{Claims: claims})
	}
}

// isInForce reports whether a claim at a position may be relied on. It must be called
// after keepClaim, so that a later restore finds the claim.
func (a *Agent) isInForce(p platform.Position) bool {
	generation, _ := a.member.Platform().Generation()
	return p.Generation == generation && a.member.IsSettled()
}

// rewriteClaims writes the kept claims again in the background.
func (a *Agent) rewriteClaims() {
	entries := process.Call(a.member.Loop(), func(time.Time) []claim.Entry { return a.keptClaims.Entries() })
	if len(entries) == 0 {
		return
	}
	queue := make(chan claim.Entry, len(entries))
	for _, e := range entries {
		queue <- e
	}
	close(queue)
	var done sync.WaitGroup
	var lost atomic.Int64
	for range rewriteWorkers {
		done.Add(1)
		go func() {
			defer done.Done()
			for e := range queue {
				if !a.rewriteClaim(e) {
					lost.Add(1)
				}
			}
		}()
	}
	go func() {
		done.Wait()
		event.ClaimsRewritten.Log(a.log, "count", len(entries), "lost", lost.Load())
	}()
}

// rewriteClaim carries out the actions of a rewrite until it is done, and reports whether
// the platform has the claim.
func (a *Agent) rewriteClaim(e claim.Entry) bool {
	w := claim.NewRewrite(e.Record)
	action := w.Start()
	var found platform.Position
	var holder claim.Record
	for !a.isStopped() {
		switch action {
		case claim.RewriteCreate, claim.RewriteReplace:
			expected := platform.Absent
			if action == claim.RewriteReplace {
				expected = found
			}
			_, o := a.writeRecord(e.Key, w.Own(), expected)
			action = w.HandleWrite(o)
		case claim.RewriteRead:
			r, p, o := a.readRecord(e.Key)
			found, holder = p, r
			action = w.HandleRead(r, o)
		case claim.RewriteAsk:
			action = w.HandleHolderState(a.queryHolder(holder))
		case claim.RewriteWait:
			time.Sleep(rewriteDelay)
			action = w.Start()
		case claim.RewriteLost:
			event.ClaimHeldByAnother.Log(a.log, "attempt", e.Record.Attempt)
			return false
		default:
			return true
		}
	}
	return false
}
