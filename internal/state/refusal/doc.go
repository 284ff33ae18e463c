// Package refusal says who was turned away, why, and whether the request ran.
package refusal
