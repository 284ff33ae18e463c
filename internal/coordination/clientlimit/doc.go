// Package clientlimit decides which clients of a process are closed or refused when the
// memory or the connections that all clients share run short.
package clientlimit
