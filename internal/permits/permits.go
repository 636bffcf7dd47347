// Package permits limits how many VMs load from the weight store at full speed
// at the same time: a load takes one of a few permits, stored in one row of the
// table. The most urgent load gets the next permit. Permits are an
// optimisation, not required for correctness: a load that gets none in time
// proceeds without one. All functions are pure.
package permits

import (
	"cmp"
	"slices"
	"time"
)

// Settings are the settings of the permits.
type Settings struct {
	// Permits is the number of loads that may run at full speed concurrently.
	Permits int
	// Lease is the maximum time for which a permit is held.
	Lease time.Duration
	// WaitLease is how long a waiting claim is valid without a renewal.
	WaitLease time.Duration
	// MaxWait is the maximum wait for a permit.
	MaxWait time.Duration
	// OutageWait is the maximum wait while the table is unavailable.
	OutageWait time.Duration
	// Poll is the mean interval at which the row is polled.
	Poll time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Permits:    4,
		Lease:      time.Minute,
		WaitLease:  5 * time.Second,
		MaxWait:    10 * time.Second,
		OutageWait: time.Second,
		Poll:       200 * time.Millisecond,
	}
}

// Claim is a load that holds a permit or waits for one.
type Claim struct {
	ID string `json:"id"`
	// Deadline is the earliest deadline among the waiting callers. Zero means that
	// no caller waits: the model is preloaded.
	Deadline time.Time `json:"deadline"`
	// Expected is the duration of the load at full speed.
	Expected time.Duration `json:"expected"`
	// Expires is when the claim becomes invalid.
	Expires time.Time `json:"expires"`
}

// Row is the value of the permits' row.
type Row struct {
	Holders []Claim `json:"holders"`
	Waiting []Claim `json:"waiting"`
}

// class returns the priority class of a claim, 0 for the most urgent. Classes
// take precedence over deadlines.
func (c Claim) class(now time.Time) int {
	switch {
	case c.Deadline.IsZero():
		return 2
	case now.Add(c.Expected).After(c.Deadline):
		// The load cannot complete before the callers' deadline.
		return 1
	}
	return 0
}

// Compare orders claims by urgency: first those whose deadline can still be
// met, then those whose deadline cannot, then loads without waiting callers;
// within each group by deadline, then by id.
func Compare(a, b Claim, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.class(now), b.class(now)),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.ID, b.ID),
	)
}

// Result is the result of Acquire.
type Result struct {
	Row     Row
	Granted bool
	// Changed means that Row has to be written to the table.
	Changed bool
}

// Acquire grants a permit to a claim if there are more free permits than
// waiting claims that are more urgent, and otherwise adds the claim to the
// waiting ones. For a claim that already holds a permit, it returns Granted
// without a change. A waiting claim is renewed once half of its lease has
// passed.
func Acquire(s Settings, row Row, claim Claim, now time.Time) Result {
	row = Row{Holders: unexpired(row.Holders, now), Waiting: unexpired(row.Waiting, now)}
	if index(row.Holders, claim.ID) >= 0 {
		return Result{Row: row, Granted: true}
	}
	own := index(row.Waiting, claim.ID)
	if s.Permits-len(row.Holders) > moreUrgent(row.Waiting, claim, now) {
		row.Waiting = without(row.Waiting, claim.ID)
		claim.Expires = now.Add(s.Lease)
		row.Holders = append(row.Holders, claim)
		return Result{Row: row, Granted: true, Changed: true}
	}
	if own >= 0 && row.Waiting[own].Expires.Sub(now) > s.WaitLease/2 {
		return Result{Row: row}
	}
	row.Waiting = without(row.Waiting, claim.ID)
	claim.Expires = now.Add(s.WaitLease)
	row.Waiting = append(row.Waiting, claim)
	return Result{Row: row, Changed: true}
}

// Release removes a claim from the row, and reports whether the row changed.
func Release(row Row, id string) (Row, bool) {
	next := Row{Holders: without(row.Holders, id), Waiting: without(row.Waiting, id)}
	changed := len(next.Holders) != len(row.Holders) || len(next.Waiting) != len(row.Waiting)
	return next, changed
}

// Share returns the number of permits, out of total, that the node with a rank
// among nodes may use while the table is unavailable. The shares of all nodes
// add up to total. A node with a share of 0 waits for the maximum time that the
// settings allow.
func Share(total, rank, nodes int) int {
	if nodes <= 0 {
		return total
	}
	share := total / nodes
	if rank < total%nodes {
		share++
	}
	return share
}

// moreUrgent returns the number of waiting claims that are more urgent.
func moreUrgent(waiting []Claim, claim Claim, now time.Time) int {
	n := 0
	for _, other := range waiting {
		if other.ID != claim.ID && Compare(other, claim, now) < 0 {
			n++
		}
	}
	return n
}

// unexpired returns the claims that have not expired.
func unexpired(claims []Claim, now time.Time) []Claim {
	return slices.DeleteFunc(slices.Clone(claims), func(c Claim) bool { return !c.Expires.After(now) })
}

// index returns the index of the claim with an id, or -1.
func index(claims []Claim, id string) int {
	return slices.IndexFunc(claims, func(c Claim) bool { return c.ID == id })
}

// without returns the claims except the one with an id.
func without(claims []Claim, id string) []Claim {
	return slices.DeleteFunc(slices.Clone(claims), func(c Claim) bool { return c.ID == id })
}
