// Package route chooses the target for a request. Each entry (load balancer
// process) chooses on its own, from reports of the targets that may be out of date.
// A target reports through its agent, the process that admits its requests.
package route
