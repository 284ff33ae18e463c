// Package target describes instances and the load reports of their targets.
package target
