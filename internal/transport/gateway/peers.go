package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"bluebellcrank/internal/protocol/answers"
)

const (
	// maxPeerRoundTrip bounds a call to another entry. Reports contain ages, which are
	// wrong by up to that time.
	maxPeerRoundTrip = 200 * time.Millisecond
	// maxReplyBytes bounds what is read of another entry's answer.
	maxReplyBytes = 1 << 20
	// headerCallID identifies a call to another entry, which repeats it in its answer.
	headerCallID = "Call-Id"
)

// entryPeers are the other entries, as this one reaches them. It is safe for concurrent
// use.
type entryPeers struct {
	// self is where the other entries reach this one.
	self   string
	client *http.Client
	log    hclog.Logger

	mu sync.Mutex
	// byName has the addresses of the other entries by their names, and neighbours those
	// of the entries of the same data centre.
	byName, neighbours map[string]string
	addresses          []string
	// namesNoCalls has the addresses of entries of a version that names no call in its answers.
	namesNoCalls map[string]bool
}

func newEntryPeers(self string, log hclog.Logger) *entryPeers {
	return &entryPeers{self: self, client: &http.Client{Timeout: maxPeerRoundTrip, Transport: answers.NewDefaultTransport()}, log: log, namesNoCalls: map[string]bool{}}
}

// set sets the addresses of the other entries by their names, and which of them are in the
// same data centre. The maps must not be changed afterwards.
func (p *entryPeers) set(byName, neighbours map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byName, p.neighbours, p.addresses = byName, neighbours, lo.Values(byName)
}

// inDataCentre returns the addresses of the other entries of the same data centre by their
// names. The caller must not change the map.
func (p *entryPeers) inDataCentre() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.neighbours
}

// addressOf returns the address of an entry, or an error if it is not known.
func (p *entryPeers) addressOf(name string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address, isKnown := p.byName[name]
	if !isKnown {
		return "", fmt.Errorf("the address of entry %q is not known", name)
	}
	return address, nil
}

// random returns up to n other entries.
func (p *entryPeers) random(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, at := range rand.Perm(len(p.addresses))[:min(n, len(p.addresses))] {
		out = append(out, p.addresses[at])
	}
	return out
}

// call sends a request to another entry and decodes the answer into result, which may
// be nil.
func (p *entryPeers) call(ctx context.Context, method, address string, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return err
	}
	return p.do(request, result)
}

// send sends another entry a message, which is encoded only once that entry has asked for
// it. A message with ages is thus no older than the time since then, even if a process was
// suspended meanwhile. The default transport waits for the other entry for longer than the
// call may take, so that it never sends the message unasked.
func (p *entryPeers) send(ctx context.Context, address string, encode func() ([]byte, error)) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, &lateBody{encode: encode})
	if err != nil {
		return err
	}
	request.Header.Set("Expect", "100-continue")
	request.Header.Set("Content-Type", "application/json")
	return p.do(request, nil)
}

// lateBody is a request body that is encoded at its first read.
type lateBody struct {
	encode  func() ([]byte, error)
	content *bytes.Reader
}

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	if b.content == nil {
		content, err := b.encode()
		if err != nil {
			return 0, err
		}
		b.content = bytes.NewReader(content)
	}
	return b.content.Read(p)
}

// recordNaming records whether an entry names calls in its answers. A connection to one that
// does not is closed after a call.
func (p *entryPeers) recordNaming(address string, namesCalls bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if namesCalls {
		delete(p.namesNoCalls, address)
		return
	}
	p.namesNoCalls[address] = true
}

// do sends a request to another entry and decodes the answer into result, which may be nil.
// An answer that names no call counts only on a connection that has carried nothing before.
func (p *entryPeers) do(request *http.Request, result any) error {
	isFirst := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { isFirst = !i.Reused }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	id := strconv.FormatUint(rand.Uint64(), 36)
	request.Header.Set(headerCallID, id)
	p.mu.Lock()
	request.Close = p.namesNoCalls[request.URL.Host]
	p.mu.Unlock()
	answer, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	got := answer.Header.Get(headerCallID)
	p.recordNaming(request.URL.Host, got != "")
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d", request.Method, request.URL, answer.StatusCode)
	}
	if got != id && (got != "" || !isFirst) {
		return fmt.Errorf("%s %s: the answer belongs to another call", request.Method, request.URL)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maxReplyBytes)).Decode(result)
}
