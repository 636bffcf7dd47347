package owner

import (
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/swap"
)

// Limits of loads from the weight store.
const (
	// maxConcurrentStoreLoads is the number of concurrent loads that the store
	// serves at full speed.
	maxConcurrentStoreLoads = 4
	// storeRateShare is the share of the store's rate limit that is used.
	storeRateShare = 0.9
)

// storeLoads is a token bucket that limits loads from the weight store. It
// starts empty, since a previous owner may have used up the store's rate limit.
type storeLoads struct {
	// rate is in loads per second.
	rate   float64
	tokens float64
	// last is the time of the last refill.
	last time.Time
}

// storeLoads returns the bucket of a service. The caller holds mu.
func (o *Owner) storeLoads(service *catalog.Service) *storeLoads {
	bucket, ok := o.storeBuckets[service.Name]
	if !ok {
		bucket = &storeLoads{}
		o.storeBuckets[service.Name] = bucket
	}
	bucket.rate = service.Engine.StoreLoadsPerSecond * storeRateShare
	return bucket
}

// allowed refills the bucket and returns how many loads may start now.
func (s *storeLoads) allowed(now time.Time, inProgress int) int {
	if !s.last.IsZero() {
		s.tokens = min(s.tokens+s.rate*now.Sub(s.last).Seconds(), max(1, s.rate))
	}
	s.last = now
	return max(0, min(int(s.tokens), maxConcurrentStoreLoads-inProgress))
}

// take removes a token for a load that starts.
func (s *storeLoads) take() {
	s.tokens--
}

// storeLoadsInProgress returns the number of loads in progress whose weights
// come from the weight store.
func (o *Owner) storeLoadsInProgress(service *catalog.Service, endpoints []*inventory.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		p := o.trackers[e.Key()].Pending
		if p == nil || p.Order.Unload {
			continue
		}
		if swap.FromStore(e.InMemory, e.OnDisk, p.Order.Model) {
			n++
		}
	}
	return n
}
