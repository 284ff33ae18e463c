// Package peer provides typed remote calls between processes of this project, as
// JSON-RPC 2.0 over TCP.
package peer
