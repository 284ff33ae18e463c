// Package refusal describes refused requests: whose they were, why they were
// refused, and whether they may have run.
package refusal
