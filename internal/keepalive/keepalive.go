// Package keepalive decides how long an idle replica stays loaded. It weighs
// the cost of idle accelerator time against the cold-start wait of the callers
// that arrive after the replica is unloaded. It reads no clock.
//
// It provides two policies: the break-even time of the ski rental problem
// (Karlin, Manasse, Rudolph and Sleator, 1988), which costs at most twice the
// optimum in hindsight; and the timeout that minimises the expected cost over a
// histogram of idle gaps (after Shahrad et al., "Serverless in the Wild", 2020,
// who use such a histogram per function with a fallback).
package keepalive

import (
	"math"
	"time"
)

// Settings are the settings of the histogram policy.
type Settings struct {
	// PriorGaps is the weight of the histogram of all models relative to a model's
	// own histogram, in gaps.
	PriorGaps float64
	// MinGaps is the number of gaps, the model's own plus those of all models,
	// below which the break-even time is used.
	MinGaps float64
	// DecayGaps is the number of gaps after which the weight of a gap has decayed
	// to 1/e.
	DecayGaps float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{PriorGaps: 4, MinGaps: 16, DecayGaps: 64}
}

// Cost describes the cost of a model's cold start.
type Cost struct {
	// ColdStart is the expected duration of a load.
	ColdStart time.Duration
	// Weight is the cost of one second of a caller's wait, in seconds of idle
	// accelerator time.
	Weight float64
	// Callers is the expected number of callers that wait for one load.
	Callers float64
	// MaxIdle is the maximum timeout. 0 means MaxGap.
	MaxIdle time.Duration
}

// coldStartCost returns the cost of one cold start, in seconds of idle
// accelerator time.
func (c Cost) coldStartCost() float64 {
	return c.Weight * c.ColdStart.Seconds() * max(1, c.Callers)
}

// clamp limits a timeout to MaxIdle and MaxGap.
func (c Cost) clamp(d time.Duration) time.Duration {
	limit := MaxGap
	if c.MaxIdle > 0 {
		limit = min(limit, c.MaxIdle)
	}
	return min(d, limit)
}

// BreakEven returns the idle time that costs as much as one cold start, limited
// to MaxIdle.
func BreakEven(c Cost) time.Duration {
	return c.clamp(time.Duration(c.coldStartCost() * float64(time.Second)))
}

// Range and resolution of a histogram.
const (
	// MinGap is the upper edge of the first bin. The last bin holds MaxGap and
	// all longer gaps.
	MinGap = time.Second
	MaxGap = 24 * time.Hour
	// binsPerDoubling is the number of bins per doubling of the gap.
	binsPerDoubling = 2
	bins            = 34
)

// bin returns the index of a gap's bin.
func bin(gap time.Duration) int {
	doublings := math.Log2(max(1, gap.Seconds()/MinGap.Seconds()))
	return min(bins-1, int(math.Ceil(doublings*binsPerDoubling)))
}

// edge returns the upper edge of a bin, in seconds.
func edge(i int) float64 {
	return MinGap.Seconds() * math.Exp2(float64(i)/binsPerDoubling)
}

// History is a histogram of idle gaps with exponential decay. The zero value is
// empty.
type History struct {
	counts [bins]float64
	total  float64
	// callers is the mean number of callers at the end of a gap.
	callers float64
}

// Observe adds a gap that ended with the given number of waiting callers, and
// decays earlier gaps.
func (h *History) Observe(s Settings, gap time.Duration, callers int) {
	decay := math.Exp(-1 / s.DecayGaps)
	for i := range h.counts {
		h.counts[i] *= decay
	}
	h.counts[bin(gap)]++
	share := 1 / min(s.DecayGaps, h.total+1)
	h.total = h.total*decay + 1
	h.callers += (float64(callers) - h.callers) * share
}

// Callers returns the mean number of callers at the end of a gap, at least 1.
func (h *History) Callers() float64 {
	return max(1, h.callers)
}

// IdleTimeout returns the timeout with the lowest expected cost, given the gaps
// of the model and those of all models together. If there are fewer than
// MinGaps, it returns the break-even time.
func IdleTimeout(s Settings, own, all *History, c Cost) time.Duration {
	if own.total+all.total < s.MinGaps {
		return BreakEven(c)
	}
	shares := blendedShares(s, own, all)
	best, bestCost := 0.0, math.Inf(1)
	// For each timeout, in increasing order, idled is the expected idle cost of
	// the gaps that end before it, and remaining the share of those that do not.
	idled, remaining := 0.0, 1.0
	for i := -1; i < bins; i++ {
		timeout := 0.0
		if i >= 0 {
			timeout = edge(i)
			idled += shares[i] * midpoint(i)
			remaining -= shares[i]
		}
		cost := idled + max(0, remaining)*(timeout+c.coldStartCost())
		if cost < bestCost {
			best, bestCost = timeout, cost
		}
	}
	return c.clamp(time.Duration(best * float64(time.Second)))
}

// blendedShares returns the share of each bin in the weighted sum of both
// histograms.
func blendedShares(s Settings, own, all *History) [bins]float64 {
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

// midpoint returns the expected gap of a bin, in seconds.
func midpoint(i int) float64 {
	if i == 0 {
		return edge(0)
	}
	return (edge(i-1) + edge(i)) / 2
}
