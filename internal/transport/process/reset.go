package process

import "net"

// ResetOnClose has a client's connection reset when it is closed. A client of HTTP/1.0 takes the
// end of a connection in order for the end of an answer. Connections that wrap another one name
// it by a method NetConn.
func ResetOnClose(conn net.Conn) {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	if t, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = t.SetLinger(0)
	}
}
