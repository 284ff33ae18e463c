// Package incident reconstructs the timeline of one request from the logs of
// several processes.
package incident
