// Package member makes a process a member of the fleet. It keeps the instance list
// and the configuration current, handles calls from peers, detects isolation, and
// writes the process's refusals to the platform.
package member
