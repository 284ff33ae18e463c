// Package process contains what all daemons share: settings, the control loop, the
// HTTP server for operators, logging, and graceful shutdown on a signal.
package process
