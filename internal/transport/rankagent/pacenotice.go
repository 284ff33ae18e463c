package rankagent

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/protocol/answers"
	"bluebellcrank/internal/protocol/pace"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/platform"
)

const (
	// paceNoticeInterval is the time between two notices while engines are slow. Entries
	// forget a slow engine 5 s after the last notice, so that two may be lost.
	paceNoticeInterval = 2 * time.Second
	// paceNoticeTimeout bounds a notice to one entry.
	paceNoticeTimeout = 500 * time.Millisecond
	// entriesMaxAge is how long a list of entries is used.
	entriesMaxAge = 20 * time.Second
)

// paceNotices decides when the entries are told of the paces of a group's engines. The zero
// value is ready to use. It is not safe for concurrent use.
type paceNotices struct {
	told   []pace.Engine
	toldAt time.Time
}

// due returns the engines to tell the entries of: those that are slow, and those that were
// when the entries were last told. It returns none if nothing has changed and the last
// notice is recent.
func (n *paceNotices) due(slow []pace.Engine, now time.Time) []pace.Engine {
	if slices.Equal(slow, n.told) && (len(slow) == 0 || now.Sub(n.toldAt) < paceNoticeInterval) {
		return nil
	}
	out := slices.Clone(slow)
	for _, e := range n.told {
		if !slices.ContainsFunc(slow, func(o pace.Engine) bool { return o.Address == e.Address }) {
			out = append(out, pace.Engine{Address: e.Address, Pace: 1})
		}
	}
	n.told, n.toldAt = slices.Clone(slow), now
	return out
}

// paceNotifier tells the entries which engines of the group are slow. It does not delay the
// leader: a notice that is due while the previous one is being sent replaces the next.
type paceNotifier struct {
	store  *platform.Store
	client *http.Client
	port   int
	log    hclog.Logger
	next   chan []pace.Engine
	// entries are the addresses of the entries as of listedAt.
	entries  []string
	listedAt time.Time
}

func newPaceNotifier(store *platform.Store, port int, log hclog.Logger) *paceNotifier {
	return &paceNotifier{store: store, client: &http.Client{Timeout: paceNoticeTimeout, Transport: answers.NewDefaultTransport()}, port: port, log: log, next: make(chan []pace.Engine, 1)}
}

// offer has a notice sent.
func (n *paceNotifier) offer(engines []pace.Engine) {
	select {
	case <-n.next:
	default:
	}
	n.next <- engines
}

// run sends notices until the context ends.
func (n *paceNotifier) run(ctx context.Context) {
	for {
		select {
		case engines := <-n.next:
			n.send(ctx, engines, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// send tells all entries. An entry that cannot be told is told with the next notice.
func (n *paceNotifier) send(ctx context.Context, engines []pace.Engine, now time.Time) {
	body, err := pace.Encode(engines)
	if err != nil {
		event.EntriesNotNotified.Log(n.log, "error", err.Error())
		return
	}
	n.refreshEntries(ctx, now)
	var calls sync.WaitGroup
	for _, entry := range n.entries {
		calls.Go(func() {
			if err := n.post(ctx, entry, body); err != nil {
				event.EntriesNotNotified.Log(n.log, "entry", entry, "error", err.Error())
			}
		})
	}
	calls.Wait()
}

// refreshEntries reads the list of entries if it is too old. A stale list is good enough,
// and the last one is used while the store does not answer.
func (n *paceNotifier) refreshEntries(ctx context.Context, now time.Time) {
	if now.Sub(n.listedAt) < entriesMaxAge {
		return
	}
	list, _, err := n.store.Entries(ctx, true)
	if err != nil {
		event.EntryListUnreadable.Log(n.log, "error", err.Error())
		return
	}
	n.entries, n.listedAt = n.entries[:0], now
	for _, e := range list {
		n.entries = append(n.entries, net.JoinHostPort(e.Address, strconv.Itoa(n.port)))
	}
}

func (n *paceNotifier) post(ctx context.Context, entry string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+pace.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := n.client.Do(request)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("rankagent: notice of paces: status %d", answer.StatusCode)
	}
	return nil
}

// notifyPaces tells the entries of the engines whose pace plans take into account.
func (l *leader) notifyPaces(now time.Time) {
	var slow []pace.Engine
	for r, p := range l.paces.Current() {
		if p > 1 && r < len(l.engines) {
			slow = append(slow, pace.Engine{Address: l.engines[r], Pace: p})
		}
	}
	if engines := l.paceNotices.due(slow, now); len(engines) > 0 {
		l.agent.paceNotifier.offer(engines)
	}
}
