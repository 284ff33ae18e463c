// Package gateway is the entry on the users' platform: it stands between
// callers and targets, which it finds in the platform's store.
package gateway
