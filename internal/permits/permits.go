// Package permits shares the weight store's full speed over all VMs: a load
// from the store takes one of a few permits, kept in one row of the table. The
// most urgent load goes first. The permits bound speed, not safety: a load
// that gets none in time goes on without. All functions are pure.
package permits

import (
	"cmp"
	"slices"
	"time"
)

// Settings of the permits.
type Settings struct {
	// Permits is the number of loads that run at full speed at once.
	Permits int
	// Lease is how long a permit is held at most.
	Lease time.Duration
	// WaitLease is how long a waiting claim counts without being renewed.
	WaitLease time.Duration
	// MaxWait is the longest wait for a permit.
	MaxWait time.Duration
	// OutageWait is the longest wait while the table is away.
	OutageWait time.Duration
	// Poll is the mean time between two looks at the row.
	Poll time.Duration
}

// DefaultSettings returns the settings used when none are given.
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

// Claim is one load that holds a permit or waits for one.
type Claim struct {
	ID string `json:"id"`
	// Deadline is that of the nearest caller. Zero means that nobody waits:
	// the load warms a model ahead.
	Deadline time.Time `json:"deadline"`
	// Expected is the time that the load takes at full speed.
	Expected time.Duration `json:"expected"`
	// Expires is when the claim no longer counts.
	Expires time.Time `json:"expires"`
}

// Row is the value of the permits' row.
type Row struct {
	Holders []Claim `json:"holders"`
	Waiting []Claim `json:"waiting"`
}

// class orders claims before their deadlines do.
func (c Claim) class(now time.Time) int {
	switch {
	case c.Deadline.IsZero():
		return 2
	case now.Add(c.Expected).After(c.Deadline):
		// Its callers can't be answered in time any more.
		return 1
	}
	return 0
}

// Compare orders claims by urgency: the nearest deadline that can still be
// met first, then those that can't, then loads that nobody waits for.
func Compare(a, b Claim, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.class(now), b.class(now)),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.ID, b.ID),
	)
}

// Answer is what became of a claim.
type Answer struct {
	Row     Row
	Granted bool
	// Changed means that Row has to be written.
	Changed bool
}

// Ask takes a permit for a claim if one is free and no other waiting claim is
// more urgent, else lets it wait. A claim that waits or holds already keeps
// its place; it is renewed once half of its lease has passed.
func Ask(s Settings, row Row, claim Claim, now time.Time) Answer {
	row = Row{Holders: live(row.Holders, now), Waiting: live(row.Waiting, now)}
	if index(row.Holders, claim.ID) >= 0 {
		return Answer{Row: row, Granted: true}
	}
	own := index(row.Waiting, claim.ID)
	if s.Permits-len(row.Holders) > ahead(row.Waiting, claim, now) {
		row.Waiting = without(row.Waiting, claim.ID)
		claim.Expires = now.Add(s.Lease)
		row.Holders = append(row.Holders, claim)
		return Answer{Row: row, Granted: true, Changed: true}
	}
	if own >= 0 && row.Waiting[own].Expires.Sub(now) > s.WaitLease/2 {
		return Answer{Row: row}
	}
	row.Waiting = without(row.Waiting, claim.ID)
	claim.Expires = now.Add(s.WaitLease)
	row.Waiting = append(row.Waiting, claim)
	return Answer{Row: row, Changed: true}
}

// Release takes a claim out of the row. It reports whether the row changed.
func Release(row Row, id string) (Row, bool) {
	next := Row{Holders: without(row.Holders, id), Waiting: without(row.Waiting, id)}
	changed := len(next.Holders) != len(row.Holders) || len(next.Waiting) != len(row.Waiting)
	return next, changed
}

// Share returns the part of total that the node of a rank among nodes takes
// while the row can't be reached. The parts add up to total. A node without a
// part waits for the longest time that the settings allow.
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

// ahead returns the number of waiting claims that are more urgent.
func ahead(waiting []Claim, claim Claim, now time.Time) int {
	n := 0
	for _, other := range waiting {
		if other.ID != claim.ID && Compare(other, claim, now) < 0 {
			n++
		}
	}
	return n
}

func live(claims []Claim, now time.Time) []Claim {
	return slices.DeleteFunc(slices.Clone(claims), func(c Claim) bool { return !c.Expires.After(now) })
}

func index(claims []Claim, id string) int {
	return slices.IndexFunc(claims, func(c Claim) bool { return c.ID == id })
}

func without(claims []Claim, id string) []Claim {
	return slices.DeleteFunc(slices.Clone(claims), func(c Claim) bool { return c.ID == id })
}
