package notice

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// MaxRateLimit bounds the limits that endpoints name, in requests a second. A
// greater one has no effect.
const MaxRateLimit = 1e6

// LimitState is what is known of an endpoint's rate limit.
type LimitState int

// States of a limit.
const (
	// LimitAbsent means that the endpoint names no limit.
	LimitAbsent LimitState = iota
	// LimitNamed means that it names one.
	LimitNamed
	// LimitUnknown means that nothing usable was said.
	LimitUnknown
)

// RateLimit is what a response says of its endpoint's rate limit: the number of
// requests a second that the endpoint takes from all nodes together.
type RateLimit struct {
	State LimitState
	// PerSecond is set if State is LimitNamed.
	PerSecond float64
}

// LimitStatement is a node's knowledge of an endpoint's rate limit, for other
// nodes.
type LimitStatement[K comparable] struct {
	Endpoint K `json:"endpoint"`
	// PerSecond is the limit in requests a second. It is of no meaning if Ended.
	PerSecond float64 `json:"per_second"`
	// Ended means that the endpoint named a limit before and names none now.
	Ended bool `json:"ended,omitempty"`
	// AgeMS is the time since the endpoint last said so, in milliseconds, rounded up.
	AgeMS int64 `json:"age_ms"`
}

// How long a limit is known that its endpoint has not named again, and how long it
// is known that one has ended. All nodes have heard of that by then.
const (
	limitRetention      = 10 * time.Minute
	endedLimitRetention = 10 * time.Second
)

// limit is the last known statement of an endpoint.
type limit struct {
	perSecond float64
	ended     bool
	// at is when the endpoint said so.
	at time.Time
	// own reports that it said so to this node. Only such statements are passed on,
	// so that none gets younger by going round.
	own bool
}

// equal reports whether the endpoint said the same at both times.
func (l limit) equal(other limit) bool {
	return l.ended == other.ended && (l.ended || l.perSecond == other.perSecond)
}

// expired reports whether the statement can be dropped.
func (l limit) expired(now time.Time) bool {
	if l.ended {
		return now.Sub(l.at) > endedLimitRetention
	}
	return now.Sub(l.at) > limitRetention
}

// Limits are the rate limits of endpoints, by what they last said to any node. The
// methods are safe for concurrent use.
type Limits[K comparable] struct {
	mu        sync.Mutex
	endpoints map[K]limit
	// version increases with each change. It starts at random, so that those of two
	// processes differ.
	version int64
}

// NewLimits returns Limits without an entry.
func NewLimits[K comparable]() *Limits[K] {
	return &Limits[K]{endpoints: map[K]limit{}, version: 1 + rand.Int64N(1<<62)}
}

// Get returns the limit of an endpoint in requests a second. The state is
// LimitAbsent if a limit has ended, and LimitUnknown if none was named.
func (l *Limits[K]) Get(key K) (perSecond float64, state LimitState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.endpoints[key]
	switch {
	case !ok:
		return 0, LimitUnknown
	case known.ended:
		return 0, LimitAbsent
	}
	return known.perSecond, LimitNamed
}

// Learn records what a response says that was received at now, to a request that
// was sent at sentAt. It reports whether the limit has changed. A response without
// a limit ends the known one only if its request was sent after that was last
// named, since responses can overtake each other.
func (l *Limits[K]) Learn(key K, says RateLimit, sentAt, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.endpoints[key]
	told := limit{at: now, own: true}
	switch says.State {
	case LimitNamed:
		told.perSecond = says.PerSecond
	case LimitAbsent:
		told.ended = true
		if !ok || !sentAt.After(known.at) {
			return false
		}
	default:
		return false
	}
	changed = !ok || !told.equal(known)
	if changed || !known.own {
		l.version++
	}
	l.endpoints[key] = told
	return changed
}

// Merge records the statements of another node, received at now, that say something
// else than what is known and are newer.
func (l *Limits[K]) Merge(statements []LimitStatement[K], now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range statements {
		at := now.Add(-time.Duration(max(0, s.AgeMS)) * time.Millisecond)
		told := limit{perSecond: s.PerSecond, ended: s.Ended, at: at}
		known, ok := l.endpoints[s.Endpoint]
		if !ok || at.After(known.at) && !told.equal(known) {
			l.endpoints[s.Endpoint] = told
			l.version++
		}
	}
}

// ageMS returns the time from at until now in milliseconds, rounded up, so that no
// statement gets younger by being passed on.
func ageMS(at, now time.Time) int64 {
	return (now.Sub(at) + time.Millisecond - 1).Milliseconds()
}

// OwnSince returns what endpoints said to this node and nothing newer is known of, and
// the version of that. It returns no statements if version is that one.
func (l *Limits[K]) OwnSince(version int64, now time.Time) ([]LimitStatement[K], int64) {
	return l.since(version, now, func(known limit) bool { return known.own })
}

// AllSince returns what endpoints said to any node, and the version of that. It returns
// no statements if version is that one.
func (l *Limits[K]) AllSince(version int64, now time.Time) ([]LimitStatement[K], int64) {
	return l.since(version, now, func(limit) bool { return true })
}

func (l *Limits[K]) since(version int64, now time.Time, include func(limit) bool) ([]LimitStatement[K], int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version == l.version {
		return nil, version
	}
	maps.DeleteFunc(l.endpoints, func(_ K, known limit) bool { return known.expired(now) })
	var out []LimitStatement[K]
	for key, known := range l.endpoints {
		if include(known) {
			out = append(out, LimitStatement[K]{
				Endpoint:  key,
				PerSecond: known.perSecond,
				Ended:     known.ended,
				AgeMS:     ageMS(known.at, now),
			})
		}
	}
	return out, l.version
}
