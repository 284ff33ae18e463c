package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
)

const (
	// maxPeerRoundTrip bounds a call to another entry. Reports contain ages, which are
	// wrong by up to that time.
	maxPeerRoundTrip = 200 * time.Millisecond
	// maxReplyBytes bounds what is read of another entry's answer.
	maxReplyBytes = 1 << 20
)

// entryPeers are the other entries, as this one reaches them. It is safe for concurrent
// use.
type entryPeers struct {
	// self is where the other entries reach this one.
	self   string
	client *http.Client
	log    hclog.Logger

	mu sync.Mutex
	// byName has the addresses of the other entries by their names.
	byName    map[string]string
	addresses []string
}

func newEntryPeers(self string, log hclog.Logger) *entryPeers {
	return &entryPeers{self: self, client: &http.Client{Timeout: maxPeerRoundTrip}, log: log}
}

// set sets the addresses of the other entries by their names.
func (p *entryPeers) set(byName map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byName, p.addresses = byName, lo.Values(byName)
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
	answer, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d", method, address, answer.StatusCode)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maxReplyBytes)).Decode(result)
}
