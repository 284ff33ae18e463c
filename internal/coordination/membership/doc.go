// Package membership keeps one process's copy of the platform's instance list
// and works out what a peer with a newer copy has to send.
package membership
