// Package notice keeps what endpoints say of themselves in their responses:
// that they are leaving (a drain mark, the lame-duck state), and that they want no
// requests for a time (a cooldown, from a Retry-After). Both depend only on what
// was recorded and on the time that the caller passes in. The type of keys is the
// caller's: a key identifies one incarnation of an endpoint, not its address.
package notice

import (
	"maps"
	"time"
)

// Drains are the drain marks of endpoints: when each of them was first known to
// be leaving. A mark is never withdrawn, since an incarnation that leaves does
// not come back. The methods leave the map unchanged.
type Drains[K comparable] map[K]time.Time

// DrainRetention is how long the mark of an endpoint is kept that is no longer
// known, because an outdated list of endpoints may show it again.
const DrainRetention = 10 * time.Minute

// Has reports whether an endpoint is leaving.
func (d Drains[K]) Has(key K) bool {
	_, ok := d[key]
	return ok
}

// With returns the marks with others, and without the marks older than
// DrainRetention of endpoints that are not known. Endpoints that have a mark
// already keep its time.
func (d Drains[K]) With(others Drains[K], now time.Time, known func(K) bool) Drains[K] {
	next := make(Drains[K], len(d)+len(others))
	maps.Copy(next, others)
	for key, since := range d {
		if known(key) || now.Sub(since) < DrainRetention {
			next[key] = since
		}
	}
	return next
}
