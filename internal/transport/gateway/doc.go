// Package gateway implements the entry of the plain services: it forwards the
// requests of callers to targets, which it discovers in the platform's store.
package gateway
