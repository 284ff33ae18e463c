// Package engine is a client of targets. It reads the load report of a target,
// reads the state of an engine's rank and sends orders to it, and extracts from
// generation requests what load balancing needs.
package engine
