package owner

import (
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/swap"
)

// Bounds of loads from the weight store.
const (
	// storeAtOnce is the number of loads that run at full speed at once.
	storeAtOnce = 4
	// storeRateShare is the share of the store's rate that is used.
	storeRateShare = 0.9
)

// storeLoads is a token bucket of loads from the weight store. It starts empty,
// since an earlier owner may have used what there was.
type storeLoads struct {
	rate   float64
	tokens float64
	last   time.Time
}

// storeLoads returns the bucket of a service. The caller holds mu.
func (o *Owner) storeLoads(service *catalog.Service) *storeLoads {
	bucket, ok := o.store[service.Name]
	if !ok {
		bucket = &storeLoads{}
		o.store[service.Name] = bucket
	}
	bucket.rate = service.Engine.StoreLoadsPerSecond * storeRateShare
	return bucket
}

// allowed returns how many loads may begin now.
func (s *storeLoads) allowed(now time.Time, underWay int) int {
	if !s.last.IsZero() {
		s.tokens = min(s.tokens+s.rate*now.Sub(s.last).Seconds(), max(1, s.rate))
	}
	s.last = now
	return max(0, min(int(s.tokens), storeAtOnce-underWay))
}

// begin counts a load that begins.
func (s *storeLoads) begin() {
	s.tokens--
}

// loadsUnderWay counts loads that take as long as one from the weight store.
func (o *Owner) loadsUnderWay(service *catalog.Service, endpoints []*inventory.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		p := o.books[e.Key()].Pending
		if p == nil || p.Order.Unload {
			continue
		}
		if swap.FromStore(e.InMemory, e.OnDisk, p.Order.Model) {
			n++
		}
	}
	return n
}
