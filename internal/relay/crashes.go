package relay

import (
	"context"
	"sync"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/suspect"
)

// crashWatch finds out whether an endpoint whose answer broke off has crashed.
// A broken answer alone says nothing: connections are reset for other reasons,
// too.
type crashWatch struct {
	mu      sync.Mutex
	pending map[string][]suspect.Digest
}

// Times of the look after a broken answer.
const (
	crashLookAfter   = 50 * time.Millisecond
	crashLookTimeout = 500 * time.Millisecond
)

// brokeOff notes a request whose answer broke off at an endpoint. If the
// endpoint then refuses connections, the requests that were on it are suspects.
func (r *Relay) brokeOff(endpoint *inventory.Endpoint, digest suspect.Digest) {
	r.crashes.mu.Lock()
	defer r.crashes.mu.Unlock()
	first := len(r.crashes.pending[endpoint.ID]) == 0
	r.crashes.pending[endpoint.ID] = append(r.crashes.pending[endpoint.ID], digest)
	if first {
		time.AfterFunc(crashLookAfter, func() { r.lookForCrash(endpoint) })
	}
}

func (r *Relay) lookForCrash(endpoint *inventory.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), crashLookTimeout)
	defer cancel()
	refuses := r.Sender.Refuses(ctx, endpoint)
	r.crashes.mu.Lock()
	digests := r.crashes.pending[endpoint.ID]
	delete(r.crashes.pending, endpoint.ID)
	r.crashes.mu.Unlock()
	r.Log.Info("answers broke off", "endpoint", endpoint.ID, "requests", len(digests), "crashed", refuses)
	if !refuses {
		return
	}
	now := time.Now()
	for _, digest := range digests {
		r.suspects.Crashed(endpoint.ID, digest, now)
	}
}
