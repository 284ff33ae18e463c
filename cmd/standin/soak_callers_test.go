package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
)

// sendRequest sends one request to an entry and records the reply.
func (s *soakRun) sendRequest(client *http.Client, entry string, stream bool, key string) soakAttempt {
	a := soakAttempt{id: fmt.Sprintf("a-%d", s.lastAttempt.Add(1)), apiKey: key, streaming: stream}
	request := s.newRequest(a, entry, soakPath(stream), soakBody)
	a.sentAt = time.Now()
	if response, err := client.Do(request); err == nil {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body, a.complete = response.StatusCode, string(body), err == nil
		a.hasSignature = response.Header.Get("Server-Signature") != ""
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	s.record(a)
	return a
}

// soakPath returns the path of an order or of a stream.
func soakPath(stream bool) string {
	if stream {
		return "/draft/x"
	}
	return "/order/x"
}

// newRequest returns the request of an attempt to an entry.
func (s *soakRun) newRequest(a soakAttempt, entry, path, body string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	request.Host = "guild.example"
	request.Header.Set("Attempt-Id", a.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(s.timeout.Milliseconds()*3/4, 10))
	request.Header.Set("Authorization", "Token "+a.apiKey)
	return request
}

func (s *soakRun) record(a soakAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
}

// runCallers runs callers that send requests over keep-alive connections until the
// given time and wait as long as Retry-After requires. It returns how many
// requests with the valid key were served, and how many were sent.
func (s *soakRun) runCallers(until time.Time) (served, sent int) {
	var all sync.WaitGroup
	var servedCount, sentCount atomic.Int64
	for n := range soakCallerCount {
		r := rand.New(rand.NewPCG(s.seed, uint64(n)+3))
		all.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			defer client.CloseIdleConnections()
			for time.Now().Before(until) {
				key := soakKey
				if r.IntN(4) == 0 {
					key = soakRemovedKey
				}
				a := s.sendRequest(client, s.entries[r.IntN(len(s.entries))].trafficAddress, r.IntN(2) == 0, key)
				if key == soakKey {
					sentCount.Add(1)
					if a.status == http.StatusOK && a.complete {
						servedCount.Add(1)
					}
				}
				time.Sleep(a.retryAfter + time.Duration(r.IntN(30))*time.Millisecond)
			}
		})
	}
	all.Wait()
	return int(servedCount.Load()), int(sentCount.Load())
}
