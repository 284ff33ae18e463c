// Package switchover changes the expert map of a rank group so that in each
// step all ranks use one and the same map.
//
// A coordinator has every rank load and acknowledge a map for a later step; a
// rank that acknowledged does not begin that step before it knows whether all
// did. Nobody decides by majority: a group in lock-step waits for its slowest
// rank anyway.
package switchover
