// Package service reads services from the configuration: their limits, latency
// goals and the requests that are not idempotent.
package service
