package fleet

import (
	"slices"

	"chestnutgauge/internal/concurrency"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/relay"
)

// placeWaiter is a request of this node that waits for a place.
type placeWaiter struct {
	ask concurrency.Ask[inventory.Key]
	// handed receives the place of another request.
	handed chan relay.Place
}

func (p *Places) addWaiter(w *placeWaiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters = append(p.waiters, w)
}

// removeWaiter ends the wait of a request. It returns the place that the request was handed
// before, if any.
func (p *Places) removeWaiter(w *placeWaiter) (place relay.Place, handed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiters, w)
	if at < 0 {
		return <-w.handed, true
	}
	p.waiters = slices.Delete(p.waiters, at, at+1)
	return relay.Place{}, false
}

// successor returns the request of this node that gets a place next, and ends its wait, or
// nil if the place goes back to the owner.
func (p *Places) successor(place relay.Place, rejected bool) *placeWaiter {
	if rejected || place.Handovers >= maxHandovers {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1
	for i, w := range p.waiters {
		fits := slices.ContainsFunc(w.ask.Candidates, func(c concurrency.Candidate[inventory.Key]) bool { return c.Endpoint == place.Endpoint })
		if fits && (best < 0 || w.ask.Before(p.waiters[best].ask)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	w := p.waiters[best]
	p.waiters = slices.Delete(p.waiters, best, best+1)
	return w
}
