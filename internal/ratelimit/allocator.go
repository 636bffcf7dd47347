package ratelimit

import (
	"maps"
	"math"
	"time"
)

// Bounds say by how much the use of a limit may exceed it: in any Window, what is used is at
// most (rate x Window + burst) x (1 + Overage) + Slack, over all nodes.
type Bounds struct {
	Window  time.Duration
	Overage float64
	// Slack is in the unit of the limit.
	Slack float64
}

// Limit is the limit of a team over all nodes.
type Limit struct {
	// PerSecond is in units a second, 0 means no limit. Burst is what may be used at once, in
	// units.
	PerSecond float64
	Burst     float64
}

// Timing of the contact between the nodes and the owner. A node uses its own part of the limits
// only after partDelay, when the owner has stopped to refill for it.
const (
	// maxTokenLifetime is the longest time from an ask within which its tokens must be used.
	maxTokenLifetime = 500 * time.Millisecond
	// minTokenLifetime applies to bounds with little overage: an answer must come before its
	// tokens expire.
	minTokenLifetime = 100 * time.Millisecond
	// contactTimeout is the time after a report from which the owner counts a node as out of
	// contact.
	contactTimeout = 600 * time.Millisecond
	// partDelay is the time after the last ask that was answered from which a node uses its
	// part of the limits, partEnd the time until which it does.
	partDelay = 800 * time.Millisecond
	partEnd   = 10 * time.Second
	// maxReturnAge bounds the age of tokens that are given back. It is the longest time that a
	// request waits.
	maxReturnAge = time.Minute
)

// Shares of what a window allows beyond rate x Window + burst, which is
// rate x Overage x Window + burst x Overage + Slack. Tokens that are used late take
// lifetimeShare of the first term.
const (
	lifetimeShare = 0.625
	// bucketShare is for the capacity of the bucket in addition to the burst: without it, a limit
	// whose burst is about one request loses what it would refill until the next request comes.
	// The rest is for the time that messages take.
	bucketShare = 0.35
	// largeSlackShare is the share of Slack for such a request, partSlackShare the one that
	// the nodes without an owner use.
	largeSlackShare = 0.5
	partSlackShare  = 0.5
)

// TokenLifetime returns the time from an ask within which its tokens must be used.
func (b Bounds) TokenLifetime() time.Duration {
	return min(maxTokenLifetime, max(minTokenLifetime, time.Duration(lifetimeShare*b.Overage*float64(b.Window))))
}

// overageTime is the time in which the rate of a limit gives what the overage allows.
func (b Bounds) overageTime() float64 {
	return b.Overage * b.Window.Seconds()
}

// capacity returns the capacity of the bucket of a limit.
func (b Bounds) capacity(l Limit) float64 {
	return (1+b.Overage)*l.Burst + bucketShare*b.overageTime()*l.PerSecond
}

// windowUse returns what a limit allows in a window, without the overage and the slack.
func (b Bounds) windowUse(l Limit) float64 {
	return l.PerSecond*b.Window.Seconds() + l.Burst
}

// largeUse returns what a window may hold with a request that costs more than the bucket holds.
func (b Bounds) largeUse(l Limit) float64 {
	return (1+b.Overage)*b.windowUse(l) + largeSlackShare*b.Slack
}

// Allocator grants the tokens of limits to the nodes, at the node that owns the engines and for
// one tenure as their owner. Its buckets are empty at the start of the tenure. Times are on one
// clock that never goes back. It is not safe for concurrent use.
type Allocator struct {
	bounds  Bounds
	nodes   *contacts
	buckets map[string]*teamBucket
	// refill is the time in seconds for which buckets were refilled at their full rate.
	refill    float64
	startedAt time.Duration
	updatedAt time.Duration
}

// NewAllocator returns the allocator of a tenure that starts now. known are the addresses of the
// nodes that the previous owner knew; count is their number if that is larger.
func NewAllocator(bounds Bounds, known []string, count int, now time.Duration) *Allocator {
	return &Allocator{bounds: bounds, nodes: newContacts(known, count, now), buckets: map[string]*teamBucket{}, startedAt: now, updatedAt: now}
}

// Grant answers an ask. limits returns the limit of a team, or false if there is no such team.
func (a *Allocator) Grant(ask NodeAsk, limits func(team string) (Limit, bool), now time.Duration) NodeAnswer {
	a.advance(now)
	answer := NodeAnswer{Nodes: a.nodes.asked(ask.Node, time.Duration(ask.AnsweredMS)*time.Millisecond, now)}
	for _, team := range ask.Teams {
		answer.Teams = append(answer.Teams, a.grantTeam(team, limits, now))
	}
	return answer
}

// advance refills for the time since the last call. Nodes fall out of contact meanwhile, so the
// smaller of the shares at both times counts.
func (a *Allocator) advance(now time.Duration) {
	if now <= a.updatedAt {
		return
	}
	share := a.nodes.inContact(a.updatedAt, now)
	a.refill += share * (now - a.updatedAt).Seconds()
	a.updatedAt = now
}

func (a *Allocator) grantTeam(ask TeamAsk, limits func(team string) (Limit, bool), now time.Duration) TeamAnswer {
	answer := TeamAnswer{Team: ask.Team}
	limit, known := limits(ask.Team)
	switch {
	case !known:
		answer.Unknown = true
		return answer
	case limit.PerSecond <= 0:
		answer.Granted = positive(ask.Need) + positive(ask.Ahead)
		return answer
	}
	b := a.bucket(ask.Team, limit, now)
	for _, returned := range ask.Returns {
		// What a previous owner granted was not taken from this bucket.
		if age := time.Duration(returned.AgeMS) * time.Millisecond; age <= now-a.startedAt {
			b.giveBack(positive(returned.Tokens), age, now)
		}
	}
	need := positive(ask.Need)
	if need > 0 {
		least := min(need, positive(ask.Least))
		answer.Granted = a.grantNeed(b, limit, need, least, now)
		if answer.Granted < need {
			answer.InMS = a.untilAvailable(b, limit, least).Milliseconds() + 1
			return answer
		}
	}
	if ahead := min(positive(ask.Ahead), b.tokens.level-aheadLevel*b.capacity); ahead > 0 {
		b.charge(ahead, now)
		answer.Granted += ahead
	}
	return answer
}

// aheadLevel is the share of the capacity that is left for requests that nodes have already.
// Without it, large requests find the bucket spread over nodes that have none.
const aheadLevel = 0.5

// grantNeed charges what the waiting requests of a node need, or as many times what the smallest
// of them needs as the bucket holds, and returns it. A request that costs more than the bucket
// holds gets it when the bucket is full, which is in debt afterwards; what was charged in the
// window before must leave room for it.
func (a *Allocator) grantNeed(b *teamBucket, limit Limit, need, least float64, now time.Duration) float64 {
	level := b.tokens.level
	switch {
	case level >= need:
		b.charge(need, now)
		return need
	case least > 0 && level >= least:
		// The quotient of a very small least overflows.
		granted := min(level, math.Floor(level/least)*least)
		b.charge(granted, now)
		return granted
	case level < b.capacity*fullShare || least <= b.capacity:
		return 0
	case b.recent.sum(now)+least > a.bounds.largeUse(limit):
		return 0
	}
	b.charge(least, now)
	return least
}

// fullShare is the share of its capacity from which a bucket counts as full. The refill is a
// sum of many small amounts, which does not reach the capacity exactly.
const fullShare = 1 - 1e-9

// untilAvailable returns the time until the bucket holds the tokens that a request needs.
func (a *Allocator) untilAvailable(b *teamBucket, limit Limit, least float64) time.Duration {
	window := time.Duration(0)
	if least > b.capacity {
		window = b.recent.until(a.bounds.largeUse(limit)-least, a.updatedAt)
	}
	rate := limit.PerSecond * a.nodes.share
	if rate <= 0 {
		return maxReturnDelay
	}
	return min(partEnd, max(minWait, window, seconds((min(least, b.capacity)-b.tokens.level)/rate)))
}

// bucket returns the bucket of a team, refilled and with its limit in force.
func (a *Allocator) bucket(team string, limit Limit, now time.Duration) *teamBucket {
	b, ok := a.buckets[team]
	if !ok {
		a.dropIdle(now)
		b = &teamBucket{recent: newRecentUse(a.bounds.Window + a.bounds.TokenLifetime())}
		a.buckets[team] = b
	}
	b.capacity, b.perSecond = a.bounds.capacity(limit), limit.PerSecond
	b.tokens.add(limit.PerSecond*(a.refill-b.refilled), b.capacity)
	b.refilled = a.refill
	b.usedAt = now
	return b
}

// dropIdle drops the buckets that no ask has used for a time and that have refilled to their
// capacity. One that is added later is full, too, unless the tenure is too short.
func (a *Allocator) dropIdle(now time.Duration) {
	maps.DeleteFunc(a.buckets, func(_ string, b *teamBucket) bool {
		level := b.tokens.level + b.perSecond*(a.refill-b.refilled)
		return now-b.usedAt > maxReturnAge+idleRetention && level >= b.capacity*fullShare
	})
}

// positive returns a number of tokens from a message, 0 if it is not a positive number.
func positive(n float64) float64 {
	if !(n > 0) || math.IsInf(n, 1) {
		return 0
	}
	return n
}
