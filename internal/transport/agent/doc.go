// Package agent is the daemon beside one target, and the only authority on
// it: whether it takes a request, and whether a request ran.
package agent
