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

// addMethods registers the calls that peers can make to an agent.
func (a *Agent) addMethods(m *peer.Mux) {
	peer.Handle(m, peer.MethodReport, func(context.Context, peer.ReportRequest) (target.Report, error) {
		return *a.report.Load(), nil
	})
	peer.Handle(m, peer.MethodSettle, func(_ context.Context, r peer.AttemptRef) (peer.Settlement, error) {
		return process.Call(a.member.Loop(), func(now time.Time) peer.Settlement { return a.settle(r, now) }), nil
	})
	peer.Handle(m, peer.MethodConfirm, func(_ context.Context, r peer.AttemptRef) (peer.Empty, error) {
		a.member.Loop().Post(func(time.Time) { a.confirmDelivery(r) })
		return peer.Empty{}, nil
	})
	peer.Handle(m, peer.MethodClaims, func(_ context.Context, k peer.KeepClaims) (peer.Empty, error) {
		a.member.Loop().Post(func(now time.Time) {
			for _, e := range k.Claims {
				a.keptClaims.Add(e, now)
			}
		})
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

// settle returns the state of an attempt. It closes an attempt that has not
// arrived, so that the attempt never runs, no matter how late it arrives. If the
// reference requests it, settle cancels the attempt first.
func (a *Agent) settle(r peer.AttemptRef, now time.Time) peer.Settlement {
	if r.Incarnation != a.member.Incarnation() {
		return peer.Settlement{Progress: peer.Lost}
	}
	j := a.jobs[r.Attempt]
	if j == nil {
		return peer.Settlement{Progress: a.closeIfUnseen(r, now)}
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

// closeIfUnseen returns the state of an attempt that has no job: NeverSeen if it
// never ran, or Lost if its answer has been removed. It closes an attempt that has
// not arrived. If the attempt has a claim, it arrived and may have run, even if it
// is not recorded.
func (a *Agent) closeIfUnseen(r peer.AttemptRef, now time.Time) peer.Progress {
	c, found := a.closedAttempts[r.Attempt]
	if !found {
		c = closedAttempt{closedAt: now, mayHaveRun: r.Claimed}
		a.closedAttempts[r.Attempt] = c
	}
	if c.mayHaveRun {
		return peer.Lost
	}
	return peer.NeverSeen
}

// cancel refuses a job that is queued at the gate, or cancels a running one that
// has no idempotency key.
func (a *Agent) cancel(j *job, now time.Time) {
	switch {
	case j.phase == waiting:
		a.gate.Done(j.ticket)
		a.refuseQueued(j, refusal.Cancelled, now)
		a.dispatch(now)
	case j.phase == running && !j.isKeyed():
		j.cancelled.Store(true)
	}
}

// confirmDelivery records an entry's report that the caller has the whole answer.
func (a *Agent) confirmDelivery(r peer.AttemptRef) {
	if j := a.jobs[r.Attempt]; j != nil {
		j.answerUnneeded = true
	}
}

// isReady reports whether the agent accepts new work.
func (a *Agent) isReady() bool {
	r := a.report.Load()
	return r != nil && r.Refusing == ""
}

// status returns the status that peers and operators request.
func (a *Agent) status() peer.Status {
	return process.Call(a.member.Loop(), func(now time.Time) peer.Status {
		a.updateReport(now)
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

// dump is the state of the agent in the output of /dump.
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

// jobDump is one job in a dump.
type jobDump struct {
	Attempt string `yaml:"attempt"`
	Account string `yaml:"account"`
	Phase   string `yaml:"phase"`
	AgeMs   int64  `yaml:"age-ms"`
	Bytes   int64  `yaml:"bytes"`
	Keyed   bool   `yaml:"keyed"`
}

// dump returns the state of the agent as YAML.
func (a *Agent) dump() string {
	status := a.status()
	d := process.Call(a.member.Loop(), func(now time.Time) dump {
		out := dump{
			Status:   status,
			Leaving:  a.isLeaving,
			TargetUp: a.isTargetUp,
			Limit:    a.warmth.Limit(),
			Running:  a.gate.RunningUnits(),
			Waiting:  a.gate.QueuedRequests(),
			Kept:     a.keptBytes,
			Closed:   len(a.closedAttempts),
			Suspects: a.suspects.Len(),
		}
		for id, j := range a.jobs {
			bytes, _, _ := j.answer.State()
			out.Jobs = append(out.Jobs, jobDump{
				Attempt: id,
				Account: j.envelope.Account(),
				Phase:   string(j.phase),
				AgeMs:   now.Sub(j.arrivedAt).Milliseconds(),
				Bytes:   bytes,
				Keyed:   j.isKeyed(),
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
