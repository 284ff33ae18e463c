package main

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/valyala/fasthttp"
)

// demoKey is the API key of the account that demos and tests use.
const demoKey = "demo-key"

// reply is an entry's response to a caller's request, or the error of the
// request. A refusal has effect, reason and refusalID; attemptID is set if it
// names the attempt that failed.
type reply struct {
	status    int
	body      string
	effect    string
	reason    string
	refusalID string
	attemptID string
	err       error
}

// send sends one request to an entry over a new connection and reads the whole
// response.
func (f *fleet) send(entry, method, path, body string, headers map[string]string) (reply, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + f.instance(entry).Traffic + path)
	req.Header.Set("X-Api-Key", demoKey)
	req.SetConnectionClose()
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	req.SetBodyString(body)
	err := f.client.Do(req, resp)
	r := reply{
		status:    resp.StatusCode(),
		body:      string(resp.Body()),
		effect:    string(resp.Header.Peek("Request-Effect")),
		reason:    string(resp.Header.Peek("Refusal-Reason")),
		refusalID: string(resp.Header.Peek("Refusal-Id")),
		err:       err,
	}
	var p struct {
		Attempt string `json:"attempt"`
	}
	if r.effect != "" && json.Unmarshal(resp.Body(), &p) == nil {
		r.attemptID = p.Attempt
	}
	return r, err
}

// readRunLog returns the records of a target's run log; lines that do not parse
// are skipped.
func (f *fleet) readRunLog(id string) []runRecord {
	content, err := os.ReadFile(f.runLogPath(id))
	if err != nil {
		return nil
	}
	var records []runRecord
	for _, line := range bytes.Split(bytes.TrimSpace(content), []byte("\n")) {
		var r runRecord
		if json.Unmarshal(line, &r) == nil {
			records = append(records, r)
		}
	}
	return records
}
