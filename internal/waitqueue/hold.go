package waitqueue

import (
	"math"
	"time"

	"chestnutgauge/internal/fairshare"
)

const (
	// maxDebt is the time for which a team that is found to be ahead of its share gets nothing at
	// most, before it gets its fair share.
	maxDebt = 500 * time.Millisecond
	// maxCredit is the time of unused share that a team may use at once.
	maxCredit = 250 * time.Millisecond
	// maxHeld bounds the predicted hold of a request whose team may dispatch next to nothing.
	maxHeld = time.Minute
)

// hold limits the dispatches of a team that is ahead of its fair share over all nodes.
type hold struct {
	fairshare.Hold
	until time.Time
	// tokens is the work that may be dispatched as of updatedAt. It is negative while the team pays
	// for what it got in advance.
	tokens    float64
	updatedAt time.Time
}

// SetHolds replaces the limits on teams. They are in force until the given time. A team that was
// limited before keeps what it has used of its limit.
func (qs *Queues) SetHolds(holds []fairshare.Hold, until, now time.Time) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	before := qs.holds
	qs.holds = nil
	if len(holds) > 0 {
		qs.holds = make(map[fairshare.Key]*hold, len(holds))
	}
	for _, set := range holds {
		h := before[set.Key]
		if h == nil || now.After(h.until) {
			h = &hold{tokens: -min(set.Ahead, set.PerSecond*maxDebt.Seconds()), updatedAt: now}
		}
		h.refill(now)
		h.Hold, h.until = set, until
		qs.holds[set.Key] = h
	}
	if len(before) > 0 || len(holds) > 0 {
		for _, q := range qs.queues {
			q.rankedAt = time.Time{}
		}
	}
}

// refill adds the work that has become available since the last call.
func (h *hold) refill(now time.Time) {
	h.tokens = min(h.tokens+h.PerSecond*now.Sub(h.updatedAt).Seconds(), h.PerSecond*maxCredit.Seconds())
	h.updatedAt = now
}

// wait returns the time until a request may be dispatched before which the team dispatches
// the given work.
func (h *hold) wait(before float64) time.Duration {
	missing := before - h.tokens
	if missing < 0 {
		return 0
	}
	// A request may start on any credit above zero.
	seconds := missing / h.PerSecond
	if !(seconds < maxHeld.Seconds()) {
		return maxHeld
	}
	return time.Duration(math.Ceil(seconds*float64(time.Second))) + 1
}

// hold returns the limit in force on the requests of a queue that have the priority and team of
// req, or nil.
func (qs *Queues) hold(key Key, req Request, now time.Time) *hold {
	if len(qs.holds) == 0 || req.Exempt {
		return nil
	}
	h := qs.holds[fairshare.Key{Service: key.Service, Priority: req.Priority, Team: req.Team}]
	if h == nil || now.After(h.until) {
		return nil
	}
	h.refill(now)
	return h
}

// chargeHold counts a dispatched request towards the limit on its team.
func (qs *Queues) chargeHold(key Key, req Request, now time.Time) {
	if h := qs.hold(key, req, now); h != nil {
		h.tokens -= req.work()
	}
}

// markHeld sets until when each request of a group, which are in dispatch order, is held back.
// They are held one after the other.
func (g *group) markHeld(qs *Queues, now time.Time) {
	before := 0.0
	for _, w := range g.items {
		w.heldUntil = time.Time{}
		h := qs.hold(w.key, w.Request, now)
		if h == nil {
			continue
		}
		if wait := h.wait(before); wait > 0 {
			w.heldUntil = now.Add(wait)
		}
		before += w.work()
	}
}

// Held reports whether the request is held back because its team is ahead of its fair share while
// others wait.
func (w *Waiter) Held(now time.Time) bool {
	w.queues.mu.Lock()
	defer w.queues.mu.Unlock()
	w.queues.rank(w.key, now)
	return w.heldUntil.After(now)
}
