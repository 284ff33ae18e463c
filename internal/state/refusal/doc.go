// Package refusal describes refused requests: the client account, the reason of
// the refusal, and whether the request may have run.
package refusal
