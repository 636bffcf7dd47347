package owner

import (
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
)

// storeRateShare is the share of the weight store's rate limit that is used.
const storeRateShare = 0.9

// StoreRate limits the loads from the weight store that may start within any
// Window to Factor times what the configured rate gives. The zero value sets no
// limit beside that rate.
type StoreRate struct {
	Factor float64
	Window time.Duration
}

// bucket returns the rate and the size of the token bucket for a configured rate
// in loads per second. The bucket holds the loads of one second, or fewer if a
// full bucket and its refill would exceed the limit within a window.
func (r StoreRate) bucket(configured float64) (rate, size float64) {
	share := storeRateShare
	if r.Factor <= 0 || r.Window <= 0 {
		return configured * share, max(1, configured*share)
	}
	share *= min(1, r.Factor)
	spare := configured * r.Window.Seconds() * (r.Factor - share)
	return configured * share, max(1, min(configured*share, spare))
}

// Limits of concurrent loads from the weight store. The number that run at full
// speed is not known, so the limit follows what loads took: it grows while they
// take as long as expected and shrinks when they take much longer.
const (
	minStoreLoads     = 2
	maxStoreLoads     = 16
	initialStoreLoads = 2
	// fullSpeedFactor and slowFactor are the times that a load takes, relative to
	// the expected one, up to which the limit grows and from which it shrinks.
	fullSpeedFactor = 1.25
	slowFactor      = 1.5
)

// storeLimiter limits loads from the weight store by rate, as a token bucket, and
// by number. The bucket starts empty, since a previous owner may have used up the
// store's rate limit.
type storeLimiter struct {
	// rate is in loads per second, size the maximum number of tokens.
	rate   float64
	size   float64
	tokens float64
	// last is the time of the last refill.
	last time.Time
	// limit is the maximum number of concurrent loads.
	limit int
}

// storeLoad is a load from the weight store that is in progress.
type storeLoad struct {
	service  string
	model    string
	sentAt   time.Time
	expected time.Duration
	// atLimit reports that as many loads were in progress as the limit allowed.
	atLimit bool
}

// storeLimiter returns the limiter of a service. The caller holds mu.
func (o *Owner) storeLimiter(service *catalog.Service) *storeLimiter {
	limiter, ok := o.storeLimits[service.Name]
	if !ok {
		limiter = &storeLimiter{limit: initialStoreLoads}
		o.storeLimits[service.Name] = limiter
	}
	limiter.rate, limiter.size = o.StoreRate.bucket(service.Engine.StoreLoadsPerSecond)
	return limiter
}

// allowed refills the bucket and returns how many loads may start now.
func (s *storeLimiter) allowed(now time.Time, inProgress int) int {
	if !s.last.IsZero() {
		s.tokens = min(s.tokens+s.rate*now.Sub(s.last).Seconds(), s.size)
	}
	s.last = now
	return max(0, min(int(s.tokens), s.limit-inProgress))
}

// take removes a token for a load that starts.
func (s *storeLimiter) take() {
	s.tokens--
}

// finished adapts the limit to the duration of a load. A load that ran while
// fewer were in progress than allowed does not show that more would run at full
// speed.
func (s *storeLimiter) finished(load storeLoad, took time.Duration) {
	ratio := took.Seconds() / load.expected.Seconds()
	switch {
	case ratio >= slowFactor:
		s.limit = max(minStoreLoads, s.limit-1)
	case ratio <= fullSpeedFactor && load.atLimit:
		s.limit = min(maxStoreLoads, s.limit+1)
	}
}

// storeLoadsInProgress returns the number of loads from the weight store that
// are in progress for a service. The caller holds mu.
func (o *Owner) storeLoadsInProgress(service string) int {
	n := 0
	for _, load := range o.storeLoading {
		if load.service == service {
			n++
		}
	}
	return n
}

// beginStoreLoad records a load from the weight store that is ordered now. The
// caller holds mu.
func (o *Owner) beginStoreLoad(service *catalog.Service, engine inventory.Key, model string, expected time.Duration, now time.Time) {
	limiter := o.storeLimiter(service)
	limiter.take()
	inProgress := o.storeLoadsInProgress(service.Name) + 1
	o.storeLoading[engine] = storeLoad{service: service.Name, model: model, sentAt: now, expected: expected, atLimit: inProgress >= limiter.limit}
}

// endStoreLoad records that the order to an engine is no longer in progress, and
// learns from the time that a load took. The caller holds mu.
func (o *Owner) endStoreLoad(engine inventory.Key, models map[string][]string, now time.Time) {
	load, ok := o.storeLoading[engine]
	if !ok {
		return
	}
	delete(o.storeLoading, engine)
	limiter := o.storeLimits[load.service]
	if _, loaded := models[load.model]; !loaded || limiter == nil {
		return
	}
	before := limiter.limit
	limiter.finished(load, now.Sub(load.sentAt))
	o.Log.Info("load from the weight store finished", "endpoint", engine.ID, "model", load.model, "took_ms", now.Sub(load.sentAt).Milliseconds(),
		"expected_ms", load.expected.Milliseconds(), "limit", limiter.limit, "limit_before", before)
}
