package noded

import (
	"context"
	"time"

	"chestnutgauge/internal/isolation"
	"chestnutgauge/internal/pause"
)

// isolationInterval is the interval at which a node checks whether it is
// isolated.
const isolationInterval = 200 * time.Millisecond

// watchIsolation updates the isolation detector until ctx ends.
func (n *Node) watchIsolation(ctx context.Context) error {
	for pause.For(ctx, isolationInterval) {
		view := n.connections(time.Now())
		isolated, changed := n.isolation.Update(view)
		if !changed {
			continue
		}
		n.log.Warn("isolation changed", "isolated", isolated, "owner_followed", view.OwnerFollowed, "store_unavailable", view.StoreUnavailable,
			"reached_elsewhere", view.ReachedElsewhere, "failed_elsewhere", view.FailedElsewhere)
	}
	return ctx.Err()
}

// connections returns what the node knows of its connections.
func (n *Node) connections(now time.Time) isolation.View {
	view := isolation.View{
		OwnerFollowed:    n.follower.Fresh(),
		StoreUnavailable: n.entries.StoreOutage() > 0,
	}
	own := n.settings.Load().DataCentre
	snapshot := n.inventory.Current()
	n.meter.EachReached(now, func(engine string, ok bool) {
		endpoint := snapshot.Endpoint(engine)
		switch {
		case endpoint == nil || endpoint.DataCentre == own:
		case ok:
			view.ReachedElsewhere++
		default:
			view.FailedElsewhere++
		}
	})
	return view
}
