package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

type relayCmd struct {
	Listen  string `required:""`
	To      string `required:""`
	Control string `required:"" help:"Where POST /cut and POST /silence arrive."`
}

// relay forwards TCP; cut ends all open connections, silence lets them stay
// open and forward nothing more, while new ones work; garble changes a letter
// of plain answers from now on.
type relay struct {
	to     string
	garble atomic.Bool
	mu     sync.Mutex
	conns  map[net.Conn]*path
}

type path struct {
	mu     sync.Mutex
	silent bool
}

// Run implements the subcommand.
func (c *relayCmd) Run() error {
	r := &relay{to: c.To, conns: map[net.Conn]*path{}}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(conn)
		}
	}()
	return fasthttp.ListenAndServe(c.Control, r.control)
}

func (r *relay) control(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/garble" {
		r.garble.Store(true)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, p := range r.conns {
		switch string(ctx.Path()) {
		case "/cut":
			_ = conn.Close()
		case "/silence":
			p.mu.Lock()
			p.silent = true
			p.mu.Unlock()
		}
	}
	_, _ = fmt.Fprintln(ctx, len(r.conns))
}

func (r *relay) forward(from net.Conn) {
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = from.Close()
		return
	}
	p := &path{}
	r.mu.Lock()
	r.conns[from], r.conns[to] = p, p
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.copy(pair[1], pair[0], &r.garble)
		}()
	}
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, from)
	delete(r.conns, to)
	r.mu.Unlock()
}

// copy forwards until an end; a silent path swallows bytes and never ends.
func (p *path) copy(to, from net.Conn, garble *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if garble.Load() {
			copy(buffer[:n], bytes.ReplaceAll(buffer[:n], []byte("done"), []byte("dome")))
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == io.EOF || err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
