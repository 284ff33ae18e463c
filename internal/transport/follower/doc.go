// Package follower keeps a local copy of the state in the platform's store: the
// configuration, the targets, and the data centres that are out of service
// (evacuated). It reads each list once and then applies the changes that its
// watches return, and lists again after a failure.
package follower
