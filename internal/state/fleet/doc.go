// Package fleet describes the targets that are registered with the platform.
package fleet
