package main

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// cutPlainAnswer writes the first length bytes of a plain answer, under a header
// that announces all of them, and closes the connection.
func cutPlainAnswer(ctx *fasthttp.RequestCtx, id, text string, length int) {
	writeRaw(ctx, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text[:length]))
}

// cutStream writes the beginning of a streamed answer and closes the connection
// without the final chunk of the chunked encoding.
func cutStream(ctx *fasthttp.RequestCtx, id, text string) {
	writeRaw(ctx, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(text), text))
}

// writeRaw sends raw bytes in place of the server's response and closes the
// connection.
func writeRaw(ctx *fasthttp.RequestCtx, raw string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _, _ = conn.Write([]byte(raw)) })
}
