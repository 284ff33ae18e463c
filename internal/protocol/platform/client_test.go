package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOddInstances lists instances of which one is in a form that cannot be decoded, or
// holds what is none. The others must be read.
func TestOddInstances(t *testing.T) {
	const (
		sound = `{"id":"bells-1","role":"agent","service":"bells","peer-address":"127.0.0.1:1","traffic-address":"127.0.0.1:2"}`
		// tooDeep is above what encoding/json decodes.
		tooDeep = 20_000
	)
	nested := strings.Repeat(`{"x":[`, tooDeep) + strings.Repeat(`]}`, tooDeep)
	tests := []struct{ name, element string }{
		{"no object", `7`},
		{"no id", `{"role":"agent"}`},
		{"an id that is a number", `{"id":9}`},
		{"nested deeply", `{"id":"odd","x":` + nested + `}`},
		{"a rank too large", `{"id":"odd","rank":99999999999999999999}`},
		{"a port out of range", `{"id":"odd","peer-address":"127.0.0.1:65536"}`},
		{"no port", `{"id":"odd","traffic-address":"127.0.0.1"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("ETag", "7")
				_, _ = w.Write([]byte("[" + tt.element + "," + sound + "]"))
			}))
			defer server.Close()
			list, err := NewClient(server.URL, time.Second).Instances("")
			c.Assert(err, qt.IsNil)
			c.Check(list.Instances, qt.HasLen, 1)
			c.Check(list.Invalid, qt.HasLen, 1)
			c.Check(list.Tag, qt.Equals, "7")
		})
	}
}
