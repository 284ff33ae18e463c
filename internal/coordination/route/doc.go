// Package route chooses the target for a request from reports that may be out of
// date.
package route
