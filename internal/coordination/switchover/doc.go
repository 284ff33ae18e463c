// Package switchover changes the expert map of a rank group such that all ranks
// use the same map in each step.
//
// A coordinator has every rank load and acknowledge a map for a later step. A
// rank that has acknowledged a change holds: it does not begin that step before
// it knows whether all ranks acknowledged. Requiring all ranks costs no
// availability compared with a majority, since a group in lock-step waits for its
// slowest rank anyway. An engine runs only the steps that its rank has granted;
// package mapswitch serves engines that accept orders to hold a step instead.
//
// Coordinators are ordered by fencing numbers, and ranks reject the messages of
// earlier coordinators.
package switchover
