// Package peer carries typed calls between the system's own processes, as
// JSON-RPC 2.0 over TCP.
package peer
