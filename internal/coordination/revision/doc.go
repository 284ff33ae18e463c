// Package revision decides how a configuration spreads between processes and
// when a process may still trust the one it has.
package revision
