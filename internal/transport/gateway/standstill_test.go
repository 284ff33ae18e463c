package gateway

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/platform/standin"
)

// pausingListener returns pausingConns.
type pausingListener struct {
	net.Listener
	point pausePoint
}

// Accept implements net.Listener.
func (l *pausingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &pausingConn{Conn: conn, point: l.point}, err
}

// pausePoint is where the process of a pausingConn stands still.
type pausePoint int

const (
	neverPauses pausePoint = iota
	// pausesAtDeadline is once it has set a deadline of a request on the connection.
	pausesAtDeadline
	// pausesAfterRead is once it has read something under that deadline.
	pausesAfterRead
)

// pausingConn is a connection of a process that stands still until the deadline of a request
// on the connection has passed. The server's own deadlines are longer.
type pausingConn struct {
	net.Conn
	point    pausePoint
	deadline atomic.Pointer[time.Time]
}

// SetReadDeadline implements net.Conn.
func (c *pausingConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	c.deadline.Store(&t)
	c.pauseAt(pausesAtDeadline)
	return err
}

// Read implements net.Conn.
func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.pauseAt(pausesAfterRead)
	return n, err
}

func (c *pausingConn) pauseAt(point pausePoint) {
	t := c.deadline.Load()
	if point != c.point || t == nil {
		return
	}
	if left := time.Until(*t); left > 0 && left < time.Second {
		time.Sleep(left + 20*time.Millisecond)
	}
}

// keptConn is a client's connection on which requests follow each other.
type keptConn struct {
	c      *qt.C
	conn   *net.TCPConn
	reader *bufio.Reader
}

func dialKept(c *qt.C, address string) *keptConn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetDeadline(time.Now().Add(8*time.Second)), qt.IsNil)
	return &keptConn{c: c, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

// do sends a request and reads its answer. The body comes some time after the head.
func (k *keptConn) do(method, text string) reply {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	_, err := io.WriteString(k.conn, head+"\r\n\r\n")
	if err == nil && body != "" {
		time.Sleep(shortTime / 4)
		_, err = io.WriteString(k.conn, body)
	}
	if err != nil {
		return reply{broken: true, closes: true}
	}
	return k.read(method)
}

// read reads an answer.
func (k *keptConn) read(method string) reply {
	a, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		return reply{broken: true, closes: true}
	}
	body, err := io.ReadAll(a.Body)
	return reply{status: a.StatusCode, header: a.Header, body: string(body), broken: err != nil, closes: a.Close}
}

// keptRequest returns a request that does not close its connection.
func keptRequest(method string, r route, attempt string, deadline time.Duration, more string) string {
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: guild.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n%s",
		method, r.name, attempt, deadline.Milliseconds(), testKey, more)
}

const (
	noBody    = "\r\n"
	smallBody = "Content-Length: 2\r\n\r\n{}"
	shortTime = 100 * time.Millisecond
	longTime  = 4 * time.Second
)

// lasting returns a route whose requests may wait and take longTime.
func lasting(r route) route {
	r.timeoutMs = int(longTime.Milliseconds())
	r.firstByteMs = r.timeoutMs
	return r
}

// TestStandstillWithADeadlineGivesNoEmptySuccess guards against an entry that stands still past
// a request's deadline and then answers it, and all later ones on its connection, with an empty
// 200 (review/6).
func TestStandstillWithADeadlineGivesNoEmptySuccess(t *testing.T) {
	tests := []struct {
		name string
		// first is the request in which the entry stands still, and second follows on the same
		// connection, unless the first one's answer has closed it.
		first, second string
		hasTarget     bool
		want          int
		// point is where the entry stands still; pausesAtDeadline if it is not set.
		point pausePoint
	}{
		{name: "no room", first: keptRequest("GET", status, "a-1", shortTime, noBody), second: keptRequest("POST", order, "a-2", longTime, smallBody), want: 503},
		{name: "no room, no body at all", first: keptRequest("GET", status, "a-1", shortTime, noBody), second: keptRequest("GET", status, "a-2", longTime, noBody), want: 503},
		{name: "no room, with a body", first: keptRequest("POST", order, "a-1", shortTime, smallBody), second: keptRequest("POST", order, "a-2", longTime, smallBody), want: 503},
		{name: "no room, an empty body", first: keptRequest("POST", order, "a-1", shortTime, "Content-Length: 0\r\n\r\n"), second: keptRequest("POST", order, "a-2", longTime, smallBody), want: 503},
		{name: "no room, streams", first: keptRequest("GET", draft, "a-1", shortTime, noBody), second: keptRequest("POST", draft, "a-2", longTime, smallBody), want: 503},
		{name: "no room, resumed streams", first: keptRequest("GET", draft, "a-1", shortTime, "Last-Event-ID: 3\r\n\r\n"), second: keptRequest("POST", draft, "a-2", longTime, "Last-Event-ID: 3\r\n"+smallBody), want: 503},
		{name: "room", first: keptRequest("GET", status, "a-1", shortTime, noBody), second: keptRequest("POST", order, "a-2", longTime, smallBody), hasTarget: true, want: 200},
		{name: "room, with a body", first: keptRequest("POST", order, "a-1", shortTime, smallBody), second: keptRequest("POST", order, "a-2", longTime, smallBody), hasTarget: true, want: 200},
		{name: "room, with a body that was read", first: keptRequest("POST", order, "a-1", shortTime, smallBody), second: keptRequest("POST", order, "a-2", longTime, smallBody), hasTarget: true, want: 200, point: pausesAfterRead},
		{name: "no room, with a body that was read", first: keptRequest("POST", order, "a-1", shortTime, smallBody), second: keptRequest("GET", status, "a-2", longTime, noBody), want: 503, point: pausesAfterRead},
		{name: "room, streams", first: keptRequest("GET", draft, "a-1", shortTime, noBody), second: keptRequest("POST", draft, "a-2", longTime, smallBody), hasTarget: true, want: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			env := newTestEnv(t)
			env.configure(testKey, lasting(status), lasting(order), lasting(draft))
			env.pauses = cmp.Or(tt.point, pausesAtDeadline)
			g := env.addEntry("entry-2", "127.0.0.2", env.storeAddress)
			env.eventually("the entry is ready", g.isReady)
			if tt.hasTarget {
				env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
				env.addTarget(&standin.Target{ID: "t-1", Handler: standin.Events(2, 0)}, "t-1", "drafts")
				env.eventually("the targets are known", func() bool { return len(g.fleet.Targets(time.Now())) == 2 })
			}
			check := func(a reply, want ...int) {
				isSigned := a.header.Get("Server-Signature") != ""
				c.Check(a.status >= 200 && a.status < 300, qt.Equals, isSigned, qt.Commentf("%+v", a))
				c.Check(want, qt.Contains, a.status, qt.Commentf("%+v", a))
			}
			k := dialKept(c, g.settings.TrafficListen)
			defer func() { _ = k.conn.Close() }()
			a := k.do(strings.Fields(tt.first)[0], tt.first)
			check(a, 408, 503, 504, tt.want)
			if a.closes {
				// Only a request that was not read in time may cost its client the connection.
				c.Check(a.status, qt.Equals, 408)
				k = dialKept(c, g.settings.TrafficListen)
				defer func() { _ = k.conn.Close() }()
			}
			check(k.do(strings.Fields(tt.second)[0], tt.second), tt.want)
			c.Check(env.logged(event.RequestUnanswered), qt.HasLen, 0)
		})
	}
}

// TestLateMessageDoesNotEndTheConnectionOfOtherCalls guards against an entry that stands still
// while it reads another entry's message, and then fails all later calls on that connection.
func TestLateMessageDoesNotEndTheConnectionOfOtherCalls(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	env := newTestEnv(t)
	env.pauses = pausesAtDeadline
	g := env.addEntry("entry-2", "127.0.0.2", env.storeAddress)
	env.eventually("the entry is ready", g.isReady)
	const (
		message = "POST " + pathRefusals + " HTTP/1.1\r\nHost: e\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}"
		empty   = "POST " + pathRefusals + " HTTP/1.1\r\nHost: e\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n"
		read    = "GET /v1/objects/config HTTP/1.1\r\nHost: e\r\n\r\n"
	)
	for _, first := range []string{message, empty} {
		address := net.JoinHostPort("127.0.0.2", fmt.Sprint(env.entriesPort))
		k := dialKept(c, address)
		defer func() { _ = k.conn.Close() }()
		a := k.do("POST", first)
		if a.status == http.StatusContinue {
			a = k.read("POST")
		}
		c.Check(a.status, qt.Equals, http.StatusBadRequest)
		if a.closes {
			k = dialKept(c, address)
			defer func() { _ = k.conn.Close() }()
		}
		c.Check(k.do("GET", read).status, qt.Equals, http.StatusOK)
	}
}

// TestAttemptThatTimesOutInAPauseSaysNothingAboutItsTarget guards against targets that are
// suspended because the entry stood still past the deadline of a request.
func TestAttemptThatTimesOutInAPauseSaysNothingAboutItsTarget(t *testing.T) {
	tests := []struct {
		name     string
		hasPause bool
		want     int
	}{
		{"the entry stood still", true, 200},
		{"the target is slow", false, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for range 10 {
				status, hasPaused := playTimedOutAttempt(t, tt.hasPause)
				if hasPaused == tt.hasPause {
					qt.Check(t, status, qt.Equals, tt.want)
					return
				}
				// On a busy machine the process may have paused indeed.
			}
			t.Error("the process paused in each of 10 tries")
		})
	}
}

// playTimedOutAttempt sends a request that times out at its target, which the entry takes for
// a pause of its own or not, and then another one. It returns the status of the second request,
// and whether the entry has noticed a pause.
func playTimedOutAttempt(t *testing.T, hasPause bool) (status int, hasPaused bool) {
	c := qt.New(t)
	env := newTestEnv(t)
	pauses, began := env.gateway.pauses, time.Now()
	var runs atomic.Int32
	env.addTarget(&standin.Target{ID: "t-0", Handler: func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server reads ahead only behind the body
		if runs.Add(1) == 1 {
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, "done")
	}}, "t-0", "bells")
	env.eventually("the target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
	var pausing sync.WaitGroup
	if hasPause {
		pausing.Go(func() {
			env.eventually("the target runs the request", func() bool { return runs.Load() == 1 })
			pauses.Tick(time.Now().Add(time.Second))
		})
	}
	k := dialKept(c, env.address)
	defer func() { _ = k.conn.Close() }()
	c.Check(k.do("POST", keptRequest("POST", order, "a-1", 5*shortTime, smallBody)).status, qt.Equals, http.StatusGatewayTimeout)
	pausing.Wait()
	status = k.do("POST", keptRequest("POST", order, "a-2", longTime, smallBody)).status
	return status, pauses.HasPaused(began, time.Now())
}

// TestClientIsNotClosedForAPauseOfTheEntry guards against an entry that stood still and closes
// the connections of clients before it has read what they sent meanwhile.
func TestClientIsNotClosedForAPauseOfTheEntry(t *testing.T) {
	t.Parallel()
	limits := routing.Limits{HeaderTimeout: shortTime, IdleTimeout: shortTime}
	tests := []struct {
		name     string
		text     string // what the client has sent
		hasPause bool
	}{
		{"head, the entry stood still", "GET / HTTP/1.1\r\n", true},
		{"head, the client is slow", "GET / HTTP/1.1\r\n", false},
		{"idle, the entry stood still", keptRequest("GET", status, "a-1", longTime, noBody), true},
		{"idle, the client sends nothing", keptRequest("GET", status, "a-1", longTime, noBody), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			env := newTestEnv(t)
			g := env.gateway
			k := dialKept(c, env.address)
			defer func() { _ = k.conn.Close() }()
			_, err := io.WriteString(k.conn, tt.text)
			c.Assert(err, qt.IsNil)
			env.eventually("the connection is idle or sends a head", func() bool {
				g.clients.mu.Lock()
				defer g.clients.mu.Unlock()
				return len(g.clients.idle)+len(g.clients.headers) == 1
			})
			if tt.hasPause {
				g.closeConnections(limits, time.Now().Add(2*shortTime+time.Second))
				c.Check(g.clients.openCount(), qt.Equals, 1)
				return
			}
			// On a busy machine the process may have paused indeed.
			env.eventually("the connection is closed", func() bool {
				g.closeConnections(limits, time.Now().Add(2*shortTime))
				return g.clients.openCount() == 0
			})
		})
	}
}
