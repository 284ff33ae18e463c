// Package retry limits how many requests are retried, and which requests may
// run again after a target died while it ran them.
package retry
