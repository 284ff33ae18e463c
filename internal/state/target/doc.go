// Package target holds what is known about instances and the targets beside
// them.
package target
