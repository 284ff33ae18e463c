// Package expert describes which ranks of a group hold which experts.
package expert
