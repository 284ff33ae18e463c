// Package engine speaks to targets: the load report of any target, and what
// a balancer has to know of a model engine's requests.
package engine
