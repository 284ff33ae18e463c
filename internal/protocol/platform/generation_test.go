package platform

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAnswerOfBeforeARestoreIsDropped checks which answers and writes count once the
// client has had an answer of generation 2.
func TestAnswerOfBeforeARestoreIsDropped(t *testing.T) {
	tests := []struct {
		name       string
		generation string
		status     int
		want       error
	}{
		{"same generation", "2", http.StatusOK, nil},
		{"newer generation", "3", http.StatusOK, nil},
		{"no generation", "", http.StatusOK, nil},
		{"no number", "new", http.StatusOK, nil},
		{"earlier generation", "1", http.StatusOK, ErrUnavailable},
		{"earlier generation, not found", "1", http.StatusNotFound, ErrUnavailable},
		{"earlier generation, conflict", "1", http.StatusPreconditionFailed, ErrUnavailable},
		{"earlier generation, unchanged", "1", http.StatusNotModified, ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			generation, status := "2", http.StatusOK
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("ETag", `"7"`)
				if generation != "" {
					w.Header().Set(generationHeader, generation)
				}
				w.WriteHeader(status)
			}))
			defer server.Close()
			client := NewClient(server.URL, time.Second)
			read, err := client.Get("a")
			c.Assert(err, qt.IsNil)
			c.Assert(read.Position, qt.Equals, Position{Generation: 2, Version: 7})
			generation, status = tt.generation, tt.status
			_, err = client.Get("a")
			c.Check(errors.Is(err, tt.want), qt.IsTrue, qt.Commentf("%v", err))
			_, err = client.Put("a", nil, Absent)
			c.Check(errors.Is(err, tt.want), qt.IsTrue, qt.Commentf("%v", err))
			_, err = client.Put("a", nil, Position{Generation: 1, Version: 7})
			c.Check(errors.Is(err, ErrRestored), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestWatchEndsWhenAnotherCallFindsARestore checks that a watch that waits across a
// restore does not go on from a version of before it.
func TestWatchEndsWhenAnotherCallFindsARestore(t *testing.T) {
	c := qt.New(t)
	queries := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		generation := "1"
		if r.URL.Path == "/watch/a" {
			queries <- r.URL.Query().Get("after")
			if r.URL.Query().Get("after") != "0" {
				<-r.Context().Done()
			}
		} else {
			generation = "2"
		}
		w.Header().Set(generationHeader, generation)
		w.Header().Set("ETag", `"9"`)
	}))
	defer server.Close()
	client := NewClient(server.URL, time.Second)
	o, err := client.Watch("a", Position{}, time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(<-queries, qt.Equals, "0")
	ended := make(chan error, 1)
	go func() {
		_, err := client.Watch("a", o.Position, time.Minute)
		ended <- err
	}()
	c.Assert(<-queries, qt.Equals, "9")
	_, err = client.Get("b")
	c.Assert(err, qt.IsNil)
	select {
	case err := <-ended:
		c.Check(errors.Is(err, ErrRestored), qt.IsTrue)
	case <-time.After(5 * time.Second):
		c.Fatal("the watch still waits")
	}
	_, err = client.Watch("a", o.Position, time.Minute)
	c.Check(errors.Is(err, ErrUnavailable), qt.IsTrue)
	c.Check(<-queries, qt.Equals, "0")
	server.CloseClientConnections()
}

// TestPositionsRiseAfterARestore checks the order of positions, and of the fences that
// they give.
func TestPositionsRiseAfterARestore(t *testing.T) {
	ascending := []Position{{0, 0}, {0, 1}, {0, 1 << 30}, {1, 1}, {1, 7}, {2, 0}, {400, 3}}
	for n, p := range ascending {
		for k, other := range ascending {
			c := qt.New(t)
			c.Check(p.After(other), qt.Equals, n > k, qt.Commentf("%v, %v", p, other))
			c.Check(p.Fence() > other.Fence(), qt.Equals, n > k, qt.Commentf("%v, %v", p, other))
		}
	}
	c := qt.New(t)
	c.Check(Position{Generation: anyGeneration, Version: 7}.Fence(), qt.Equals, int64(7))
}
