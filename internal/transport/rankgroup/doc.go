// Package rankgroup lets the agents of one rank group change its expert map:
// each agent grants its rank the steps it may run, and one of them, the lease
// holder, decides and coordinates.
package rankgroup
