// Package fairshare shares the capacity of services fairly between teams over all nodes. Each node
// measures the work of teams in a Meter and reports it; one node adds the reports up in an
// Aggregator, which names the teams that are ahead of their fair share while others wait. The
// package reads no clock and sends nothing.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// averageTime is the time constant with which use is averaged. It is a few reports long, so that
	// a team that is ahead is found within a second, and longer than most requests run.
	averageTime = 2 * time.Second
	// recentTime is the time constant of a second average, in which the rate of a team that begins to
	// ask shows at once. With the long one alone, it would be compensated for the seconds in which it
	// asked for nothing.
	recentTime = 400 * time.Millisecond
	// behindTolerance is the part of a team's demand that may be unmet before others are held back
	// for it. It is below the 2 in 100 that a flood may cost others.
	behindTolerance = 0.01
	// MaxEntries bounds the entries of one report and of one answer. With entries of 70 and 90 bytes
	// and ten reports a second while requests wait, that is at most 26 KB/s, within the 29 KB/s that a
	// node may use for control.
	MaxEntries = 16
)

// Key identifies what is shared fairly: the use that teams make of a service in one priority.
type Key struct {
	Service  string `json:"service"`
	Priority int    `json:"priority,omitempty"`
	// Team is empty for the common team of the requests without one.
	Team string `json:"team,omitempty"`
}

// Use is a node's report of the work of one team at one service.
type Use struct {
	Key
	// Served is the expected work of the requests that were dispatched, Refused of those that were
	// refused after they waited, both since the last report.
	Served  float64 `json:"served,omitempty"`
	Refused float64 `json:"refused,omitempty"`
	// Waiting is the expected work of the requests that wait for room now.
	Waiting float64 `json:"waiting,omitempty"`
}

// Lead is a team that is ahead of its fair share of a service while others wait, over all nodes.
type Lead struct {
	Key
	// Ahead is the work by which the team exceeds its fair share.
	Ahead float64 `json:"ahead"`
	// PerSecond is the work per second that is the team's fair share.
	PerSecond float64 `json:"per_second"`
	// Demand is the averaged work that the team asked for, in the unit of Meter.Holds.
	Demand float64 `json:"demand"`
}

// Hold limits the dispatches of a team at one node.
type Hold struct {
	Key
	// Ahead is the node's part of the work by which the team exceeds its fair share.
	Ahead float64
	// PerSecond is the work per second that the node may dispatch for the team.
	PerSecond float64
}

// scarceLoad is the part of an endpoint's slots from which capacity counts as scarce.
const scarceLoad = 0.6

// Scarce reports whether a request that takes a slot of an endpoint may keep others waiting. load is
// the number of requests there, slots the number that it runs at once, 0 if unknown. Where slots are
// left, holding a team back helps no other one: those that wait need other endpoints.
func Scarce(load float64, slots int) bool {
	return slots <= 0 || load >= scarceLoad*float64(slots)
}

// round rounds a figure of a message to thousandths, so that it is short.
func round(x float64) float64 {
	return math.Round(x*1000) / 1000
}

// average is a sum of work that decays with a time constant.
type average struct {
	sum float64
	at  time.Time
}

// add adds work at now and returns the sum.
func (a *average) add(work float64, now time.Time, constant time.Duration) float64 {
	if !a.at.IsZero() && now.After(a.at) {
		a.sum *= math.Exp(-now.Sub(a.at).Seconds() / constant.Seconds())
	}
	a.at = now
	a.sum += work
	return a.sum
}

// Shares returns the max-min fair parts of a capacity: a demand below the common level is met in
// full, and the others get the level. The result has the order of demands.
func Shares(demands []float64, capacity float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(demands[a], demands[b]) })
	shares := make([]float64, len(demands))
	for n, i := range order {
		level := capacity / float64(len(order)-n)
		shares[i] = min(demands[i], level)
		capacity -= shares[i]
	}
	return shares
}
