package ratelimit

import (
	"math"
	"slices"
	"time"
)

// lot are tokens with a time: those of one grant, or those to return.
type lot struct {
	tokens    float64
	grantedAt time.Duration
	expiresAt time.Duration
}

// teamTokens are the tokens that the owner granted to a node for a team.
type teamTokens struct {
	lots    []lot
	returns []lot
	// use is the recent use in units a second, as of usedAt, meanCost the average cost of recent
	// requests.
	use      float64
	usedAt   time.Duration
	meanCost float64
	// waiting are the costs of the requests that wait for tokens.
	waiting []float64
	// refusedUntil is when a refusal no longer counts, availableAt when the owner expects
	// to have tokens.
	refusedUntil, availableAt time.Duration
	spread                    returnSpread
	// part is what the node may use of its own part, as of partAt. extraUsed is what it used
	// in addition, extraAt when it last did.
	part      tokens
	partAt    time.Duration
	extraUsed float64
	extraAt   time.Duration
	// unknownSince is since when the owner does not know the team, unknownUntil until when
	// that holds.
	unknownSince, unknownUntil time.Duration
}

// expire moves expired tokens to those that are returned.
func (t *teamTokens) expire(now time.Duration) {
	t.lots = slices.DeleteFunc(t.lots, func(l lot) bool {
		if now < l.expiresAt {
			return false
		}
		t.addReturn(l.tokens, l.grantedAt)
		return true
	})
}

// addReturn adds tokens to return. The oldest two are joined when there are too many; joined
// tokens count from the earlier time.
func (t *teamTokens) addReturn(n float64, grantedAt time.Duration) {
	if n <= 0 {
		return
	}
	if last := len(t.returns) - 1; last >= 0 && t.returns[last].grantedAt == grantedAt {
		t.returns[last].tokens += n
		return
	}
	t.returns = append(t.returns, lot{tokens: n, grantedAt: grantedAt})
	if len(t.returns) > maxLots {
		t.returns[1].tokens += t.returns[0].tokens
		t.returns[1].grantedAt = min(t.returns[0].grantedAt, t.returns[1].grantedAt)
		t.returns = t.returns[1:]
	}
}

// left returns the tokens that the node has.
func (t *teamTokens) left() float64 {
	left := 0.0
	for _, l := range t.lots {
		left += l.tokens
	}
	return left
}

// addLot adds tokens. The lots are in the order in which they expire, which is not that of the
// answers.
func (t *teamTokens) addLot(added lot) {
	i := 0
	for i < len(t.lots) && t.lots[i].expiresAt <= added.expiresAt {
		i++
	}
	t.lots = slices.Insert(t.lots, i, added)
}

// spend takes tokens, those that expire first, and returns the earliest times at which any of
// them were granted and expire. The caller has checked that there are enough.
func (t *teamTokens) spend(cost float64) (grantedAt, expiresAt time.Duration) {
	grantedAt, expiresAt = t.lots[0].grantedAt, t.lots[0].expiresAt
	for len(t.lots) > 0 && cost > 0 {
		grantedAt = min(grantedAt, t.lots[0].grantedAt)
		if t.lots[0].tokens > cost {
			t.lots[0].tokens -= cost
			break
		}
		cost -= t.lots[0].tokens
		t.lots = t.lots[1:]
	}
	return grantedAt, expiresAt
}

// decayedUse returns the recent use in units a second.
func (t *teamTokens) decayedUse(now time.Duration) float64 {
	return t.use * math.Exp(-(now-t.usedAt).Seconds()/useTime.Seconds())
}

// meanCostShare is the weight of the last request in the average cost.
const meanCostShare = 0.1

// expected returns what the node should ask for in addition to what is left, for the requests
// that it expects until the next ask: whole requests, and nothing while it refuses some or while
// some wait.
func (t *teamTokens) expected(left float64, now time.Duration) float64 {
	if len(t.waiting) > 0 || now < t.refusedUntil || t.meanCost == 0 {
		return 0
	}
	requests := math.Floor(t.decayedUse(now) * aheadTime.Seconds() / t.meanCost)
	return max(0, requests*t.meanCost-left)
}

// used records the use of tokens.
func (t *teamTokens) used(cost float64, now time.Duration) {
	t.use = t.decayedUse(now) + cost/useTime.Seconds()
	t.usedAt = now
	if t.meanCost == 0 {
		t.meanCost = cost
	}
	t.meanCost += (cost - t.meanCost) * meanCostShare
}

// needs returns what the waiting requests need in addition to what is left, and what the
// smallest of them does.
func (t *teamTokens) needs(left float64) (need, least float64) {
	if len(t.waiting) == 0 {
		return 0, 0
	}
	for _, cost := range t.waiting {
		need += cost
	}
	return max(0, need-left), max(0, slices.Min(t.waiting)-left)
}

// unknownTTL is the time for which the owner's answer holds that it does not know a team. The
// nodes apply a new configuration within a few seconds of each other.
const unknownTTL = 250 * time.Millisecond

// unknown records that the owner does not know the team.
func (t *teamTokens) unknown(now time.Duration) {
	if now-t.unknownUntil > partEnd {
		t.unknownSince = now
	}
	t.unknownUntil = now + unknownTTL
}

// refillPart adds to the node's part since it may use it.
func (t *teamTokens) refillPart(rate float64, from, now time.Duration) {
	if t.partAt < from {
		t.part.level, t.partAt = 0, from
	}
	t.part.add(rate*(now-t.partAt).Seconds(), rate*partBurstTime.Seconds())
	t.partAt = now
}
