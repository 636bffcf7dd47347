package swap

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chestnutgauge/internal/catalog"
)

// Parameters of the number of copies.
const (
	// copyTokenRate is the target load of one copy in prompt tokens per second,
	// copyRunning its target number of concurrent requests.
	copyTokenRate = 8000.0
	copyRunning   = 16
	// twoCopiesRate and threeCopiesRate are the request rates per second from
	// which a model has at least two and three copies, so that it stays available
	// when an engine is lost.
	twoCopiesRate   = 2.0
	threeCopiesRate = 8.0
	// lateSharePerCopy is the share of late requests for which a model gets
	// another copy, minLateRate the rate of late requests per second from which
	// that share is used, and maxLateCopies the maximum of such copies.
	lateSharePerCopy = 0.2
	minLateRate      = 0.15
	maxLateCopies    = 2
	// minCooldownRequests is the number of requests that the second copy of a model
	// must be expected to serve until the cooldown of the first one ends.
	minCooldownRequests = 1
)

// Demand is the demand for one model.
type Demand struct {
	// Rate is in requests per second, TokenRate in prompt tokens per second.
	Rate      float64
	TokenRate float64
	// LateRate is the rate of requests that were late because their engine was
	// slow, per second.
	LateRate float64
	// CooldownRate is the rate of requests, per second, of which the engines that
	// hold the model want none for the time Cooldown.
	CooldownRate float64
	Cooldown     time.Duration
	// Waiting is the number of requests that no engine can run now, Running the
	// number of requests that engines are running.
	Waiting int
	Running int
	// WaitingAt is the number of further requests that need an engine of a software
	// version, by that version.
	WaitingAt map[string]int
}

// RequiredCopies returns the number of copies that a model's demand requires.
func RequiredCopies(d Demand) int {
	if d.Rate <= 0 && d.Waiting == 0 {
		return 0
	}
	n := 1 + max(int(d.TokenRate/copyTokenRate), (d.Running+d.Waiting)/copyRunning)
	switch {
	case d.Rate >= threeCopiesRate:
		n = max(n, 3)
	case d.Rate >= twoCopiesRate:
		n = max(n, 2)
	}
	return n + lateCopies(d)
}

// lateCopies returns the number of additional copies for a model whose engines
// are too slow for it.
func lateCopies(d Demand) int {
	if d.LateRate < minLateRate || d.Rate <= 0 {
		return 0
	}
	return min(int(math.Ceil(d.LateRate/d.Rate/lateSharePerCopy)), maxLateCopies)
}

// servesCooldown reports whether a copy that is loaded within a time serves enough
// requests until the cooldown of the model's only copy ends.
func (d Demand) servesCooldown(load time.Duration) bool {
	left := d.Cooldown - load
	return left > 0 && d.CooldownRate*left.Seconds() >= minCooldownRequests
}

// modelsToLoad returns the models that need another copy: first those with the
// most waiting requests and no loaded copy, then those with the highest request
// rate. A model that has lost its copies to engines that leave needs one also
// while no request waits.
func (p *planner) modelsToLoad() []catalog.Model {
	var models []catalog.Model
	for name, d := range p.Demand {
		model, ok := p.Models[name]
		if !ok {
			continue
		}
		have := p.copies[name] + p.pending[name]
		wanted := d.Waiting > 0 || p.draining[name] > 0 && RequiredCopies(d) > 0
		unserved := wanted && have == 0
		busy := have > 0 && have < RequiredCopies(d) && (d.Rate >= twoCopiesRate || lateCopies(d) > 0)
		p.cooling[name] = !busy && p.copies[name] == 1 && p.pending[name] == 0 && d.servesCooldown(0)
		if unserved || busy || p.cooling[name] {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b catalog.Model) int {
		da, db := p.Demand[a.Name], p.Demand[b.Name]
		return cmp.Or(
			cmp.Compare(unservedWaiting(db, p.copies[b.Name]), unservedWaiting(da, p.copies[a.Name])),
			cmp.Compare(db.Rate, da.Rate),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return models
}

// unservedWaiting returns the number of waiting requests if no engine has the
// model loaded, else 0.
func unservedWaiting(d Demand, copies int) int {
	if copies > 0 {
		return 0
	}
	return d.Waiting
}
