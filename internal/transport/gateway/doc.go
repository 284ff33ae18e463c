// Package gateway implements the entry on the users' platform: the process that
// forwards the requests of clients to targets, which are plain services and the
// ranks of model engines. It discovers the targets in the platform's store,
// retries failed attempts where that is safe, and resumes broken streams.
package gateway
