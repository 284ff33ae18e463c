// Package revision selects the processes that watch the platform for new
// revisions of the configuration and the peers to which a revision spreads, and
// detects when a process can no longer rely on the revision that it has.
package revision
