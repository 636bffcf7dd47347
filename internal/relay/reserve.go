package relay

import (
	"math"
	"slices"
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/reserve"
)

// queuePriority returns the priority with which the request waits.
func (x *exchange) queuePriority() int {
	if x.required.Required {
		return resumedPriority
	}
	return x.priority()
}

// leaveRoom has the candidates appear full whose room the request leaves to waiting requests that can
// use fewer endpoints. It records which endpoints the request itself can use if these are few, and
// not all of the service.
func (x *exchange) leaveRoom(candidates []choose.Candidate, now time.Time) []choose.Candidate {
	usable := slices.Collect(func(yield func(choose.Candidate) bool) {
		for _, c := range candidates {
			if !c.Unreachable && !c.Leaving && !c.EjectedUntil.After(now) && !yield(c) {
				return
			}
		}
	})
	x.fewEndpoints = x.fewEndpoints[:0]
	if len(usable) <= reserve.MaxEndpoints && len(usable) < len(x.relay.Inventory.Current().Service(x.service.Name)) {
		for _, c := range usable {
			x.fewEndpoints = append(x.fewEndpoints, c.Name)
		}
	}
	claims := x.relay.claims.Claims(x.service.Name, now)
	if len(claims) == 0 {
		return candidates
	}
	var room []reserve.Room
	for _, c := range usable {
		free := math.MaxFloat64
		if c.Limit > 0 {
			free = float64(c.Limit) - c.Load()
		}
		if free >= 1 {
			room = append(room, reserve.Room{Name: c.Name, Free: free})
		}
	}
	left := reserve.Left(reserve.Request{Priority: x.queuePriority(), Usable: len(usable)}, room, claims, now)
	if len(left) > 0 {
		roomLeft.Inc()
	}
	for i, c := range candidates {
		if slices.Contains(left, c.Name) {
			candidates[i].OtherLoad += float64(c.Limit)
		}
	}
	return candidates
}

// claim claims the few endpoints that the request can use if none of them has room for it, or other
// requests of its queue precede it.
func (w *wait) claim(verdict choose.Verdict) {
	now := time.Now()
	if verdict != choose.Full || w.waiter == nil || w.waiter.Held(now) || w.x.limitsRejections() {
		return
	}
	w.claimed = true
	w.x.relay.claims.Claim(w.key.Service, w.x.req.ID, reserve.Claim{
		Priority: w.x.queuePriority(), Endpoints: slices.Clone(w.x.fewEndpoints), At: now,
	})
}
