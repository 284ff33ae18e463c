// Package claim decides whether an attempt of a request that may run at most
// once may run on this instance. Attempts compete for a record in the
// platform's object API, which only one of them can hold.
package claim
