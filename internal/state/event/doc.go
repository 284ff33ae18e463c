// Package event is the catalogue of numbered log events.
package event
