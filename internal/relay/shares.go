package relay

import (
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/inventory"
)

// holdTTL is the time for which a node holds teams back after it has sent the report that the
// owner's answer belongs to: a node that hears nothing more shares by what it knows itself.
const holdTTL = time.Second

// urgentInterval is the shortest interval of reports that are requested because requests begin to
// wait. A flood is then found within two of them; with the usual reports it takes all slots for half
// a second.
const urgentInterval = 100 * time.Millisecond

// waitedForShare is the reason of a wait in which the request was held back for other teams.
const waitedForShare = "share"

// heldTeams are the teams that a node holds back, for the log.
type heldTeams struct {
	mu    sync.Mutex
	teams map[fairshare.Key]*heldTeam
	// requestedAt is when a report was last requested.
	requestedAt time.Time
}

// heldTeam is a team that is held back since a time, and the number of its requests that were.
type heldTeam struct {
	since    time.Time
	requests int
}

// HoldBack applies the owner's answer to a report that was sent at a time: it limits the dispatches
// of the teams that are ahead of their fair share while others wait.
func (r *Relay) HoldBack(leads []fairshare.Lead, sent time.Time) {
	now := time.Now()
	holds := r.Shares.Holds(leads, now)
	r.queues.SetHolds(holds, sent.Add(holdTTL), now)
	r.held.mu.Lock()
	defer r.held.mu.Unlock()
	for key, team := range r.held.teams {
		if slices.ContainsFunc(holds, func(h fairshare.Hold) bool { return h.Key == key }) {
			continue
		}
		r.Log.Info("team no longer held back", "team", key.Team, "service", key.Service, "priority", key.Priority,
			"held_ms", now.Sub(team.since).Milliseconds(), "requests", team.requests)
		delete(r.held.teams, key)
	}
	for _, h := range holds {
		if r.held.teams[h.Key] != nil {
			continue
		}
		if r.held.teams == nil {
			r.held.teams = map[fairshare.Key]*heldTeam{}
		}
		r.held.teams[h.Key] = &heldTeam{since: now}
		r.Log.Info("team held back", "team", h.Team, "service", h.Service, "priority", h.Priority,
			"ahead", h.Ahead, "per_second", h.PerSecond)
	}
	teamsHeldBack.Set(float64(len(r.held.teams)))
}

// countHeld counts a request that was held back.
func (r *Relay) countHeld(key fairshare.Key) {
	requestsHeldBack.Inc()
	r.held.mu.Lock()
	defer r.held.mu.Unlock()
	if team := r.held.teams[key]; team != nil {
		team.requests++
	}
}

// heldBack reports whether the request has to leave a slot of an endpoint to other teams.
func (w *wait) heldBack(endpoint *inventory.Endpoint) bool {
	now := time.Now()
	if w.waiter == nil || !w.waiter.Held(now) {
		return false
	}
	view := w.x.relay.loads.View(endpoint.ID, now)
	if !fairshare.Scarce(float64(view.InFlight)+view.OtherLoad, endpoint.Slots) {
		return false
	}
	if !w.held {
		w.held = true
		w.x.relay.countHeld(w.shareKey())
	}
	return true
}

// shareKey identifies what the request shares with those of other teams.
func (w *wait) shareKey() fairshare.Key {
	return fairshare.Key{Service: w.key.Service, Priority: w.x.priority(), Team: w.x.teamName()}
}

// measured reports whether the request counts in the shares of teams.
func (w *wait) measured() bool {
	return w.x.catalog.Teams != nil
}

// measureWaiting adds n to the requests that wait for room. Restricted ones don't count: the slots
// of other teams might be of no use to them.
func (w *wait) measureWaiting(n int) {
	if !w.measured() || w.waiter.Restricted {
		return
	}
	w.x.relay.Shares.AddWaiting(w.shareKey(), float64(n)*w.waiter.Work)
	if n > 0 && w.x.relay.held.reportNow(time.Now()) {
		w.x.relay.Demand.RequestReport()
	}
}

// reportNow reports whether a request that begins to wait is reported at once.
func (h *heldTeams) reportNow(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.requestedAt) < urgentInterval {
		return false
	}
	h.requestedAt = now
	return true
}

// measureEnd counts the request as dispatched to an endpoint or, if it waited for room and got no
// way to one, as refused.
func (w *wait) measureEnd(found, dispatched bool) {
	if !w.measured() {
		return
	}
	if w.waiter != nil {
		w.measureWaiting(-1)
	}
	switch {
	case dispatched:
		w.x.relay.Shares.Served(w.shareKey(), w.x.work())
	case !found && w.waiter != nil && !w.waiter.Restricted:
		w.x.relay.Shares.Refused(w.shareKey(), w.x.work())
		if w.held {
			heldRefused.Inc()
		}
	}
}
