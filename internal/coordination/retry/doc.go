// Package retry limits how many requests are retried, recognizes requests that were refused
// before, and decides which requests may run again after a target died while it ran them. A
// request that was running when a target died is a suspect, since it may have caused the
// death.
package retry
