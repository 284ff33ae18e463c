// Package routing holds the routing table of one configuration: which services
// answer which requests, and the client accounts and limits that apply.
package routing
