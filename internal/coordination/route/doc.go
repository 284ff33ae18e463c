// Package route chooses the target for a request from knowledge that lags.
package route
