// Package lease lets one node at a time hold a lease that lies in a store whose
// answers may get lost. The holder counts the lease's term from before the
// renewal was sent; a successor counts it from after, and leaves a gap. The
// decisions are pure; Keeper carries them out.
package lease

import (
	"time"
)

// Record is the lease as it lies in the store.
type Record struct {
	// Holder is the address of the holder's machine, Peer where its process is
	// reached by other nodes.
	Holder string `json:"holder"`
	Peer   string `json:"peer"`
	// Tenure names one tenure of a process.
	Tenure string `json:"tenure"`
	// RenewedMS is the renewal by the store's clock, never too early.
	RenewedMS int64 `json:"renewed_ms"`
	// Released tells that the holder gave its last order before RenewedMS.
	Released bool `json:"released"`
}

// Settings of a lease.
type Settings struct {
	// Term is how long a renewal lasts.
	Term time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Gap is the least time between the acts of two holders.
	Gap time.Duration
}

// Margin is added to the gap, for acts that are on their way.
const Margin = 150 * time.Millisecond

// TakeIn says after which time the node at an address may take the lease and
// act. found is false if there is no lease yet; nowMS is the store's clock.
//
// Another node takes the lease only once it may act, so that until then the
// holder, or a new process on its machine, can go on at once.
func TakeIn(record Record, found bool, self string, nowMS int64, s Settings) time.Duration {
	if !found || record.Holder == self {
		return 0
	}
	ended := record.RenewedMS
	if !record.Released {
		ended += s.Term.Milliseconds()
	}
	left := time.Duration(ended-nowMS) * time.Millisecond
	return max(0, left+s.Gap+Margin)
}

// Clock estimates the store's clock from its answers, never too early.
type Clock struct {
	nowMS int64
	// askedAt is the local time at which the answer's call was sent.
	askedAt time.Duration
	known   bool
}

// Answered takes over the store's clock from the answer to a call that was sent
// at a local time.
func (c *Clock) Answered(nowMS int64, askedAt time.Duration) {
	c.nowMS, c.askedAt, c.known = nowMS, askedAt, true
}

// LatestMS returns the latest that the store's clock can show at a local time.
func (c *Clock) LatestMS(at time.Duration) (int64, bool) {
	return c.nowMS + (at - c.askedAt).Milliseconds() + 1, c.known
}
