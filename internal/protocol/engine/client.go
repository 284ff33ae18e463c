package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/protocol/answers"
)

// maxAnswerBytes limits the memory that one answer uses. Reports have some kB.
const maxAnswerBytes = 1 << 20

// client reads the states of ranks. Its connections carry nothing else.
var client = newClient()

// singleClient closes each connection after its only call: answers to orders name no
// order, and one to an earlier call may come again.
var singleClient = newClient()

func newClient() *fasthttp.Client {
	return &fasthttp.Client{DialTimeout: answers.DialTimeout, MaxResponseBodySize: maxAnswerBytes}
}

// callOnce makes a call on a connection of its own.
func callOnce(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	req.SetConnectionClose()
	return singleClient.DoTimeout(req, resp, timeout)
}
