package rankagent

import "time"

// timeouts bound the calls and the changes of an agent. Tests replace them, because
// one machine runs all agents of a group there.
type timeouts struct {
	// order applies to an order that is sent directly to the engine of the holder.
	order time.Duration
	// prepare applies to calls that carry a layout or that another agent forwards.
	prepare time.Duration
	// forward applies to the calls of an agent that forwards orders.
	forward time.Duration
	// orderAge is the age above which an agent discards an order of its own.
	orderAge time.Duration
	// heldRound applies to a round of orders while a step is held.
	heldRound time.Duration
	// change applies to a change of the map as a whole.
	change time.Duration
}

func defaultTimeouts() timeouts {
	return timeouts{
		order:     orderTimeout,
		prepare:   prepareTimeout,
		forward:   forwardTimeout,
		orderAge:  maxOrderAge,
		heldRound: holderTimeout,
		change:    maxSwitchTime,
	}
}
