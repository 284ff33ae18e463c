// Package process has what every daemon shares: settings, the control
// thread, the operators' listener and the stop by signal.
package process
