//go:build review

// The case sharedpart kills all entries at once while requests come of which one part of
// the prompt crashes each server that begins to answer. It checks how often sound requests
// with the same first part begin to be answered, before and after.
package cases

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	partEntries  = 3
	partServers  = 16
	firstEvent   = 670 * time.Millisecond
	backAfter    = 2 * time.Second
	restartDelay = 250 * time.Millisecond
	// Sound requests come soundBatch at a time, every soundInterval, and deadly ones one
	// at a time, in turn at all entries.
	soundBatch     = 15
	soundInterval  = 3 * time.Second
	deadlyInterval = 325 * time.Millisecond
	calmWaves      = 3
	troubledWaves  = 4
	// stabilityWindow and toleratedCrashes are those of the rule.
	stabilityWindow  = 3 * time.Second
	toleratedCrashes = 5
	deadlyPart       = "dead0001"
)

// fragileServer ends when it begins to answer a request with the deadly part, and is back
// at its address some seconds later.
type fragileServer struct {
	k       *Kit
	backend *Backend
	onCrash func()

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func (f *fragileServer) serve(l net.Listener) {
	f.mu.Lock()
	f.listener, f.conns = l, map[net.Conn]bool{}
	f.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		go f.backend.serveConn(c)
	}
}

// crash closes the listener and all connections, as the end of a process does.
func (f *fragileServer) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener == nil {
		return
	}
	f.onCrash()
	_ = f.listener.Close()
	for c := range f.conns {
		_ = c.Close()
	}
	f.listener = nil
	time.AfterFunc(backAfter, func() {
		for range 100 {
			if l, err := net.Listen("tcp", f.backend.Address); err == nil {
				f.serve(l)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.k.Record("%s does not start again", f.backend.ID)
	})
}

// answer begins to answer a request, and crashes or streams.
func (f *fragileServer) answer(c net.Conn, r *http.Request, _ []byte) bool {
	id, isDeadly := r.Header.Get("Attempt-Id"), r.Header.Get("Prompt-Prefix") != "" && containsPart(r.Header.Get("Prompt-Prefix"), deadlyPart)
	f.k.Record("%s runs %s", f.backend.ID, id)
	time.Sleep(firstEvent)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, f.backend.ID)
	if isDeadly && f.k.Trouble {
		time.Sleep(5 * time.Millisecond)
		f.k.Record("%s crashes on %s", f.backend.ID, id)
		f.crash()
		return false
	}
	for n := 1; n <= 8 && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece\n\n", n)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(15 * time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil
}

// containsPart reports whether a list of parts has one with an ID.
func containsPart(list, id string) bool {
	for i := 0; i+len(id) <= len(list); i++ {
		if list[i:i+len(id)] == id {
			return true
		}
	}
	return false
}

func runSharedPart(dir string) (int, error) {
	k, err := New(dir)
	if err != nil {
		return NotRun, err
	}
	defer func() { k.Close(os.Getenv("LOGS") != "") }()
	k.Configure(1, []string{"key-of-guild"}, Route{Name: "draft", Kind: "streaming", Service: "drafts", Attempts: 2, TimeoutMs: 8000, Resumable: true})
	var mu sync.Mutex
	var crashes []time.Time
	onCrash := func() {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
	}
	for n := range partServers {
		f := &fragileServer{k: k, backend: &Backend{ID: fmt.Sprintf("drafts-%d", n), Service: "drafts"}, onCrash: onCrash}
		f.backend.Serve = f.answer
		l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", k.block, 100+n))
		if err != nil {
			return NotRun, err
		}
		f.backend.Address, f.backend.born = l.Addr().String(), time.Now().UnixMilli()
		k.Register(f.backend, "serving")
		go f.serve(l)
	}
	var entries []*Process
	for n := range partEntries {
		e, err := k.StartEntry(n, k.StoreAddr)
		if err != nil {
			return NotRun, err
		}
		entries = append(entries, e)
	}
	if err := WaitReady(entries...); err != nil {
		return NotRun, err
	}
	var attempts atomic.Int64
	send := func(kind string, at int, parts string) bool {
		n := attempts.Add(1)
		id := fmt.Sprintf("%s-%d", kind, n)
		c := &Client{Address: entries[at%partEntries].Traffic}
		defer c.Close()
		r := c.Send(http.MethodPost, "/draft/x", id, "key-of-guild", 8*time.Second, fmt.Sprintf("%s %d", kind, n), "Token-Usage: 674,96", fmt.Sprintf("Prompt-Prefix: head0001:40,%sown%d:600", parts, n))
		k.Record("%s at entry %d got status %d, Retry-After %q, complete %v, %d bytes, error %v", id, at%partEntries, r.Status, r.Header.Get("Retry-After"), r.Complete, len(r.Body), r.Err)
		return r.Status == http.StatusOK && len(r.Body) > 0
	}
	// wave sends a batch of sound requests and counts those that began to be answered.
	wave := func(begun, sent *atomic.Int64) {
		var all sync.WaitGroup
		for n := range soundBatch {
			all.Go(func() {
				sent.Add(1)
				if send("sound", n, "") {
					begun.Add(1)
				}
			})
		}
		all.Wait()
	}
	var calmBegun, calmSent, begun, sent, early, earlyBegun atomic.Int64
	for range calmWaves {
		next := time.Now().Add(soundInterval)
		wave(&calmBegun, &calmSent)
		time.Sleep(time.Until(next))
	}
	wave(&calmBegun, &calmSent)
	next := time.Now().Add(soundInterval)
	if k.Trouble {
		k.Record("all entries are killed")
		for _, e := range entries {
			e.Signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		for _, e := range entries {
			if err := k.Restart(e, "gateway"); err != nil {
				return NotRun, err
			}
		}
	}
	if err := WaitReady(entries...); err != nil {
		return NotRun, err
	}
	k.Record("all entries are ready; requests with the part %s begin", deadlyPart)
	var stop atomic.Bool
	var deadly sync.WaitGroup
	deadly.Go(func() {
		var all sync.WaitGroup
		for n := 0; !stop.Load(); n++ {
			all.Go(func() { send("deadly", n, deadlyPart+":20,") })
			time.Sleep(deadlyInterval)
		}
		all.Wait()
	})
	for range troubledWaves {
		time.Sleep(time.Until(next))
		next = time.Now().Add(soundInterval)
		mu.Lock()
		judged := len(crashes) > 0 && time.Since(crashes[min(len(crashes), toleratedCrashes)-1]) > 2*stabilityWindow
		mu.Unlock()
		if judged || !k.Trouble {
			wave(&begun, &sent)
		} else {
			wave(&earlyBegun, &early)
		}
	}
	stop.Store(true)
	deadly.Wait()
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("%d servers ended; sound requests begun: %d of %d before, %d of %d up to 6 s after the fifth or last crash, %d of %d later\n",
		len(crashes), calmBegun.Load(), calmSent.Load(), earlyBegun.Load(), early.Load(), begun.Load(), sent.Load())
	switch {
	case calmSent.Load() < 20 || sent.Load() < 20 || k.Trouble && len(crashes) == 0:
		return NotRun, fmt.Errorf("too few requests or no crash")
	case begun.Load()*calmSent.Load()*2 < calmBegun.Load()*sent.Load():
		k.Record("BROKEN: sound requests with the first part begin less than half as often")
		return Broken, nil
	}
	return Held, nil
}
