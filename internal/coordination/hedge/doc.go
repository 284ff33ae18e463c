// Package hedge decides when a request that may be repeated is sent to a second target
// because the first one is slow to answer (hedged requests: Dean and Barroso, "The Tail at
// Scale", 2013).
package hedge
