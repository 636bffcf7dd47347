package noded

import (
	"context"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/reachability"
)

// partitionInterval is the interval at which a node checks whether it is partitioned from
// the endpoints.
const partitionInterval = 200 * time.Millisecond

// watchPartition leaves the ownership of the engines to other nodes while this one is
// partitioned from the endpoints, until ctx ends.
func (n *Node) watchPartition(ctx context.Context) error {
	partitioned := false
	for pause.For(ctx, partitionInterval) {
		cuts, endpoints := n.cutEndpoints(time.Now())
		next := reachability.Partitioned(partitioned, cuts, endpoints)
		if next == partitioned || n.shuttingDown.Load() {
			continue
		}
		partitioned = next
		n.log.Warn("partition from the endpoints changed", "partitioned", partitioned, "cut_links", cuts, "endpoints", endpoints)
		if partitioned {
			n.leaveOwnership(ctx)
		} else {
			n.keeper.Return()
		}
	}
	return ctx.Err()
}

// leaveOwnership leaves the ownership of the engines to other nodes.
func (n *Node) leaveOwnership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	n.keeper.StandAside(ctx)
}

// cutEndpoints returns the number of endpoints that stay and that this node does not reach,
// and the number of all that stay.
func (n *Node) cutEndpoints(now time.Time) (cuts, endpoints int) {
	n.inventory.Current().Each(func(e *inventory.Endpoint) {
		if e.Leaving {
			return
		}
		endpoints++
		if n.forwarding.Cut(e.Key(), now) {
			cuts++
		}
	})
	return cuts, endpoints
}
