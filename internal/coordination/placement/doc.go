// Package placement decides which ranks hold which experts: so that the
// slowest rank is fast, for as few moved weights as that takes.
package placement
