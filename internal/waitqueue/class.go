package waitqueue

import (
	"iter"
	"slices"
	"time"

	"chestnutgauge/internal/fairqueue"
)

const (
	// maxLead is the number of requests by which a team may exceed its fair share while others
	// wait, as admit.DefaultSettings has it.
	maxLead = 1
	// minWork is the least work that is charged for a request.
	minWork = 1
	// unlimitedDue ranks a request of a team without a limit on its response among those that have
	// one: as if it were due this long after its arrival.
	unlimitedDue = time.Second
)

// class shares the dispatches of one priority of a queue between teams.
type class struct {
	clock   fairqueue.Clock
	teams   map[string]*teamFlow
	waiting int
}

// teamFlow is the service of a team and the number of its waiting requests.
type teamFlow struct {
	flow    fairqueue.Flow
	waiting int
}

// work returns the work that is charged for the request.
func (r Request) work() float64 {
	return max(r.Work, minWork)
}

// urgency is the time by which requests of teams are ordered.
func (r Request) urgency() time.Time {
	if r.Due.IsZero() {
		return r.Arrived.Add(unlimitedDue)
	}
	return r.Due
}

// class returns the class of a priority, and adds it if there is none.
func (q *queue) class(priority int) *class {
	c, ok := q.classes[priority]
	if !ok {
		c = &class{teams: map[string]*teamFlow{}}
		q.classes[priority] = c
	}
	return c
}

// team returns the flow of a team. If it has none, it starts the given work behind the current
// virtual time.
func (c *class) team(name string, lead float64) *teamFlow {
	t, ok := c.teams[name]
	if !ok {
		t = &teamFlow{}
		c.clock.Join(&t.flow, lead)
		c.teams[name] = t
	}
	return t
}

// add counts a request that is added to the queue. lead is the work by which its team is ahead of
// its fair share elsewhere.
func (q *queue) add(r Request, lead float64) {
	c := q.class(r.Priority)
	c.waiting++
	c.team(r.Team, lead).waiting++
}

// charge counts a request that is dispatched.
func (c *class) charge(r Request) {
	c.clock.Charge(&c.team(r.Team, 0).flow, r.work())
	fairqueue.Advance(&c.clock, c.waitingTeams())
}

// waitingTeams gives the flow and the name of each team with waiting requests.
func (c *class) waitingTeams() iter.Seq2[*fairqueue.Flow, string] {
	return func(yield func(*fairqueue.Flow, string) bool) {
		for name, t := range c.teams {
			if t.waiting > 0 && !yield(&t.flow, name) {
				return
			}
		}
	}
}

// remove counts a request that is removed from the queue. Teams that have no waiting requests and
// have not received more than their fair share are dropped, so that the state stays proportional
// to the waiting requests.
func (q *queue) remove(r Request) {
	c := q.classes[r.Priority]
	c.waiting--
	c.teams[r.Team].waiting--
	if c.waiting == 0 {
		delete(q.classes, r.Priority)
		return
	}
	for name, t := range c.teams {
		if t.waiting == 0 && c.clock.Lead(&t.flow) == 0 {
			delete(c.teams, name)
		}
	}
}

// group is the requests of one team in dispatch order, with its service once those that precede
// the first of them are dispatched.
type group struct {
	team  string
	flow  fairqueue.Flow
	items []*Waiter
}

// groups returns the requests of one class by team, in order of their first request.
func (c *class) groups(waiters []*Waiter) []*group {
	var out []*group
	byTeam := map[string]*group{}
	for _, w := range waiters {
		g, ok := byTeam[w.Team]
		if !ok {
			g = &group{team: w.Team, flow: c.team(w.Team, 0).flow}
			byTeam[w.Team] = g
			out = append(out, g)
		}
		g.items = append(g.items, w)
	}
	return out
}

// next returns the group whose first request is dispatched next, or nil.
func next(clock *fairqueue.Clock, groups []*group, now time.Time) *group {
	heads := func(yield func(*fairqueue.Flow, *group) bool) {
		for _, g := range groups {
			if len(g.items) > 0 && !yield(&g.flow, g) {
				return
			}
		}
	}
	lead := func(g *group) float64 { return maxLead * g.items[0].work() }
	before := func(a, b *group) bool { return a.items[0].before(b.items[0].Request, now) }
	first, _ := fairqueue.Next(clock, heads, lead, before)
	return first
}

// sort sorts the requests of a group into dispatch order.
func (g *group) sort(now time.Time) {
	slices.SortStableFunc(g.items, func(a, b *Waiter) int {
		switch {
		case a.before(b.Request, now):
			return -1
		case b.before(a.Request, now):
			return 1
		}
		return 0
	})
}

// order sorts the requests of one class into dispatch order, and sets until when each is held back.
// Those that are held back come last, in the order in which they are held.
func (c *class) order(qs *Queues, waiters []*Waiter, now time.Time) {
	groups := c.groups(waiters)
	var held []*Waiter
	for _, g := range groups {
		g.sort(now)
		g.markHeld(qs, now)
		if i := slices.IndexFunc(g.items, func(w *Waiter) bool { return w.heldUntil.After(now) }); i >= 0 {
			free := make([]*Waiter, 0, len(g.items))
			for _, w := range g.items {
				if w.heldUntil.After(now) {
					held = append(held, w)
				} else {
					free = append(free, w)
				}
			}
			g.items = free
		}
	}
	slices.SortStableFunc(held, func(a, b *Waiter) int { return a.heldUntil.Compare(b.heldUntil) })
	if len(groups) == 1 {
		// Without teams, the order needs no shares.
		copy(waiters, groups[0].items)
		copy(waiters[len(groups[0].items):], held)
		return
	}
	clock := c.clock
	for i := range len(waiters) - len(held) {
		g := next(&clock, groups, now)
		waiters[i] = g.items[0]
		clock.Charge(&g.flow, g.items[0].work())
		g.items = g.items[1:]
	}
	copy(waiters[len(waiters)-len(held):], held)
}

// hasAhead reports whether one of the requests of the class, which are in dispatch order, is
// dispatched before a request that arrives now and is not held back.
func (c *class) hasAhead(waiters []*Waiter, req Request, now time.Time) bool {
	if i := slices.IndexFunc(waiters, func(w *Waiter) bool { return w.heldUntil.After(now) }); i >= 0 {
		waiters = waiters[:i]
	}
	groups := c.groups(waiters)
	newcomer := &Waiter{Request: req}
	i := slices.IndexFunc(groups, func(g *group) bool { return g.team == req.Team })
	if i < 0 {
		g := &group{team: req.Team, items: []*Waiter{newcomer}}
		if t := c.teams[req.Team]; t != nil {
			g.flow = t.flow
		}
		c.clock.Join(&g.flow, 0)
		groups = append(groups, g)
	} else if !groups[i].items[0].before(req, now) {
		groups[i].items[0] = newcomer
	}
	clock := c.clock
	return next(&clock, groups, now).items[0] != newcomer
}
