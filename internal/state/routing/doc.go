// Package routing holds a configuration in force: which service answers which
// requests, and for which client accounts.
package routing
