package ratelimit

import "time"

// teamBucket is the token bucket of a team.
type teamBucket struct {
	tokens   tokens
	capacity float64
	// perSecond is the rate of the limit at the last update.
	perSecond float64
	// refilled is the Allocator's refill at the last update, usedAt the time of it.
	refilled float64
	usedAt   time.Duration
	// charges are the times of charges, with what was missing to the capacity just before them.
	// What was missing increases from each to the next.
	charges []charge
	// recent is what was charged in the last window and the lifetime of tokens. What is given
	// back still counts.
	recent recentUse
}

// charge is the time of a charge, and what was missing to the capacity just before.
type charge struct {
	at      time.Duration
	missing float64
}

// maxCharges is the number of charges that a bucket stores.
const maxCharges = 32

// charge takes tokens.
func (b *teamBucket) charge(n float64, now time.Duration) {
	if n <= 0 {
		return
	}
	b.addCharge(charge{at: now, missing: max(0, b.capacity-b.tokens.level)})
	b.tokens.level -= n
	b.recent.add(n, now)
}

// addCharge adds the latest charge. Earlier ones before which as much was missing say nothing
// more; the oldest two are joined when there are too many.
func (b *teamBucket) addCharge(c charge) {
	for len(b.charges) > 0 && b.charges[len(b.charges)-1].missing >= c.missing {
		b.charges = b.charges[:len(b.charges)-1]
	}
	b.charges = append(b.charges, c)
	if len(b.charges) > maxCharges {
		b.charges[1].missing = b.charges[0].missing
		b.charges = b.charges[1:]
	}
}

// giveBack returns tokens that were charged a time ago and not used. Without that charge the
// bucket would have lost what exceeds its capacity, so no more counts than what has been missing
// to the capacity all the time since.
func (b *teamBucket) giveBack(n float64, age, now time.Duration) {
	chargedAt := now - age
	if n <= 0 || age < 0 || age > maxReturnAge {
		return
	}
	first := len(b.charges)
	for i, c := range b.charges {
		if c.at > chargedAt {
			first = i
			n = min(n, c.missing)
			break
		}
	}
	n = max(0, min(n, b.capacity-b.tokens.level))
	b.tokens.level += n
	later := append([]charge(nil), b.charges[first:]...)
	b.charges = b.charges[:first]
	for _, c := range later {
		b.addCharge(charge{at: c.at, missing: c.missing - n})
	}
}
