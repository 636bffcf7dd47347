package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// waitingTTL is the time for which a node's waiting requests count after its last report.
	waitingTTL = time.Second
	// contendedTime is the time for which a service counts as contended after a team was last behind
	// its fair share. Requests wait for tens of milliseconds, so that most reports miss them.
	contendedTime = time.Second
	// unmetTime is the time for which the refused requests of a team count after it last had requests
	// that waited or were refused.
	unmetTime = 500 * time.Millisecond
	// beginRatio is the ratio of the recent average to the long one from which a team counts as one
	// that begins to ask. Below it, the recent one is noise.
	beginRatio = 1.5
	// leadsTTL is the time for which computed leads are returned again: reports of many nodes
	// arrive between two changes that matter.
	leadsTTL = 50 * time.Millisecond
)

// Aggregator adds up the reports of all nodes. Its state is proportional to the teams in use and
// to the requests that wait. Its methods are safe for concurrent use.
type Aggregator struct {
	mu    sync.Mutex
	teams map[Key]*total
	// waiting are the waiting requests that each node last reported.
	waiting map[string]nodeWaiting
	// contended are the services for which a team was behind its fair share, with the last time.
	contended map[sharing]time.Time
	// leads is the last result of Leads, as of leadsAt.
	leads   []Lead
	leadsAt time.Time
}

// total is the use of one team at one service over all nodes.
type total struct {
	served, refused             average
	recentServed, recentRefused average
	waiting                     float64
	// unmetAt is when a node last reported that requests of the team waited or were refused.
	unmetAt time.Time
}

// add adds reported work.
func (t *total) add(u Use, now time.Time) {
	served, refused := max(0, u.Served), max(0, u.Refused)
	t.served.add(served, now, averageTime)
	t.refused.add(refused, now, averageTime)
	t.recentServed.add(served, now, recentTime)
	t.recentRefused.add(refused, now, recentTime)
}

// rates returns the work per second that the team got and asked for. The recent average counts if
// the team got much more lately.
func (t *total) rates(now time.Time) (served, demand float64) {
	t.add(Use{}, now)
	constant := averageTime.Seconds()
	served, refused := t.served.sum/constant, t.refused.sum/constant
	if recent := t.recentServed.sum / recentTime.Seconds(); recent > beginRatio*served {
		served, refused = recent, t.recentRefused.sum/recentTime.Seconds()
	}
	return served, served + refused + t.waiting/constant
}

// nodeWaiting is a node's uses that have waiting requests, as of the report received at a time.
type nodeWaiting struct {
	uses []Use
	at   time.Time
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{teams: map[Key]*total{}, waiting: map[string]nodeWaiting{}, contended: map[sharing]time.Time{}}
}

// Add adds a node's report.
func (a *Aggregator) Add(node string, uses []Use, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeWaiting(node)
	var waiting []Use
	for _, u := range uses {
		t, ok := a.teams[u.Key]
		if !ok {
			t = &total{}
			a.teams[u.Key] = t
		}
		t.add(u, now)
		if u.Waiting > 0 || u.Refused > 0 {
			t.unmetAt = now
		}
		if u.Waiting > 0 {
			t.waiting += u.Waiting
			waiting = append(waiting, u)
		}
	}
	if len(waiting) > 0 {
		a.waiting[node] = nodeWaiting{uses: waiting, at: now}
	}
}

// removeWaiting drops the waiting requests that a node has reported. The caller holds mu.
func (a *Aggregator) removeWaiting(node string) {
	for _, u := range a.waiting[node].uses {
		if t := a.teams[u.Key]; t != nil {
			t.waiting = max(0, t.waiting-u.Waiting)
		}
	}
	delete(a.waiting, node)
}

// sharing is what the teams of one service and priority share.
type sharing struct {
	service  string
	priority int
}

// Leads returns the teams that are ahead of their fair share of a service while others wait for
// it, at most MaxEntries: those with the largest lead.
func (a *Aggregator) Leads(now time.Time) []Lead {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.teams) == 0 {
		return nil
	}
	if !a.leadsAt.IsZero() && now.Sub(a.leadsAt) < leadsTTL {
		return a.leads
	}
	a.leadsAt = now
	for node, w := range a.waiting {
		if now.Sub(w.at) > waitingTTL {
			a.removeWaiting(node)
		}
	}
	groups := map[sharing][]Key{}
	for key, t := range a.teams {
		if t.demand(now) < minDemand {
			delete(a.teams, key)
			continue
		}
		group := sharing{key.Service, key.Priority}
		groups[group] = append(groups[group], key)
	}
	a.leads = nil
	maps.DeleteFunc(a.contended, func(_ sharing, at time.Time) bool { return now.Sub(at) > contendedTime })
	for group, keys := range groups {
		leads, behind := a.leadsAmong(keys, now)
		if behind {
			a.contended[group] = now
		}
		if _, ok := a.contended[group]; ok {
			a.leads = append(a.leads, leads...)
		}
	}
	slices.SortFunc(a.leads, func(x, y Lead) int { return cmp.Compare(y.Ahead, x.Ahead) })
	a.leads = a.leads[:min(len(a.leads), MaxEntries)]
	return a.leads
}

// demand returns the averaged work that the team asked for.
func (t *total) demand(now time.Time) float64 {
	return t.served.add(0, now, averageTime) + t.refused.add(0, now, averageTime) + t.waiting
}

// leadsAmong returns the leads among teams that share the same, and whether one is behind its share.
// The caller holds mu.
func (a *Aggregator) leadsAmong(keys []Key, now time.Time) (leads []Lead, behind bool) {
	capacity := 0.0
	demands, served := make([]float64, len(keys)), make([]float64, len(keys))
	for i, key := range keys {
		served[i], demands[i] = a.teams[key].rates(now)
		capacity += served[i]
	}
	shares := Shares(demands, capacity)
	for i, key := range keys {
		lately := now.Sub(a.teams[key].unmetAt) <= unmetTime
		behind = behind || lately && shares[i]-served[i] > behindTolerance*demands[i]
		if ahead := served[i] - shares[i]; ahead > 0 {
			leads = append(leads, Lead{
				Key: key, Ahead: round(ahead * averageTime.Seconds()), PerSecond: round(shares[i]),
				Demand: round(a.teams[key].demand(now)),
			})
		}
	}
	return leads, behind
}
