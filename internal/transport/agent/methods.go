package agent

import (
	"context"
	"time"

	"github.com/goccy/go-yaml"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/rankgroup"
)

// methods adds what peers can ask an agent.
func (a *Agent) methods(m *peer.Mux) {
	peer.Handle(m, peer.MethodReport, func(context.Context, peer.ReportRequest) (target.Report, error) {
		return *a.report.Load(), nil
	})
	peer.Handle(m, peer.MethodSettle, func(_ context.Context, r peer.AttemptRef) (peer.Settlement, error) {
		return process.Call(a.member.Loop(), func(now time.Time) peer.Settlement { return a.settle(r, now) }), nil
	})
	peer.Handle(m, peer.MethodConfirm, func(_ context.Context, r peer.AttemptRef) (peer.Empty, error) {
		a.member.Loop().Post(func(time.Time) { a.confirm(r) })
		return peer.Empty{}, nil
	})
	if a.settings.Ranks.Group != "" {
		peer.Handle(m, rankgroup.Method, func(ctx context.Context, c rankgroup.Call) (rankgroup.Reply, error) {
			return a.group.HandleCall(ctx, c)
		})
	}
	peer.Handle(m, peer.MethodSuspect, func(_ context.Context, s peer.Suspect) (peer.Empty, error) {
		a.member.Loop().Post(func(now time.Time) {
			a.suspects.MergeReport(s.Fingerprint, s.Deaths, time.Duration(s.AgeMs)*time.Millisecond, now)
		})
		return peer.Empty{}, nil
	})
}

// settle says how far an attempt is. One that was never seen is closed: from
// this answer on it never runs, however late its request arrives.
func (a *Agent) settle(r peer.AttemptRef, now time.Time) peer.Settlement {
	if r.Incarnation != a.member.Incarnation() {
		return peer.Settlement{Progress: peer.Lost}
	}
	j := a.jobs[r.Attempt]
	if j == nil {
		return peer.Settlement{Progress: a.closeUnseen(r, now)}
	}
	if r.Cancel {
		a.cancel(j, now)
	}
	bytes, finished, err := j.answer.State()
	s := peer.Settlement{Progress: peer.Pending, Bytes: bytes, Deaths: j.deaths}
	switch {
	case j.phase == refused && j.refusal.Effect == refusal.NotRun:
		s.Progress = peer.Refused
	case finished && err != nil:
		s.Progress = peer.Failed
	case finished:
		s.Progress = peer.Finished
	}
	return s
}

// closeUnseen tells an attempt that never came from one whose answer is gone.
func (a *Agent) closeUnseen(r peer.AttemptRef, now time.Time) peer.Progress {
	c, found := a.closed[r.Attempt]
	if !found {
		c = closedAttempt{at: now, ran: r.Claimed}
		a.closed[r.Attempt] = c
	}
	if c.ran {
		return peer.Lost
	}
	return peer.NeverSeen
}

// cancel ends a job that waits, or an idempotent one that runs.
func (a *Agent) cancel(j *job, now time.Time) {
	switch {
	case j.phase == waiting:
		a.gate.Done(j.ticket)
		a.deny(j, refusal.Cancelled, now)
		a.next(now)
	case j.phase == running && !j.keyed():
		j.cancelled.Store(true)
	}
}

// confirm takes an entry's word that the caller has the whole answer.
func (a *Agent) confirm(r peer.AttemptRef) {
	if j := a.jobs[r.Attempt]; j != nil {
		j.done = true
	}
}

func (a *Agent) ready() bool {
	r := a.report.Load()
	return r != nil && r.Refusing == ""
}

func (a *Agent) status() peer.Status {
	return process.Call(a.member.Loop(), func(now time.Time) peer.Status {
		a.publish(now)
		s := peer.Status{
			Instance:   a.settings.Instance,
			Role:       target.Agent,
			DataCentre: a.settings.DataCentre,
			Revision:   a.member.Revision(),
			Report:     a.report.Load(),
		}
		s.Ready = s.Report.Refusing == ""
		s.Pending, s.Dropped, s.Kept = a.member.RefusalCounts()
		return s
	})
}

// dump is the agent's state as operators see it.
type dump struct {
	Status   peer.Status `yaml:"status"`
	Leaving  bool        `yaml:"leaving"`
	TargetUp bool        `yaml:"target-up"`
	Limit    int         `yaml:"limit"`
	Running  int         `yaml:"running"`
	Waiting  int         `yaml:"waiting"`
	Kept     int         `yaml:"kept-bytes"`
	Closed   int         `yaml:"closed-attempts"`
	Suspects int         `yaml:"suspects"`
	Jobs     []jobDump   `yaml:"attempts"`
}

// jobDump is one attempt in a dump.
type jobDump struct {
	Attempt string `yaml:"attempt"`
	Account string `yaml:"account"`
	Phase   string `yaml:"phase"`
	AgeMs   int64  `yaml:"age-ms"`
	Bytes   int64  `yaml:"bytes"`
	Keyed   bool   `yaml:"keyed"`
}

func (a *Agent) dump() string {
	status := a.status()
	d := process.Call(a.member.Loop(), func(now time.Time) dump {
		out := dump{
			Status:   status,
			Leaving:  a.leaving,
			TargetUp: a.targetUp,
			Limit:    a.warmth.Limit(),
			Running:  a.gate.RunningUnits(),
			Waiting:  a.gate.QueuedRequests(),
			Kept:     a.kept,
			Closed:   len(a.closed),
			Suspects: a.suspects.Len(),
		}
		for id, j := range a.jobs {
			bytes, _, _ := j.answer.State()
			out.Jobs = append(out.Jobs, jobDump{
				Attempt: id,
				Account: j.envelope.Account(),
				Phase:   string(j.phase),
				AgeMs:   now.Sub(j.arrived).Milliseconds(),
				Bytes:   bytes,
				Keyed:   j.keyed(),
			})
		}
		return out
	})
	text, err := yaml.Marshal(d)
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	return string(text)
}
