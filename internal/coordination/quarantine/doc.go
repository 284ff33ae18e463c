// Package quarantine decides which requests are not sent to targets because they crash
// them. What it blames is a key: one request, or one part of the prompts of many. Each
// entry (load balancer process) has a list of its own, and entries exchange them.
//
// All times are boot times, which go on while the machine is suspended.
package quarantine
