// Package follower keeps a local copy of the state in the platform's store: the
// configuration, the targets and the data centres that are out of service. It
// lists each of them once and then applies the changes that its watches return.
package follower
