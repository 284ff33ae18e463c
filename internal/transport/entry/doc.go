// Package entry implements the daemon that accepts requests from callers and sends
// each one to a target through the target's agent. It keeps the state of requests in
// memory only. It chooses targets from reports that may be stale; the agent decides
// whether a request runs.
package entry
