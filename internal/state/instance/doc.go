// Package instance holds the settings that the platform gives a process for the
// instance that it runs on.
package instance
