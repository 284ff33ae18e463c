package operator

import (
	"context"
	"encoding/json"
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/member"
)

const (
	// toldPerCentre is how many processes of each data centre a push tells
	// itself, so that a platform outage right after it stops nothing.
	toldPerCentre = 2
	// askAtOnce bounds the questions that run side by side.
	askAtOnce = 64
	waitPause = 200 * time.Millisecond
)

// Fleet asks the processes on the platform's instance list.
type Fleet struct {
	instances []target.Instance
	pool      *peer.Pool
}

// NewFleet reads the instance list.
func NewFleet(client *platform.Client, timeout time.Duration) (*Fleet, error) {
	list, err := client.Instances()
	if err != nil {
		return nil, err
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return &Fleet{instances: list, pool: peer.NewPool(timeout)}, nil
}

// Close ends the connections.
func (f *Fleet) Close() { f.pool.Close() }

// StatusReply is one process's status, or the error of asking for it.
type StatusReply struct {
	instance target.Instance
	status   peer.Status
	err      error
}

// Instance returns the process's row of the instance list.
func (r StatusReply) Instance() target.Instance { return r.instance }

// Status returns what the process said.
func (r StatusReply) Status() peer.Status { return r.status }

// Err returns why the process said nothing.
func (r StatusReply) Err() error { return r.err }

// QueryStatuses asks every process for its status.
func (f *Fleet) QueryStatuses() []StatusReply {
	out := make([]StatusReply, len(f.instances))
	slots := make(chan struct{}, askAtOnce)
	var wg sync.WaitGroup
	for n, i := range f.instances {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			s, err := peer.Call[peer.Empty, peer.Status](f.pool, i.Peer, peer.MethodStatus, peer.Empty{})
			out[n] = StatusReply{instance: i, status: s, err: err}
			<-slots
		}()
	}
	wg.Wait()
	return out
}

// Dump returns the state of one process, by instance id.
func (f *Fleet) Dump(id string) (string, error) {
	for _, i := range f.instances {
		if i.ID == id {
			d, err := peer.Call[peer.Empty, peer.Dump](f.pool, i.Peer, peer.MethodDump, peer.Empty{})
			return d.YAML, err
		}
	}
	return "", &UnknownInstanceError{id: id}
}

// UnknownInstanceError names an instance that is not on the list.
type UnknownInstanceError struct{ id string }

// Error implements error.
func (e *UnknownInstanceError) Error() string {
	return "no instance " + e.id + " on the platform's list"
}

// AnnounceHead offers a head to some processes of each data centre and serves its
// files until they have had time to pull them.
func (f *Fleet) AnnounceHead(head config.Head, files []config.File) (stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := peer.NewMux()
	peer.Handle(mux, peer.MethodHead, func(context.Context, peer.Empty) (config.Head, error) { return head, nil })
	peer.Handle(mux, peer.MethodFiles, func(_ context.Context, r peer.FileRequest) (peer.FileReply, error) {
		return pick(files, r.Digests), nil
	})
	server := peer.Serve(l, mux, f.pool.Bytes())
	told := map[string]int{}
	for _, i := range f.instances {
		if told[i.DataCentre] >= toldPerCentre {
			continue
		}
		e := peer.Exchange{Instance: "push", Address: l.Addr().String(), Revision: head.Revision}
		if _, err := peer.Call[peer.Exchange, peer.Exchange](f.pool, i.Peer, peer.MethodExchange, e); err == nil {
			told[i.DataCentre]++
		}
	}
	return server.Close, nil
}

func pick(files []config.File, digests []string) peer.FileReply {
	var out peer.FileReply
	for _, d := range digests {
		for _, f := range files {
			if f.Digest() == d {
				out.Files = append(out.Files, f)
				break
			}
		}
	}
	return out
}

// WaitForRevision asks until every process holds the revision or the time is over,
// and returns those that do not.
func (f *Fleet) WaitForRevision(revision int64, wait time.Duration, now func() time.Time) []StatusReply {
	until := now().Add(wait)
	for {
		var behind []StatusReply
		for _, r := range f.QueryStatuses() {
			if r.err != nil || r.status.Revision < revision {
				behind = append(behind, r)
			}
		}
		if len(behind) == 0 || !now().Before(until) {
			return behind
		}
		time.Sleep(waitPause)
	}
}

// Len returns how many processes are on the list.
func (f *Fleet) Len() int { return len(f.instances) }

// ReadRefusals reads the saved refusals of the days since a time, oldest first,
// and how many the processes had to drop.
func ReadRefusals(client *platform.Client, since time.Time) (list []refusal.Refusal, dropped int, err error) {
	keys, err := client.List(member.RefusalPrefix)
	if err != nil {
		return nil, 0, err
	}
	first := member.RefusalPrefix + since.UTC().Format(time.DateOnly)
	most := map[string]int{}
	for _, k := range keys {
		if strings.Compare(k, first) < 0 {
			continue
		}
		o, err := client.Get(k)
		if err != nil {
			return nil, 0, err
		}
		var b refusal.Batch
		if err := json.Unmarshal(o.Value, &b); err != nil {
			return nil, 0, err
		}
		most[b.Process] = max(most[b.Process], b.Dropped)
		for _, r := range b.Refusals {
			if !r.Time.Before(since) {
				list = append(list, r)
			}
		}
	}
	for _, n := range most {
		dropped += n
	}
	list = lo.UniqBy(list, func(r refusal.Refusal) string { return r.ID })
	sort.Slice(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list, dropped, nil
}
