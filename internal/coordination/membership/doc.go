// Package membership keeps a process's copy of the platform's instance list,
// updates it from peers with a newer copy, selects the peers that relay reads of
// the store, and detects instances that are gone.
package membership
