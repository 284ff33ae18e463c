// Package instance holds what a process is told about the instance it runs on.
package instance
