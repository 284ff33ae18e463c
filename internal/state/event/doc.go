// Package event declares the numbered log events of all processes, with their
// levels and texts.
package event
