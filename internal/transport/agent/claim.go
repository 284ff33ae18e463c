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
	holderTimeout = 400 * time.Millisecond
	claimPause    = 20 * time.Millisecond
	abandonPause  = 200 * time.Millisecond
	abandonMost   = 5 * time.Second
)

// claim makes a keyed job the only one that may run, or refuses it. Where
// another attempt holds the key and has an answer, held names it.
func (a *Agent) claim(j *job) (holder attempt.Holder, held bool) {
	c := claim.New(a.record(j), j.deadline)
	action := a.driveClaim(c, j)
	switch action {
	case claim.Run:
		j.claimed = true
		if !a.guards.IsInTime(c.MayRun(time.Now())) {
			a.rejectClaim(j, refusal.TimedOut, refusal.NotRun)
			a.abandonIfClaimed(j)
		}
		return holder, false
	case claim.Attach:
		f := c.Found()
		a.rejectClaim(j, refusal.AlreadyAttempted, refusal.Unknown)
		return attempt.NewHolder(f.Attempt, f.Incarnation, f.Traffic, f.Peer), true
	case claim.RefusePlatform:
		a.rejectClaim(j, refusal.PlatformDown, refusal.NotRun)
	case claim.RefuseLate:
		a.rejectClaim(j, refusal.TimedOut, refusal.NotRun)
	case claim.RefuseReused:
		a.rejectClaim(j, refusal.IdempotencyKeyReused, refusal.NotRun)
	default:
		a.rejectClaim(j, refusal.AlreadyAttempted, refusal.Unknown)
	}
	j.claimed = c.NeedsAbandon()
	a.abandonIfClaimed(j)
	return holder, false
}

func (a *Agent) record(j *job) claim.Record {
	return claim.Record{
		Attempt:     j.envelope.Attempt(),
		Agent:       a.settings.Instance,
		Incarnation: a.member.Incarnation(),
		Peer:        a.member.Address(),
		Traffic:     a.traffic.Addr().String(),
		Digest:      j.digest(),
		Time:        time.Now().UTC(),
	}
}

// driveClaim carries out the claim's actions until a verdict.
func (a *Agent) driveClaim(c *claim.Claim, j *job) claim.Action {
	key := claim.Key(j.envelope.Service(), j.envelope.Account(), j.envelope.Key())
	action := c.Start(time.Now())
	for {
		switch action {
		case claim.Create:
			action = c.HandleWrite(a.write(key, c.Own(), platform.Absent), time.Now())
		case claim.TakeOver:
			action = c.HandleWrite(a.write(key, c.Own(), platform.Version(c.Version())), time.Now())
		case claim.Read:
			time.Sleep(claimPause)
			r, v, o := a.read(key)
			action = c.HandleRead(r, v, o, time.Now())
		case claim.AskHolder:
			action = c.HandleHolderState(a.askHolder(c.Found()), time.Now())
		default:
			return action
		}
	}
}

func (a *Agent) write(key string, r claim.Record, v platform.Version) claim.Outcome {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	_, err = a.member.Platform().Put(key, value, v)
	return outcome(err)
}

func (a *Agent) read(key string) (claim.Record, int64, claim.Outcome) {
	var r claim.Record
	o, err := a.member.Platform().Get(key)
	if err == nil {
		err = json.Unmarshal(o.Value, &r)
	}
	return r, int64(o.Version), outcome(err)
}

func outcome(err error) claim.Outcome {
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

// askHolder asks the agent that holds the key how far its attempt is.
func (a *Agent) askHolder(r claim.Record) claim.HolderState {
	ref := peer.AttemptRef{Attempt: r.Attempt, Incarnation: r.Incarnation, Claimed: true}
	s, err := peer.CallFresh[peer.AttemptRef, peer.Settlement](a.member.Pool(), r.Peer, peer.MethodSettle, ref, holderTimeout)
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

func (a *Agent) rejectClaim(j *job, r refusal.Reason, e refusal.Effect) {
	process.Call(a.member.Loop(), func(now time.Time) struct{} {
		a.reject(j, refusal.Refusal{Reason: r, Effect: e}, now)
		return struct{}{}
	})
}

// abandonIfClaimed marks the record of a job that will never run, for as
// long as that takes.
func (a *Agent) abandonIfClaimed(j *job) {
	if !j.claimed {
		return
	}
	j.claimed = false
	go a.abandon(claim.Key(j.envelope.Service(), j.envelope.Account(), j.envelope.Key()), claim.NewAbandonment(a.record(j)))
}

func (a *Agent) abandon(key string, b *claim.Abandonment) {
	pause := abandonPause
	action := b.Start()
	for !a.stopped() {
		switch action {
		case claim.AbandonCreate:
			action = b.HandleWrite(a.write(key, b.Own(), platform.Absent))
		case claim.AbandonRead:
			r, v, o := a.read(key)
			action = b.HandleRead(r, v, o)
		case claim.AbandonWrite:
			action = b.HandleWrite(a.write(key, b.Own(), platform.Version(b.Version())))
		case claim.AbandonDone:
			event.ClaimAbandoned.Log(a.log, "attempt", b.Own().Attempt)
			return
		case claim.AbandonWait:
			event.ClaimAbandonFailed.Log(a.log, "attempt", b.Own().Attempt)
			time.Sleep(pause)
			pause = min(2*pause, abandonMost)
			action = b.Start()
		}
	}
}

func (a *Agent) stopped() bool {
	select {
	case <-a.stop:
		return true
	default:
		return false
	}
}
