// Package retrybudget divides the additional retries that all nodes together may make in a window
// among the processes that may make them. A Pool, at the owner of the engines, grants parts; a Part
// is what one process holds. What a process holds, and what it may have used within the window, is
// granted to no other, whether the process restarts, is cut off or has been replaced, and whichever
// node is the owner. A process that has no part saves up to Base retries that its requests have
// earned. Time is passed in; it is that of a clock that counts suspension.
package retrybudget

import (
	"time"
)

// Lifetime is how long a process keeps its part without an answer of an owner.
const Lifetime = 20 * time.Second

// Shares of the additional retries that are not granted in parts.
const (
	// maxBase is the number of retries that any process may save up: one, as it could make none
	// otherwise.
	maxBase = 1.0
	// maxBaseShare is the largest share of the additional retries that all processes may save up
	// this way.
	maxBaseShare = 0.5
)

// Base returns the number of retries that each of a number of processes may save up without a part,
// of total additional retries. A process has none of them when it starts.
func Base(total float64, nodes int) float64 {
	return min(maxBase, maxBaseShare*total/float64(max(1, nodes)))
}

// Ask asks an owner for a part.
type Ask struct {
	// Process identifies the process: one that starts at the same address has another id.
	Process string `json:"process"`
	// Part is what the process holds of the additional retries.
	Part float64 `json:"part"`
	// Cooling is what it has used within the window of a larger part that it held before.
	Cooling float64 `json:"cooling,omitempty"`
}

// Answer is what an owner grants.
type Answer struct {
	// Part is the number of additional retries that the process may hold.
	Part float64 `json:"part"`
	// NotOwner means that the node that answers is not the owner any more and grants nothing.
	NotOwner bool `json:"not_owner,omitempty"`
}

// lot is an amount that may be granted again from a time on.
type lot struct {
	amount float64
	until  time.Duration
}

// lots are amounts that may be granted again later.
type lots []lot

// add adds an amount.
func (l *lots) add(amount float64, until time.Duration) {
	if amount > 0 {
		*l = append(*l, lot{amount, until})
	}
}

// sum drops the amounts that may be granted again and returns the sum of the others.
func (l *lots) sum(now time.Duration) float64 {
	kept := (*l)[:0]
	total := 0.0
	for _, x := range *l {
		if x.until > now {
			kept = append(kept, x)
			total += x.amount
		}
	}
	*l = kept
	return total
}
