// Package member makes a process part of the fleet: it follows the instance
// list and the configuration, answers its peers and saves its refusals.
package member
