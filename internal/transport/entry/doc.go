// Package entry is the daemon between callers and targets. It keeps nothing:
// it chooses well from knowledge that lags, and an agent decides.
package entry
