// Package keepalive decides how long an idle replica stays loaded. It weighs
// the accelerator time that the replica would idle against the wait of the
// callers who would meet it unloaded. It is pure: callers pass times in.
//
// Three policies are given: a fixed timeout; the break-even time of the ski
// rental problem (Karlin, Manasse, Rudolph and Sleator, 1988), which costs at
// most twice what hindsight would; and the timeout that minimises the expected
// cost over a histogram of idle gaps (after Shahrad et al., "Serverless in the
// Wild", 2020, who use such a histogram per function with a fallback).
package keepalive

import (
	"math"
	"time"
)

// Settings of the histogram policy.
type Settings struct {
	// PriorGaps is the number of gaps that the histogram of all models counts
	// for beside a model's own.
	PriorGaps float64
	// MinGaps is the number of gaps, own and of all models, below which the
	// break-even time is used.
	MinGaps float64
	// Memory is the number of gaps after which an old one counts 1/e.
	Memory float64
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{PriorGaps: 4, MinGaps: 16, Memory: 64}
}

// Cost says what a model's cold start costs.
type Cost struct {
	// ColdStart is the expected time of a load.
	ColdStart time.Duration
	// Weight is the cost of a second of a caller's wait, in seconds of idle
	// accelerator time.
	Weight float64
	// Callers is the expected number of callers who wait for one load.
	Callers float64
	// MaxIdle bounds the result. 0 means MaxGap.
	MaxIdle time.Duration
}

// wait returns the cost of one cold start in seconds of idle time.
func (c Cost) wait() float64 {
	return c.Weight * c.ColdStart.Seconds() * max(1, c.Callers)
}

func (c Cost) bound(d time.Duration) time.Duration {
	limit := MaxGap
	if c.MaxIdle > 0 {
		limit = min(limit, c.MaxIdle)
	}
	return min(d, limit)
}

// BreakEven returns the time after which idling has cost as much as one cold
// start.
func BreakEven(c Cost) time.Duration {
	return c.bound(time.Duration(c.wait() * float64(time.Second)))
}

// Bounds of a histogram.
const (
	// MinGap and MaxGap are the shortest and the longest gap told apart.
	MinGap = time.Second
	MaxGap = 24 * time.Hour
	// binsPerDoubling is the resolution.
	binsPerDoubling = 2
	bins            = 34
)

// bin returns the bin of a gap.
func bin(gap time.Duration) int {
	doublings := math.Log2(max(1, gap.Seconds()/MinGap.Seconds()))
	return min(bins-1, int(math.Ceil(doublings*binsPerDoubling)))
}

// edge returns the upper edge of a bin in seconds.
func edge(i int) float64 {
	return MinGap.Seconds() * math.Exp2(float64(i)/binsPerDoubling)
}

// History is what is known of a model's idle gaps. The zero value is empty.
type History struct {
	counts  [bins]float64
	total   float64
	callers float64
}

// Observe adds a gap that ended with a number of callers. Older gaps fade.
func (h *History) Observe(s Settings, gap time.Duration, callers int) {
	keep := math.Exp(-1 / s.Memory)
	for i := range h.counts {
		h.counts[i] *= keep
	}
	h.counts[bin(gap)]++
	share := 1 / min(s.Memory, h.total+1)
	h.total = h.total*keep + 1
	h.callers += (float64(callers) - h.callers) * share
}

// Callers returns the mean number of callers at the end of a gap, 1 if there
// was none.
func (h *History) Callers() float64 {
	return max(1, h.callers)
}

// KeepFor returns the timeout of the lowest expected cost, given the gaps of
// the model and those of all models together. With few of both it is the
// break-even time.
func KeepFor(s Settings, own, all *History, c Cost) time.Duration {
	if own.total+all.total < s.MinGaps {
		return BreakEven(c)
	}
	shares := blend(s, own, all)
	best, bestCost := 0.0, math.Inf(1)
	// Going up, idled is the cost of the gaps that have ended, and left the
	// share of those that have not.
	idled, left := 0.0, 1.0
	for i := -1; i < bins; i++ {
		timeout := 0.0
		if i >= 0 {
			timeout = edge(i)
			idled += shares[i] * middle(i)
			left -= shares[i]
		}
		cost := idled + max(0, left)*(timeout+c.wait())
		if cost < bestCost {
			best, bestCost = timeout, cost
		}
	}
	return c.bound(time.Duration(best * float64(time.Second)))
}

// blend returns the share of each bin.
func blend(s Settings, own, all *History) [bins]float64 {
	weight := s.PriorGaps
	if all.total == 0 {
		weight = 0
	}
	var shares [bins]float64
	for i := range shares {
		sum := own.counts[i]
		if weight > 0 {
			sum += weight * all.counts[i] / all.total
		}
		shares[i] = sum / (own.total + weight)
	}
	return shares
}

// middle returns the expected gap of a bin in seconds.
func middle(i int) float64 {
	if i == 0 {
		return edge(0)
	}
	return (edge(i-1) + edge(i)) / 2
}
