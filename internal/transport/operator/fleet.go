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
	// announcementsPerDataCentre is the number of processes in each data centre to
	// which a push sends the new head directly, so that the revision spreads even if
	// the platform fails right after the push.
	announcementsPerDataCentre = 2
	// maxConcurrentQueries is the maximum number of concurrent status queries.
	maxConcurrentQueries = 64
	pollInterval         = 200 * time.Millisecond
)

// Fleet queries the processes on the platform's instance list. The list is read once.
type Fleet struct {
	instances []target.Instance
	invalid   []error
	pool      *peer.Pool
}

// NewFleet reads the instance list from the platform. The timeout applies to each
// call to a process.
func NewFleet(client *platform.Client, timeout time.Duration) (*Fleet, error) {
	list, err := client.Instances("")
	if err != nil {
		return nil, err
	}
	instances := list.Instances
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	return &Fleet{instances: instances, invalid: list.Invalid, pool: peer.NewPool(timeout)}, nil
}

// InvalidInstances returns one error for each element of the instance list that describes
// no process.
func (f *Fleet) InvalidInstances() []error { return f.invalid }

// Close closes the connections to the processes.
func (f *Fleet) Close() { f.pool.Close() }

// StatusReply is the status of one process, or the error of the query.
type StatusReply struct {
	instance target.Instance
	status   peer.Status
	err      error
}

// Instance returns the process's entry in the instance list.
func (r StatusReply) Instance() target.Instance { return r.instance }

// Status returns the reported status. It is zero if Err is not nil.
func (r StatusReply) Status() peer.Status { return r.status }

// Err returns the error if the process did not report its status.
func (r StatusReply) Err() error { return r.err }

// QueryStatuses queries the status of every process. The replies are sorted by
// instance ID.
func (f *Fleet) QueryStatuses() []StatusReply {
	replies := make([]StatusReply, len(f.instances))
	slots := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for n, instance := range f.instances {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			status, err := peer.Call[peer.Empty, peer.Status](f.pool, instance.Peer, peer.MethodStatus, peer.Empty{})
			replies[n] = StatusReply{instance: instance, status: status, err: err}
			<-slots
		}()
	}
	wg.Wait()
	return replies
}

// Dump returns the internal state of the process with an instance ID, as YAML.
func (f *Fleet) Dump(id string) (string, error) {
	for _, instance := range f.instances {
		if instance.ID == id {
			dump, err := peer.Call[peer.Empty, peer.Dump](f.pool, instance.Peer, peer.MethodDump, peer.Empty{})
			return dump.YAML, err
		}
	}
	return "", &UnknownInstanceError{id: id}
}

// UnknownInstanceError reports an instance ID that is not on the instance list.
type UnknownInstanceError struct{ id string }

// Error implements error.
func (e *UnknownInstanceError) Error() string {
	return "instance " + e.id + " is not on the platform's instance list"
}

// AnnounceHead announces a head to some processes in each data centre and serves its
// files to them until stop is called.
func (f *Fleet) AnnounceHead(head config.Head, files []config.File) (stop func(), err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(f.localAddress(), "0"))
	if err != nil {
		return nil, err
	}
	mux := peer.NewMux()
	peer.Handle(mux, peer.MethodHead, func(context.Context, peer.Empty) (config.Head, error) { return head, nil })
	peer.Handle(mux, peer.MethodFiles, func(_ context.Context, r peer.FileRequest) (peer.FileReply, error) {
		return filesByDigest(files, r.Digests), nil
	})
	server := peer.Serve(listener, mux, f.pool.Bytes())
	announced := map[string]int{}
	for _, instance := range f.instances {
		if announced[instance.DataCentre] >= announcementsPerDataCentre {
			continue
		}
		exchange := peer.Exchange{Instance: "push", Address: listener.Addr().String(), Revision: head.Revision}
		if _, err := peer.Call[peer.Exchange, peer.Exchange](f.pool, instance.Peer, peer.MethodExchange, exchange); err == nil {
			announced[instance.DataCentre]++
		}
	}
	return server.Close, nil
}

// localAddress returns the IP address from which this machine reaches the processes,
// and at which they reach it. No packet is sent to find it out.
func (f *Fleet) localAddress() string {
	for _, instance := range f.instances {
		conn, err := net.Dial("udp", instance.Peer)
		if err != nil {
			continue
		}
		address := conn.LocalAddr().(*net.UDPAddr).IP.String()
		_ = conn.Close()
		return address
	}
	return "127.0.0.1"
}

// filesByDigest returns the files with the requested digests. Unknown digests are
// skipped.
func filesByDigest(files []config.File, digests []string) peer.FileReply {
	var reply peer.FileReply
	for _, digest := range digests {
		for _, f := range files {
			if f.Digest() == digest {
				reply.Files = append(reply.Files, f)
				break
			}
		}
	}
	return reply
}

// WaitForRevision queries the processes until all of them hold at least the revision
// or the timeout has passed. It returns the replies of the processes that do not hold
// it or did not respond.
func (f *Fleet) WaitForRevision(revision int64, timeout time.Duration, now func() time.Time) []StatusReply {
	deadline := now().Add(timeout)
	for {
		var behind []StatusReply
		for _, r := range f.QueryStatuses() {
			if r.err != nil || r.status.Revision < revision {
				behind = append(behind, r)
			}
		}
		if len(behind) == 0 || !now().Before(deadline) {
			return behind
		}
		time.Sleep(pollInterval)
	}
}

// Len returns the number of processes on the instance list.
func (f *Fleet) Len() int { return len(f.instances) }

// ReadRefusals returns the refusals since a time that are saved on the platform,
// oldest first, and the number of refusals that the processes dropped because their
// buffers were full.
func ReadRefusals(client *platform.Client, since time.Time) (list []refusal.Refusal, dropped int, err error) {
	keys, err := client.List(member.RefusalPrefix)
	if err != nil {
		return nil, 0, err
	}
	firstKey := member.RefusalPrefix + since.UTC().Format(time.DateOnly)
	droppedByProcess := map[string]int{}
	for _, key := range keys {
		if strings.Compare(key, firstKey) < 0 {
			continue
		}
		object, err := client.Get(key)
		if err != nil {
			return nil, 0, err
		}
		var batch refusal.Batch
		if err := json.Unmarshal(object.Value, &batch); err != nil {
			return nil, 0, err
		}
		droppedByProcess[batch.Process] = max(droppedByProcess[batch.Process], batch.Dropped)
		for _, r := range batch.Refusals {
			if !r.Time.Before(since) {
				list = append(list, r)
			}
		}
	}
	for _, n := range droppedByProcess {
		dropped += n
	}
	list = lo.UniqBy(list, func(r refusal.Refusal) string { return r.ID })
	sort.Slice(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list, dropped, nil
}
