// Package follower keeps what a process knows of the platform's store: the
// configuration, the targets and the data centres that are out of service.
package follower
