// Package agent implements the daemon that runs next to one target, such as a model
// engine, and forwards the requests of the entries to it. Only the agent decides
// whether the target accepts a request, and only the agent can report whether a
// request ran. A target is cold after it has started: its limit of concurrent work,
// in units, is low and rises until the target is warm.
package agent
