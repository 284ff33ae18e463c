package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFailureIsNoRankState guards against a rank that begins anew although its engine has run steps.
func TestFailureIsNoRankState(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
	}{
		{"a failure in JSON", http.StatusServiceUnavailable, `{"error":"busy"}`},
		{"a failure with a state", http.StatusInternalServerError, `{"step":7,"starts":2}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				rw.WriteHeader(tt.status)
				_, _ = io.WriteString(rw, tt.body)
			}))
			t.Cleanup(server.Close)
			_, err := ReadRank(strings.TrimPrefix(server.URL, "http://"), time.Second)
			qt.New(t).Check(err, qt.IsNotNil)
		})
	}
}
