// Package lease grants a lease to one node at a time. The lease is a row in a
// shared store whose responses may be lost. The holder counts the term of the
// lease from before it sends a renewal. A successor counts it from the latest
// time at which the renewal can have been made, and adds a gap. The rules are
// pure functions; Keeper applies them.
package lease

import (
	"time"
)

// Record is the lease as it is stored.
type Record struct {
	// Holder is the address of the holder's machine, Peer the address of its
	// process for other nodes.
	Holder string `json:"holder"`
	Peer   string `json:"peer"`
	// GrantID is the unique id of one grant of the lease to a process.
	GrantID string `json:"tenure"`
	// RenewedMS is the time of the last renewal by the store's clock, in
	// milliseconds. It may be later than the renewal, never earlier.
	RenewedMS int64 `json:"renewed_ms"`
	// Released reports that the holder sent its last order before RenewedMS.
	Released bool `json:"released"`
	// Era is the era of the store that the holder knew when it wrote the record.
	Era int64 `json:"era,omitempty"`
	// Renewal counts the renewals that the holder has sent, so that no two of its
	// writes are equal.
	Renewal int64 `json:"renewal,omitempty"`
	// Nodes are the addresses of the processes that the holder knows, separated by
	// commas.
	Nodes string `json:"nodes,omitempty"`
	// NodeCount is the number of processes that the holder knows if Nodes does not have all of
	// them.
	NodeCount int `json:"node_count,omitempty"`
}

// Settings are the settings of a lease.
type Settings struct {
	// Term is how long the lease is valid after a renewal.
	Term time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// Gap is the minimum time between the last action of one holder and the first
	// action of the next.
	Gap time.Duration
}

// Margin is added to the gap to allow for the holder's actions that are still
// in transit.
const Margin = 150 * time.Millisecond

// TakeoverDelay returns the time after which the node at address self may take
// the lease and act. found is false if the store has no lease yet; nowMS is the
// store's clock.
//
// A node takes another's lease only when it may also act, so that until then
// the holder, or a new process on its machine, can continue at once.
func TakeoverDelay(record Record, found bool, self string, nowMS int64, s Settings) time.Duration {
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

// Clock estimates the store's clock from its responses. An estimate may be
// late, never early.
type Clock struct {
	nowMS int64
	// sentAt is the local time at which the request was sent.
	sentAt time.Duration
	known  bool
}

// Answered records the store's clock from the response to a request that was
// sent at a local time.
func (c *Clock) Answered(nowMS int64, sentAt time.Duration) {
	c.nowMS, c.sentAt, c.known = nowMS, sentAt, true
}

// LatestMS returns the latest time that the store's clock can show at a local
// time, in milliseconds. It returns false if the store's clock is not known
// yet.
func (c *Clock) LatestMS(at time.Duration) (int64, bool) {
	return c.nowMS + (at - c.sentAt).Milliseconds() + 1, c.known
}
