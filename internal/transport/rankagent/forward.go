package rankagent

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
)

const (
	// minForwardedOrders is the number of orders of a round from which they are sent
	// through other agents. The leader's link carries fewer in the time that an
	// agent takes to forward them.
	minForwardedOrders = 24
	// forwardTimeout bounds the calls of an agent that forwards orders. It is below
	// prepareTimeout, so that the leader gets the replies of the other ranks.
	forwardTimeout = 400 * time.Millisecond
	// forwarderBackoff is how long an agent that did not reply forwards no orders.
	forwarderBackoff = 5 * time.Second
)

// forwardRequest tells an agent to send an order to several agents.
type forwardRequest struct {
	// Ranks are the ranks of the agents, and Addresses their addresses. The first
	// one is the agent that forwards.
	Ranks     []int        `json:"ranks"`
	Addresses []string     `json:"addresses"`
	Order     orderRequest `json:"order"`
}

// forwardReply has the reply of each agent in the order of the request, nil where an
// agent did not reply.
type forwardReply struct {
	Replies []*orderReply `json:"replies"`
}

// handleForward sends an order to the agents of a block of ranks and returns their
// replies.
func (a *Agent) handleForward(ctx context.Context, r forwardRequest) (forwardReply, error) {
	if len(r.Ranks) != len(r.Addresses) {
		return forwardReply{}, errMalformed
	}
	receivedAt := process.BootTime()
	out := forwardReply{Replies: make([]*orderReply, len(r.Ranks))}
	var wg sync.WaitGroup
	for n, rank := range r.Ranks {
		q := r.Order
		q.Order.Rank = rank
		wg.Go(func() {
			reply, err := a.forwardOrder(ctx, q, r.Addresses[n], n == 0, receivedAt)
			if err != nil {
				event.EngineUnreachable.Log(a.log, "rank", rank, "order", string(q.Order.Kind), "forwarded", true, "error", err.Error())
				return
			}
			out.Replies[n] = &reply
		})
	}
	wg.Wait()
	return out, nil
}

// forwardOrder sends one of the orders of a forwardRequest, unless this process was
// paused since it received the request: another agent may lead by now.
func (a *Agent) forwardOrder(ctx context.Context, q orderRequest, address string, isOwn bool, receivedAt time.Duration) (orderReply, error) {
	if process.BootTime()-receivedAt > a.timeouts.orderAge {
		return orderReply{}, errOrderExpired
	}
	if isOwn {
		return a.handleOrder(ctx, q)
	}
	return peer.CallWithTimeout[orderRequest, orderReply](a.peers, address, methodOrder, q, a.timeouts.forward)
}

// orderBlock is a number of ranks that get the same order through the agent of the
// first one.
type orderBlock struct {
	order mapswitch.Order
	ranks []int
}

// isForwardable reports whether an order may be sent through another agent. A
// forwarded order may be carried out late, if the agent in between is paused. A late
// Prepare or Fence is refused, because the rank has had a higher version by then.
func isForwardable(k mapswitch.Kind) bool {
	return k == mapswitch.Prepare || k == mapswitch.Fence || k == mapswitch.Query
}

// splitOrders divides the orders of a round into those that are sent to their rank's
// agent, and blocks that other agents forward.
func (l *leader) splitOrders(orders []mapswitch.Order, now time.Time) (single []mapswitch.Order, blocks []orderBlock) {
	forwarded := map[mapswitch.Order][]int{}
	for _, o := range orders {
		_, isMissing := l.missing[o.Rank]
		if o.Rank == l.self.Rank || isMissing || !isForwardable(o.Kind) {
			single = append(single, o)
			continue
		}
		rank := o.Rank
		o.Rank = 0
		forwarded[o] = append(forwarded[o], rank)
	}
	for o, ranks := range forwarded {
		if len(ranks) < minForwardedOrders {
			for _, r := range ranks {
				o.Rank = r
				single = append(single, o)
			}
			continue
		}
		// Equal numbers of blocks and of ranks in a block keep both links busy for
		// the same time.
		for _, block := range lo.Chunk(ranks, int(math.Ceil(math.Sqrt(float64(len(ranks)))))) {
			blocks = append(blocks, orderBlock{order: o, ranks: l.withForwarder(block, now)})
		}
	}
	return single, blocks
}

// withForwarder returns a block's ranks with one first whose agent has replied of
// late.
func (l *leader) withForwarder(ranks []int, now time.Time) []int {
	for n, r := range ranks {
		if now.Sub(l.forwardFailedAt[r]) > forwarderBackoff {
			ranks[0], ranks[n] = ranks[n], ranks[0]
			break
		}
	}
	return ranks
}

// sendOrders sends the orders of a round and returns the reply of each rank, nil
// where there was none.
func (l *leader) sendOrders(ctx context.Context, orders []mapswitch.Order, messages layoutMessages) []*orderReply {
	replies := make([]*orderReply, len(l.addresses))
	single, blocks := l.splitOrders(orders, time.Now())
	var wg sync.WaitGroup
	for _, o := range single {
		wg.Go(func() { replies[o.Rank] = l.sendOrder(ctx, o, messages) })
	}
	for _, b := range blocks {
		wg.Go(func() { l.sendBlock(ctx, b, messages, replies) })
	}
	wg.Wait()
	return replies
}

// sendBlock sends an order to a block of ranks and stores their replies. If the agent
// that should forward it does not reply, the order is sent to each rank's agent.
func (l *leader) sendBlock(ctx context.Context, b orderBlock, messages layoutMessages, replies []*orderReply) {
	incomplete, err := l.forward(b, messages, false, replies)
	if err == nil && len(incomplete) > 0 {
		b.ranks = incomplete
		_, err = l.forward(b, messages, true, replies)
	}
	if err == nil {
		return
	}
	l.forwardFailedAt[b.ranks[0]] = time.Now()
	var wg sync.WaitGroup
	for _, r := range b.ranks {
		o := b.order
		o.Rank = r
		wg.Go(func() { replies[r] = l.sendOrder(ctx, o, messages) })
	}
	wg.Wait()
}

// forward sends an order through the agent of a block's first rank. It returns the
// ranks whose agents need the whole layout.
func (l *leader) forward(b orderBlock, messages layoutMessages, wholeLayout bool, replies []*orderReply) (incomplete []int, err error) {
	q := forwardRequest{Ranks: b.ranks, Order: l.newOrderRequest(b.order)}
	q.Addresses = lo.Map(b.ranks, func(r, _ int) string { return l.addresses[r] })
	_, q.Order.Layout = messages.layoutFor(b.order.Kind, wholeLayout)
	out, err := peer.CallWithTimeout[forwardRequest, forwardReply](l.agent.peers, l.addresses[b.ranks[0]], methodForward, q, l.agent.timeouts.prepare)
	if err != nil {
		return nil, err
	}
	if len(out.Replies) != len(b.ranks) {
		return nil, errMalformed
	}
	for n, r := range b.ranks {
		replies[r] = out.Replies[n]
		if reply := out.Replies[n]; reply != nil && reply.NeedsLayout {
			replies[r] = nil
			incomplete = append(incomplete, r)
		}
	}
	return incomplete, nil
}
