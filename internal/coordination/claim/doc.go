// Package claim decides whether a request that may run at most once runs
// here, by a record in the platform's object API that only one attempt holds.
package claim
