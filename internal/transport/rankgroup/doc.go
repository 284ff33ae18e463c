// Package rankgroup lets the agents of a rank group change the group's expert map.
// Each agent grants its rank the steps that it may run. One agent holds the group's
// lease; it decides on changes and coordinates them.
package rankgroup
