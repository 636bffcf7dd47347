// Package fairqueue shares capacity fairly between flows: the streams of requests of different
// parties, such as teams or organisations. The next request is the one that comes first among
// the flows that have not received more than their fair share. This is earliest eligible virtual
// deadline first, from I. Stoica and H. Abdel-Wahab, Old Dominion University TR-95-22, 1995, with
// flows in place of tasks and the order of their requests in place of virtual deadlines. The
// package reads no clock, and its types are not safe for concurrent use.
package fairqueue

import "iter"

// Flow is the service that one party has received. The zero value has received none.
type Flow struct {
	served float64
}

// Served returns the work that the flow has received, on the virtual clock of its group.
func (f *Flow) Served() float64 {
	return f.served
}

// Clock is the virtual time of the flows that share some capacity: the work that a flow with
// exactly its fair share has received. It never decreases. The zero value is ready for use.
type Clock struct {
	now float64
}

// Join starts a flow that had no waiting requests at the current virtual time, so that it is not
// compensated for the time in which it asked for nothing. lead is the work that it has received
// elsewhere in excess of its fair share.
func (c *Clock) Join(f *Flow, lead float64) {
	f.served = max(f.served, c.now+lead)
}

// Charge adds the work of a request that starts to a flow.
func (c *Clock) Charge(f *Flow, work float64) {
	f.served += work
}

// Lead returns the work by which a flow exceeds its fair share, or 0.
func (c *Clock) Lead(f *Flow) float64 {
	return max(0, f.served-c.now)
}

// Advance moves the virtual time forward to the lowest service among the flows with waiting
// requests, which heads gives with the first of these.
func Advance[R any](c *Clock, heads iter.Seq2[*Flow, R]) {
	lowest, found := 0.0, false
	for f := range heads {
		if !found || f.served < lowest {
			lowest, found = f.served, true
		}
	}
	if found {
		c.now = max(c.now, lowest)
	}
}

// Next returns the request that is dispatched next, or false if heads is empty. heads gives each
// flow with waiting requests, with the first of these. Flows that exceed their fair share by more
// than maxLead of their request wait for the others. Of the rest, the request that is before all
// others is next.
func Next[R any](c *Clock, heads iter.Seq2[*Flow, R], maxLead func(R) float64, before func(a, b R) bool) (next R, ok bool) {
	Advance(c, heads)
	for f, head := range heads {
		if f.served > c.now+maxLead(head) {
			continue
		}
		if !ok || before(head, next) {
			next, ok = head, true
		}
	}
	return next, ok
}
