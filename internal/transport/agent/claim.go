package agent

import (
	"encoding/json"
	"errors"
	"time"

	"bluebellcrank/internal/coordination/claim"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/process"
)

const (
	holderCallTimeout = 400 * time.Millisecond
	// claimReadDelay is the delay before each read of a claim record.
	claimReadDelay = 20 * time.Millisecond
	// minAbandonDelay and maxAbandonDelay bound the delay between attempts to mark a
	// claim as abandoned, which doubles each time.
	minAbandonDelay = 200 * time.Millisecond
	maxAbandonDelay = 5 * time.Second
)

// claim claims the idempotency key of a job, so that no other attempt with the key
// may run, or refuses the job. If another attempt holds the key and its answer is
// complete or in progress, claim returns that holder and true.
func (a *Agent) claim(j *job) (holder attempt.Holder, held bool) {
	if !a.guards.IsSettled(a.member.IsSettled()) {
		a.refuseClaim(j, refusal.PlatformDown, refusal.NotRun)
		return holder, false
	}
	c := claim.New(a.claimRecord(j), j.deadline)
	action, position := a.driveClaim(c, j)
	switch action {
	case claim.Run:
		j.hasClaim = true
		a.keepClaim(j, c.Own())
		if !a.guards.IsSettled(a.isInForce(position)) {
			a.refuseClaim(j, refusal.PlatformDown, refusal.NotRun)
			a.abandonIfClaimed(j)
		} else if !a.guards.IsInTime(c.MayRun(time.Now())) {
			a.refuseClaim(j, refusal.TimedOut, refusal.NotRun)
			a.abandonIfClaimed(j)
		}
		return holder, false
	case claim.Attach:
		f := c.Found()
		a.refuseClaim(j, refusal.AlreadyAttempted, refusal.Unknown)
		return attempt.NewHolder(f.Attempt, f.Incarnation, f.Traffic, f.Peer), true
	case claim.RefusePlatform:
		a.refuseClaim(j, refusal.PlatformDown, refusal.NotRun)
	case claim.RefuseLate:
		a.refuseClaim(j, refusal.TimedOut, refusal.NotRun)
	case claim.RefuseReused:
		a.refuseClaim(j, refusal.IdempotencyKeyReused, refusal.NotRun)
	default:
		a.refuseClaim(j, refusal.AlreadyAttempted, refusal.Unknown)
	}
	j.hasClaim = c.NeedsAbandon()
	a.abandonIfClaimed(j)
	return holder, false
}

// claimRecord returns the record that claims the job's key for this agent.
func (a *Agent) claimRecord(j *job) claim.Record {
	return claim.Record{
		Attempt:     j.envelope.Attempt(),
		Agent:       a.settings.Instance,
		Incarnation: a.member.Incarnation(),
		Peer:        a.member.Address(),
		Traffic:     a.traffic.Addr().String(),
		Digest:      j.requestDigest(),
		Time:        time.Now().UTC(),
	}
}

// driveClaim carries out the actions of a claim until it reaches a verdict, which it
// returns with the position of the record that it has written or read last.
func (a *Agent) driveClaim(c *claim.Claim, j *job) (claim.Action, platform.Position) {
	key := claim.Key(j.envelope.Service(), j.envelope.Account(), j.envelope.Key())
	action := c.Start(time.Now())
	var position platform.Position
	for {
		switch action {
		case claim.Create, claim.TakeOver:
			expected := platform.Absent
			if action == claim.TakeOver {
				expected = position
			}
			p, o := a.writeRecord(key, c.Own(), expected)
			position = p
			action = c.HandleWrite(o, time.Now())
		case claim.Read:
			time.Sleep(claimReadDelay)
			r, p, o := a.readRecord(key)
			position = p
			action = c.HandleRead(r, int64(p.Version), o, time.Now())
		case claim.AskHolder:
			action = c.HandleHolderState(a.queryHolder(c.Found()), time.Now())
		default:
			return action, position
		}
	}
}

// writeRecord stores a claim record in the platform if the stored one is at the expected
// position, and returns the new one.
func (a *Agent) writeRecord(key string, r claim.Record, expected platform.Position) (platform.Position, claim.Outcome) {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	p, err := a.member.Platform().Put(key, value, expected)
	return p, outcomeOf(err)
}

// readRecord returns a claim record from the platform, with its position.
func (a *Agent) readRecord(key string) (claim.Record, platform.Position, claim.Outcome) {
	var r claim.Record
	object, err := a.member.Platform().Get(key)
	if err == nil {
		err = json.Unmarshal(object.Value, &r)
	}
	return r, object.Position, outcomeOf(err)
}

func outcomeOf(err error) claim.Outcome {
	switch {
	case err == nil:
		return claim.Done
	case errors.Is(err, platform.ErrConflict):
		return claim.Conflict
	case errors.Is(err, platform.ErrNotFound):
		return claim.Missing
	}
	return claim.Unavailable
}

// queryHolder requests the state of an attempt from the agent that holds the key. It
// returns Lost if that agent does not respond.
func (a *Agent) queryHolder(r claim.Record) claim.HolderState {
	ref := peer.AttemptRef{Attempt: r.Attempt, Incarnation: r.Incarnation, Claimed: true}
	s, err := peer.CallFresh[peer.AttemptRef, peer.Settlement](a.member.Pool(), r.Peer, peer.MethodSettle, ref, holderCallTimeout)
	if err != nil {
		return claim.Lost
	}
	switch s.Progress {
	case peer.NeverSeen, peer.Refused:
		return claim.NeverRan
	case peer.Pending, peer.Finished:
		return claim.Answering
	}
	return claim.Lost
}

// refuseClaim refuses a granted job and waits until the refusal has been recorded.
func (a *Agent) refuseClaim(j *job, r refusal.Reason, e refusal.Effect) {
	process.Call(a.member.Loop(), func(now time.Time) struct{} {
		a.refuseGranted(j, refusal.Refusal{Reason: r, Effect: e}, now)
		return struct{}{}
	})
}

// abandonIfClaimed marks the claim of a job that will never run as abandoned. It
// does so in the background and retries until it succeeds or the agent stops.
func (a *Agent) abandonIfClaimed(j *job) {
	if !j.hasClaim {
		return
	}
	j.hasClaim = false
	a.member.Loop().Post(func(time.Time) { a.keptClaims.Remove(j.envelope.Attempt()) })
	go a.abandon(claim.Key(j.envelope.Service(), j.envelope.Account(), j.envelope.Key()), claim.NewAbandonment(a.claimRecord(j)))
}

// abandon carries out the actions of an abandonment until it is done.
func (a *Agent) abandon(key string, b *claim.Abandonment) {
	delay := minAbandonDelay
	action := b.Start()
	var found platform.Position
	for !a.isStopped() {
		switch action {
		case claim.AbandonCreate:
			_, o := a.writeRecord(key, b.Own(), platform.Absent)
			action = b.HandleWrite(o)
		case claim.AbandonRead:
			r, p, o := a.readRecord(key)
			found = p
			action = b.HandleRead(r, int64(p.Version), o)
		case claim.AbandonWrite:
			_, o := a.writeRecord(key, b.Own(), found)
			action = b.HandleWrite(o)
		case claim.AbandonDone:
			event.ClaimAbandoned.Log(a.log, "attempt", b.Own().Attempt)
			return
		case claim.AbandonWait:
			event.ClaimAbandonFailed.Log(a.log, "attempt", b.Own().Attempt)
			time.Sleep(delay)
			delay = min(2*delay, maxAbandonDelay)
			action = b.Start()
		}
	}
}

func (a *Agent) isStopped() bool {
	select {
	case <-a.stop:
		return true
	default:
		return false
	}
}
