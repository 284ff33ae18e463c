package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"

	qt "github.com/frankban/quicktest"
)

// relayTo starts a relay to an address and returns it with its listen address.
func (s *soakRun) relayTo(address string) (*relay, string) {
	r := s.relayAt("127.0.0.1:0", address)
	return r, r.listenAddress
}

// relayAt starts a relay from one address to another.
func (s *soakRun) relayAt(listen, address string) *relay {
	l, err := net.Listen("tcp", listen)
	s.c.Assert(err, qt.IsNil)
	s.t.Cleanup(func() { _ = l.Close() })
	r := newRelay(address)
	r.listenAddress = l.Addr().String()
	go r.serve(l)
	return r
}

const (
	// entryNetwork begins the addresses of entries, and relayNetwork those under which
	// the store lists them, where relays listen.
	entryNetwork = "127.0."
	relayNetwork = "127.1."
)

// relayIP returns the address of the relays to an entry.
func relayIP(ip string) string { return relayNetwork + strings.TrimPrefix(ip, entryNetwork) }

// serveStore serves the store. It lists entries at the addresses of their relays.
func (s *soakRun) serveStore(w http.ResponseWriter, r *http.Request) {
	if answer := s.storeAnswer.Load(); answer != nil && r.Method == http.MethodGet {
		(*answer)(w, r)
		return
	}
	if r.Method == http.MethodPost && strings.HasSuffix(r.URL.Path, "/bluebellcrank-entries") {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body = bytes.ReplaceAll(body, []byte(`"`+entryNetwork), []byte(`"`+relayNetwork))
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.storeGate.ServeHTTP(w, r)
}
