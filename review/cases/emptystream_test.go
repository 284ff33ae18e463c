//go:build review

// The case emptystream kills servers that have begun to answer streams, with neither a
// length nor chunks, and have not sent an event yet. It checks that no client gets such an
// answer as a complete stream.
package cases

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelServers   = 6
	modelClients   = 20
	pieceCount     = 8
	pieceInterval  = 15 * time.Millisecond
	prefillTime    = 150 * time.Millisecond
	crashCount     = 6
	crashInterval  = 2 * time.Second
	crashedFor     = 1500 * time.Millisecond
	lastCrashQuiet = 2 * time.Second
)

// serveModel is the process of one model server. It writes the address of its listener
// and serves until it is killed.
func serveModel(ip, id string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return NotRun, err
	}
	fmt.Println(l.Addr())
	b := &Backend{ID: id, Serve: func(c net.Conn, r *http.Request, _ []byte) bool {
		attempt := r.Header.Get("Attempt-Id")
		fmt.Println("begins to answer", attempt)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, id)
		time.Sleep(prefillTime)
		for n := 1; n <= pieceCount; n++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %s\n\n", n, n, attempt); err != nil {
				break
			}
			time.Sleep(pieceInterval)
		}
		fmt.Println("has answered", attempt)
		return false
	}}
	for {
		c, err := l.Accept()
		if err != nil {
			return NotRun, err
		}
		go b.serveConn(c)
	}
}

// modelServer is a model server's process as the case sees it.
type modelServer struct {
	backend *Backend
	cmd     *exec.Cmd
}

// startModel starts a model server at an address of the deployment and registers it.
func startModel(k *Kit, host, run int) (*modelServer, error) {
	id := fmt.Sprintf("drafts-%d-%d", host, run)
	cmd := exec.Command(os.Args[0], "model-server", fmt.Sprintf("%s%d", k.block, host), id)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	k.childrenMu.Lock()
	k.children = append(k.children, cmd.Process)
	k.childrenMu.Unlock()
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("%s does not start", id)
	}
	address := lines.Text()
	go func() {
		for lines.Scan() {
			k.Record("%s %s", id, lines.Text())
		}
	}()
	b := &Backend{ID: id, Service: "drafts", Address: address, born: time.Now().UnixMilli()}
	k.Register(b, "serving")
	return &modelServer{backend: b, cmd: cmd}, nil
}

func (m *modelServer) kill() {
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
}

func runEmptyStream(dir string) (int, error) {
	k, err := New(dir)
	if err != nil {
		return NotRun, err
	}
	defer func() { k.Close(false) }()
	k.Configure(1, []string{"key-of-guild"}, Route{Name: "draft", Kind: "streaming", Service: "drafts", Attempts: 2, TimeoutMs: 8000, Resumable: true})
	servers := make([]*modelServer, modelServers)
	defer func() {
		for _, m := range servers {
			if m != nil {
				m.kill()
			}
		}
	}()
	for n := range servers {
		if servers[n], err = startModel(k, 100+n, 0); err != nil {
			return NotRun, err
		}
	}
	entry, err := k.StartEntry(0, k.StoreAddr)
	if err != nil {
		return NotRun, err
	}
	if err := WaitReady(entry); err != nil {
		return NotRun, err
	}
	var stop atomic.Bool
	var sent, whole, empty, short, broken atomic.Int64
	var clients sync.WaitGroup
	for n := range modelClients {
		clients.Go(func() {
			c := &Client{Address: entry.Traffic}
			defer c.Close()
			for i := 0; !stop.Load(); i++ {
				id := fmt.Sprintf("a-%d-%d", n, i)
				r := c.Send(http.MethodPost, "/draft/x", id, "key-of-guild", 8*time.Second, "draft a pennant", "Token-Usage: 674,96")
				pieces := strings.Count(r.Body, "data: ")
				k.Record("%s got status %d, complete %v, signature %q, %d pieces", id, r.Status, r.Complete, r.Header.Get("Server-Signature"), pieces)
				sent.Add(1)
				switch {
				case r.Status != http.StatusOK:
				case !r.Complete:
					broken.Add(1)
				case pieces == pieceCount:
					whole.Add(1)
				case pieces == 0:
					k.Record("BROKEN: %s got a complete stream without any piece", id)
					empty.Add(1)
				default:
					// The connection ended between two events, which an answer without a
					// length does not tell from its end: not counted.
					short.Add(1)
				}
				time.Sleep(rand.N(60 * time.Millisecond))
			}
		})
	}
	time.Sleep(time.Second)
	for n := range crashCount {
		at := n % modelServers
		if k.Trouble {
			k.Record("%s is killed", servers[at].backend.ID)
			servers[at].kill()
		}
		time.Sleep(crashedFor)
		if k.Trouble {
			k.Store.Delete("servers", servers[at].backend.ID)
			if servers[at], err = startModel(k, 100+at, n+1); err != nil {
				return NotRun, err
			}
		}
		time.Sleep(crashInterval - crashedFor)
	}
	time.Sleep(lastCrashQuiet)
	stop.Store(true)
	clients.Wait()
	fmt.Printf("%d streams, %d whole, %d broken off, %d complete without any piece, %d complete with some pieces (not counted)\n", sent.Load(), whole.Load(), broken.Load(), empty.Load(), short.Load())
	switch {
	case empty.Load() > 0:
		return Broken, nil
	case whole.Load() == 0:
		return NotRun, fmt.Errorf("no stream was served")
	}
	return Held, nil
}
