package fleet

import (
	"context"
	"errors"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/owner"
)

// placeQueue is where a request waits for a place at the owner.
type placeQueue struct {
	// begin grants a place, or returns a channel that is closed when one may be free.
	begin func(now time.Time) (endpoint inventory.Key, granted bool, changed <-chan struct{})
	// endWait ends the wait of the request.
	endWait func()
}

// await waits for a place until ctx ends. The lease may be lost meanwhile, and a node that waits no
// longer, as after a pause of this process, gets none.
func (q placeQueue) await(ctx context.Context, lease owner.Lease) (endpoint inventory.Key, granted bool, err error) {
	for {
		if _, ok := lease.Grant(); !ok {
			q.endWait()
			return inventory.Key{}, false, owner.ErrNotOwner
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			q.endWait()
			return inventory.Key{}, false, ctx.Err()
		}
		endpoint, granted, changed := q.begin(time.Now())
		if granted {
			return endpoint, true, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			q.endWait()
			return inventory.Key{}, false, nil
		}
	}
}
