// Package balance chooses a target for each request and queues requests while
// no target has capacity. A target is one rank of a model engine or one process
// of a plain service. Streams run on rank groups, whose ranks execute each
// forward pass in lock-step, so that every further stream lengthens the step
// time of the whole group. Plain services get short requests.
//
// Each entry (load balancer process) has a fleet of its own and sees only its
// own requests, besides what the targets report.
package balance
