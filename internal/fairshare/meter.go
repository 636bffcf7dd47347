package fairshare

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// minDemand is the averaged work below which a node drops a team.
const minDemand = 0.01

// Meter measures the work of teams at one node. Its methods are safe for concurrent use, also on
// nil.
type Meter struct {
	mu    sync.Mutex
	teams map[Key]*measured
}

// measured is the work of one team at one service.
type measured struct {
	// unreported holds what the next report says.
	unreported Use
	// demand is the averaged work that was dispatched or refused, waiting that of the requests that
	// waited, as of the last report. The owner has the sums of the same, so that the parts of all
	// nodes add up to 1.
	demand  average
	waiting float64
}

// NewMeter returns a meter that has measured nothing.
func NewMeter() *Meter {
	return &Meter{teams: map[Key]*measured{}}
}

// change applies a change to the measurements of a team.
func (m *Meter) change(key Key, apply func(*measured)) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.teams[key]
	if !ok {
		t = &measured{unreported: Use{Key: key}}
		m.teams[key] = t
	}
	apply(t)
}

// Served counts a request that is dispatched.
func (m *Meter) Served(key Key, work float64) {
	m.change(key, func(t *measured) { t.unreported.Served += work })
}

// Refused counts a request that waited for room and was refused.
func (m *Meter) Refused(key Key, work float64) {
	m.change(key, func(t *measured) { t.unreported.Refused += work })
}

// AddWaiting adds work, which may be negative, to that of the requests that wait for room.
func (m *Meter) AddWaiting(key Key, work float64) {
	m.change(key, func(t *measured) { t.unreported.Waiting = max(0, t.unreported.Waiting+work) })
}

// Report returns the use since the last report, at most MaxEntries: those with the most work come
// first, and the rest is kept for the next report.
func (m *Meter) Report(now time.Time) []Use {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var uses []Use
	for key, t := range m.teams {
		t.waiting = 0
		switch {
		case t.unreported != (Use{Key: key}):
			uses = append(uses, t.unreported)
		case t.demand.add(0, now, averageTime) < minDemand:
			delete(m.teams, key)
		}
	}
	slices.SortFunc(uses, func(a, b Use) int { return cmp.Compare(b.work(), a.work()) })
	uses = uses[:min(len(uses), MaxEntries)]
	for _, u := range uses {
		t := m.teams[u.Key]
		t.demand.add(u.Served+u.Refused, now, averageTime)
		t.waiting = u.Waiting
		t.unreported.Served, t.unreported.Refused = 0, 0
	}
	return uses
}

func (u Use) work() float64 {
	return u.Served + u.Refused + u.Waiting
}

// Holds returns this node's parts of the limits on teams that are ahead of their fair share, in
// proportion to the node's part of their demand.
func (m *Meter) Holds(leads []Lead, now time.Time) []Hold {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var holds []Hold
	for _, lead := range leads {
		t, ok := m.teams[lead.Key]
		if !ok || lead.Demand <= 0 {
			// What the team asks for here is not known before the next report.
			continue
		}
		part := min(1, (t.demand.add(0, now, averageTime)+t.waiting)/lead.Demand)
		if part <= 0 {
			continue
		}
		holds = append(holds, Hold{Key: lead.Key, Ahead: part * lead.Ahead, PerSecond: part * lead.PerSecond})
	}
	return holds
}
