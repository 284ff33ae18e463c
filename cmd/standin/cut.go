package main

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// cutPlain writes the beginning of a plain answer and ends the connection.
func cutPlain(ctx *fasthttp.RequestCtx, id, text string, at int) {
	hijack(ctx, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text[:at]))
}

// cutStream writes the beginning of a streamed answer and ends the connection
// without a last chunk.
func cutStream(ctx *fasthttp.RequestCtx, id, text string) {
	hijack(ctx, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(text), text))
}

func hijack(ctx *fasthttp.RequestCtx, raw string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(raw)) })
}
