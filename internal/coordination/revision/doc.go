// Package revision selects the processes that watch the platform for new
// revisions of the configuration and the peers to which a revision spreads, and
// detects when a process is isolated and may miss new revisions.
package revision
