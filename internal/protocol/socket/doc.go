// Package socket configures the TCP connections between processes, so that a peer
// that has vanished is noticed in time.
package socket
