package main

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/valyala/fasthttp"
)

// demoKey is the API key of the account that demos and tests use.
const demoKey = "demo-key"

// reply is what a caller got.
type reply struct {
	status  int
	body    string
	effect  string
	reason  string
	id      string
	attempt string
	broken  error
}

// send is a caller: one request to an entry, and all of the answer.
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
		status: resp.StatusCode(),
		body:   string(resp.Body()),
		effect: string(resp.Header.Peek("Request-Effect")),
		reason: string(resp.Header.Peek("Refusal-Reason")),
		id:     string(resp.Header.Peek("Refusal-Id")),
		broken: err,
	}
	var p struct {
		Attempt string `json:"attempt"`
	}
	if r.effect != "" && json.Unmarshal(resp.Body(), &p) == nil {
		r.attempt = p.Attempt
	}
	return r, err
}

// runs reads a target's run log.
func (f *fleet) runs(id string) []run {
	content, err := os.ReadFile(f.runLog(id))
	if err != nil {
		return nil
	}
	var out []run
	for _, line := range bytes.Split(bytes.TrimSpace(content), []byte("\n")) {
		var r run
		if json.Unmarshal(line, &r) == nil {
			out = append(out, r)
		}
	}
	return out
}
