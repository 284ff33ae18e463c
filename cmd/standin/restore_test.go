package main

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// storeReply is an answer of the platform to callStore.
type storeReply struct {
	status     int
	etag       string
	generation string
	body       string
}

// callStore calls the object API of a fleet's platform. The header fields are pairs of a
// name and a value.
func callStore(f *fleet, method, path, body string, fields ...string) storeReply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + f.platformAddress + path)
	for n := 0; n < len(fields); n += 2 {
		req.Header.Set(fields[n], fields[n+1])
	}
	req.SetBodyString(body)
	if err := f.client.DoTimeout(req, resp, waitTimeout); err != nil {
		return storeReply{body: err.Error()}
	}
	header := &resp.Header
	return storeReply{status: resp.StatusCode(), etag: string(header.Peek("ETag")), generation: string(header.Peek(generationHeader)), body: string(resp.Body())}
}

// restoreStore puts the platform's store back to its last copy.
func restoreStore(f *fleet, o restoreOptions) error {
	return f.postJSON("http://"+f.platformAddress+"/restore", o)
}

func copyStore(f *fleet) error { return f.postJSON("http://"+f.platformAddress+"/copy", nil) }

// TestRestoredPlatform checks that a restored store has lost what was written since the
// copy, gives out versions again, and raises the generation of all answers.
func TestRestoredPlatform(t *testing.T) {
	tests := []struct {
		name    string
		options restoreOptions
		status  int
	}{
		{"watches end", restoreOptions{EndWatches: true}, fasthttp.StatusServiceUnavailable},
		{"watches go on", restoreOptions{}, fasthttp.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := testFleet(t)
			put := func(body string, fields ...string) storeReply {
				return callStore(f, "PUT", "/objects/a", body, fields...)
			}
			first := put("1", "If-None-Match", "*")
			c.Assert(first, qt.Equals, storeReply{status: 200, etag: `"1"`, generation: "0", body: "1"})
			must(t, copyStore(f))
			c.Assert(put("2", "If-Match", `"1"`).etag, qt.Equals, `"2"`)

			watched := make(chan storeReply, 1)
			go func() { watched <- callStore(f, "GET", "/watch/a?after=2&wait-ms="+strconv.Itoa(1500), "") }()
			time.Sleep(300 * time.Millisecond)
			must(t, restoreStore(f, tt.options))
			c.Check(callStore(f, "GET", "/objects/a", ""), qt.Equals, storeReply{status: 200, etag: `"1"`, generation: "1", body: "1"})
			c.Check(put("3", "If-Match", `"1"`, generationHeader, "0").status, qt.Equals, fasthttp.StatusPreconditionFailed)
			c.Check(put("3", "If-Match", `"1"`, generationHeader, "1").etag, qt.Equals, `"2"`)
			w := <-watched
			c.Check(w.status, qt.Equals, tt.status)
			c.Check(w.generation, qt.Equals, "1")
			for _, path := range []string{"/instances", "/objects?prefix=", "/watch/a?after=0", "/objects/none", "/none"} {
				c.Check(callStore(f, "GET", path, "").generation, qt.Equals, "1", qt.Commentf("%s", path))
			}
			must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{Down: true}))
			c.Check(callStore(f, "GET", "/objects/a", "").generation, qt.Equals, "1")
		})
	}
}
