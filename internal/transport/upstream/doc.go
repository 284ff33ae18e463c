// Package upstream sends HTTP/1.1 requests to targets over pooled connections.
// It never sends a request twice, and its errors report whether the target may
// have seen the request.
package upstream
