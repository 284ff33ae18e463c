// Package placement decides which ranks hold which experts, so that the slowest
// rank of a group becomes faster while few weights are moved. A step is one pass
// of the group through all layers, and lasts until its slowest rank has finished.
// Rebalance serves engines that split an expert's tokens evenly among its copies,
// Improve those that accept a share for each copy.
package placement
