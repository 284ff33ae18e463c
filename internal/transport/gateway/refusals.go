package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
)

const (
	// pathRefusals accepts what another entry has refused.
	pathRefusals = "/refusals"
	// refusalInterval is the shortest time between two messages to one entry. Callers are
	// told to retry after 300 ms or more.
	refusalInterval = 200 * time.Millisecond
	// maxRefusalReports bounds the refusals of a message, and those that wait for the next
	// one: 5,120 a second. A report takes 52 bytes at most.
	maxRefusalReports = 1024
	// maxRefusalBytes bounds a message.
	maxRefusalBytes = 64 << 10
	// droppedLogsPerSecond bounds the log lines about messages that are dropped.
	droppedLogsPerSecond = 2
)

// refusalMessage reports the refusals of its sender to another entry.
type refusalMessage struct {
	Entry    string                `json:"entry"`
	Refusals []retry.RefusalReport `json:"refusals"`
}

// refusedRequest is a refusal that has not been sent to other entries. The time is a boot
// time.
type refusedRequest struct {
	fingerprint  uint64
	firstAttempt time.Duration
}

// refusalList is what this entry knows of the requests that the entries of its data centre
// have refused. Its times are boot times, which go on while the instance is suspended. It
// is safe for concurrent use.
type refusalList struct {
	self    string
	peers   *entryPeers
	metrics *entryMetrics
	log     hclog.Logger
	// changed receives a value when there are refusals to send.
	changed chan struct{}
	// logLimit limits the log lines about messages that are dropped.
	logLimit *rate.Limiter

	mu       sync.Mutex
	refusals *retry.Refusals
	// unsent are this entry's own refusals that the next message has, and omitted is the
	// number of those that exceed it.
	unsent  []refusedRequest
	omitted int
	// failing has the names of the entries that the last message did not reach.
	failing map[string]bool
}

func newRefusalList(self string, peers *entryPeers, m *entryMetrics, log hclog.Logger) *refusalList {
	return &refusalList{
		self: self, peers: peers, metrics: m, log: log,
		changed:  make(chan struct{}, 1),
		logLimit: rate.NewLimiter(droppedLogsPerSecond, droppedLogsPerSecond),
		refusals: retry.NewRefusals(retry.DefaultMaxRefusals),
		failing:  map[string]bool{},
	}
}

// bootClock converts a boot time to the clock of the record of refusals.
func bootClock(sinceBoot time.Duration) time.Time { return time.Unix(0, int64(sinceBoot)) }

// record records a refusal of this entry and schedules its report to the other entries.
func (l *refusalList) record(fingerprint uint64, firstAttempt, now time.Duration) {
	l.metrics.refusalsRecorded.Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals.Record(fingerprint, bootClock(firstAttempt), l.self, bootClock(now))
	if len(l.unsent) >= maxRefusalReports {
		l.omitted++
		l.metrics.refusalsNotSent.Inc()
		return
	}
	l.unsent = append(l.unsent, refusedRequest{fingerprint: fingerprint, firstAttempt: firstAttempt})
	select {
	case l.changed <- struct{}{}:
	default: // the next message has it
	}
}

// takeReturn returns the refusal of a request that arrives, with the time since its first
// attempt, and removes it. A refusal whose first attempt is older than maxAge is not
// returned, since its caller has no time left, nor is one whose first attempt came later.
func (l *refusalList) takeReturn(fingerprint uint64, maxAge, arrivedAt time.Duration) (refusedBy string, age time.Duration, found bool) {
	now := bootClock(arrivedAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := l.refusals.Lookup(fingerprint, now)
	age = now.Sub(r.FirstAttempt)
	if !found || age < 0 || age > maxAge {
		return "", 0, false
	}
	l.refusals.Remove(fingerprint)
	return r.Entry, age, true
}

// count returns the number of refusals that are known.
func (l *refusalList) count(now time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals.Len(bootClock(now))
}

// takeUnsent returns the refusals for the next message.
func (l *refusalList) takeUnsent() []refusedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.omitted > 0 {
		event.RefusalsNotSent.Log(l.log, "omitted", l.omitted)
	}
	batch := l.unsent
	l.unsent, l.omitted = nil, 0
	return batch
}

// notifyPeers reports new refusals to the other entries of the data centre. A message
// that is lost is not repeated: its callers are then recognized by their deadline only.
func (l *refusalList) notifyPeers(ctx context.Context) {
	for {
		select {
		case <-l.changed:
		case <-ctx.Done():
			return
		}
		next := time.After(refusalInterval)
		l.sendAll(ctx, l.takeUnsent(), l.peers.inDataCentre())
		select {
		case <-next:
		case <-ctx.Done():
			return
		}
	}
}

// sendAll sends a batch to other entries at once and waits until each has answered or its
// call has timed out, so that no entry is sent two messages at a time.
func (l *refusalList) sendAll(ctx context.Context, batch []refusedRequest, peers map[string]string) {
	var calls sync.WaitGroup
	for name, address := range peers {
		calls.Go(func() {
			err := l.peers.send(ctx, "http://"+address+pathRefusals, func() ([]byte, error) {
				return l.encode(batch, process.BootTime())
			})
			if ctx.Err() == nil {
				l.recordCall(name, err)
			}
		})
	}
	calls.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = lo.PickBy(l.failing, func(name string, _ bool) bool { return peers[name] != "" })
}

// encode returns the message that has a batch.
func (l *refusalList) encode(batch []refusedRequest, now time.Duration) ([]byte, error) {
	m := refusalMessage{Entry: l.self, Refusals: make([]retry.RefusalReport, 0, len(batch))}
	for _, r := range batch {
		if age := now - r.firstAttempt; age <= retry.MaxRefusalAge {
			m.Refusals = append(m.Refusals, retry.RefusalReport{Fingerprint: r.fingerprint, AgeMs: max(age, 0).Milliseconds()})
		}
	}
	return json.Marshal(m)
}

// recordCall counts a message. The first of several that do not reach an entry is logged.
func (l *refusalList) recordCall(peer string, err error) {
	l.mu.Lock()
	isNew := err != nil && !l.failing[peer]
	if l.failing[peer] = err != nil; err == nil {
		delete(l.failing, peer)
	}
	l.mu.Unlock()
	if err == nil {
		l.metrics.refusalMessagesSent.Inc()
		return
	}
	l.metrics.refusalMessagesLost.Inc()
	if isNew {
		event.RefusalsNotSent.Log(l.log, "entry", peer, "error", err.Error())
	}
}

// serveMessage accepts a message of another entry. One that is not valid is logged and
// dropped as a whole.
func (l *refusalList) serveMessage(w http.ResponseWriter, r *http.Request) {
	if err := l.receive(w, r); err != nil {
		l.metrics.refusalMessagesDropped.Inc()
		if l.logLimit.Allow() {
			event.RefusalMessageDropped.Log(l.log, "from", r.RemoteAddr, "error", err.Error())
		}
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// receive reads and records a message. The ages in it were measured after the sender was
// told to continue, so that the time of the read bounds their error, even if a process was
// suspended meanwhile.
func (l *refusalList) receive(w http.ResponseWriter, r *http.Request) error {
	if r.Method != http.MethodPost || r.Header.Get("Expect") == "" {
		return errors.New("no POST that waits for 100 Continue")
	}
	asked := process.BootTime()
	content, err := readBefore(w, r, time.Now().Add(maxPeerRoundTrip), func(body io.ReadCloser) ([]byte, error) {
		return io.ReadAll(http.MaxBytesReader(w, body, maxRefusalBytes))
	})
	now := process.BootTime()
	if err != nil {
		return err
	}
	if transit := now - asked; transit > maxPeerRoundTrip {
		return fmt.Errorf("it came after %s", transit)
	}
	var m refusalMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return err
	}
	if _, isKnown := l.peers.inDataCentre()[m.Entry]; !isKnown {
		return fmt.Errorf("entry %.64q is not known in this data centre", m.Entry)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals.Merge(m.Entry, m.Refusals, now-asked, bootClock(now))
}
