package main

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// cutConn writes the beginning of an answer and ends the connection.
func cutConn(text string, at int) fasthttp.HijackHandler {
	return func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:at])
	}
}
