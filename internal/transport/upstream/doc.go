// Package upstream sends requests to targets over kept connections. It never
// sends a request twice and tells whether a target may have seen one.
package upstream
