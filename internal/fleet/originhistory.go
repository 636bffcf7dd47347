package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/streamorigin"
)

// RunHistory records which versions serve until ctx ends. A node that has just started
// first asks others for what they have seen.
func (o *Origins) RunHistory(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.observe(ctx) })
	group.Go(func() error { return o.learnHistory(ctx) })
	return group.Wait()
}

// observe records which versions serve. When a second version of a service appears, other
// nodes are told of the streams that have begun before.
func (o *Origins) observe(ctx context.Context) error {
	only := map[string]bool{}
	for {
		snapshot, changed := o.Inventory.Watch()
		now := time.Now()
		serving := serving(snapshot)
		o.history.Observe(serving, o.Current(), now)
		for origin := range serving {
			before := only[origin.Service]
			only[origin.Service] = o.history.OnlyVersion(origin.Service, now)
			if before && !only[origin.Service] {
				o.enqueue(o.known.Own(origin.Service, now)...)
			}
		}
		if !pause.Until(ctx, changed, observeInterval) {
			return ctx.Err()
		}
	}
}

// learnHistory asks other nodes for their histories until a few have answered.
func (o *Origins) learnHistory(ctx context.Context) error {
	for answered := 0; answered < originReplicas; {
		if !pause.For(ctx, accountInterval) {
			return ctx.Err()
		}
		for _, node := range firstOf(o.Nodes(), originReplicas) {
			if _, err := o.askNode(ctx, node, ""); err == nil {
				answered++
			}
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// serving returns the origins that the endpoints of a snapshot stand for.
func serving(snapshot *inventory.Snapshot) map[streamorigin.Origin]bool {
	out := map[streamorigin.Origin]bool{}
	snapshot.Each(func(e *inventory.Endpoint) {
		out[streamorigin.Origin{Service: e.Service, Version: e.Version}] = true
	})
	return out
}
