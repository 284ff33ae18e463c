// Package operator implements the operators' commands: it pulls and pushes the
// configuration through the platform's object store and queries the processes.
package operator
