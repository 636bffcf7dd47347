package ratelimit

import "time"

// recentSlot is the precision of recentUse.
const recentSlot = 250 * time.Millisecond

// recentUse sums amounts over a time that ends now, rounded up to whole slots.
type recentUse struct {
	slots []float64
	// last is the slot of the latest amount.
	last int64
}

// newRecentUse returns a sum over a time.
func newRecentUse(over time.Duration) recentUse {
	return recentUse{slots: make([]float64, (over+recentSlot-1)/recentSlot+1)}
}

// advance drops the amounts that are too old.
func (r *recentUse) advance(now time.Duration) {
	slot := int64(now / recentSlot)
	r.last = max(r.last, slot-int64(len(r.slots)))
	for r.last < slot {
		r.last++
		r.slots[r.last%int64(len(r.slots))] = 0
	}
}

func (r *recentUse) add(n float64, now time.Duration) {
	r.advance(now)
	r.slots[r.last%int64(len(r.slots))] += n
}

func (r *recentUse) sum(now time.Duration) float64 {
	r.advance(now)
	sum := 0.0
	for _, n := range r.slots {
		sum += n
	}
	return sum
}

// until returns the time until the sum is at most n, without further amounts. It is the time of
// the sum if n is negative.
func (r *recentUse) until(n float64, now time.Duration) time.Duration {
	sum := r.sum(now)
	count := int64(len(r.slots))
	for age := count - 1; age >= 0; age-- {
		if sum <= n {
			return max(0, time.Duration(r.last+count-age-1)*recentSlot-now)
		}
		sum -= r.slots[(r.last-age+count)%count]
	}
	return time.Duration(count) * recentSlot
}
