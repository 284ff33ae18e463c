// Package balance chooses a target for each request and says when none has
// room. It answers two loads: streams on engines whose ranks run in lock-step,
// where each further stream slows all others of the group, and short requests
// on plain services.
package balance
