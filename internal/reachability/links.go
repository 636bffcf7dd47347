// Package reachability decides how a node reaches endpoints: over its own links, or through
// another node while these are cut. Links holds the evidence about the links, Nodes which
// other nodes forward requests. Both depend only on what was recorded and on the time that
// the caller passes in.
package reachability

import (
	"sync"
	"time"

	"chestnutgauge/internal/inventory"
)

// Evidence about links.
const (
	// cutsForAll is the number of endpoints that only other nodes reach from which the
	// links to all endpoints that were not reached lately count as cut.
	cutsForAll = 2
	// reachedTTL is how long a link counts as working after a connection.
	reachedTTL = 2 * time.Second
	// recoveries is the number of probes in a row that must succeed before a cut link is
	// used again. It doubles when the link is cut again within relapseTime, up to
	// maxRecoveries.
	recoveries    = 2
	maxRecoveries = 16
	relapseTime   = 10 * time.Second
)

// link is what is known of the way from this node to an endpoint.
type link struct {
	// cut means that other nodes reach the endpoint and this one does not.
	cut bool
	// reachedAt is when a connection was last made, healedAt when the link was last found
	// to work again.
	reachedAt, healedAt time.Time
	// failed means that the last connection failed.
	failed bool
	// succeeded is the number of probes in a row that succeeded, needed how many must.
	succeeded, needed int
}

// Links is what is known of the links of a node. Its methods are safe for concurrent use.
type Links struct {
	mu    sync.Mutex
	links map[inventory.Key]*link
	// cuts is the number of links that are cut.
	cuts int
}

// NewLinks returns Links of which nothing is known.
func NewLinks() *Links {
	return &Links{links: map[inventory.Key]*link{}}
}

// get returns the entry of an endpoint, and adds one if there is none. The caller holds mu.
func (l *Links) get(key inventory.Key) *link {
	known, ok := l.links[key]
	if !ok {
		known = &link{needed: recoveries}
		l.links[key] = known
	}
	return known
}

// Reached records a connection to an endpoint.
func (l *Links) Reached(key inventory.Key, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.get(key)
	known.reachedAt, known.failed = now, false
}

// Failed records that no connection to an endpoint was made, or that one was lost. It
// reports whether other nodes should be asked whether they reach it.
func (l *Links) Failed(key inventory.Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.get(key)
	known.failed = true
	return !known.cut
}

// CutOff records that another node reaches an endpoint that this one has just failed to
// reach. It reports whether that is new.
func (l *Links) CutOff(key inventory.Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.get(key)
	known.succeeded = 0
	if known.cut || !known.failed {
		return false
	}
	if now.Sub(known.healedAt) < relapseTime {
		known.needed = min(2*known.needed, maxRecoveries)
	} else {
		known.needed = recoveries
	}
	known.cut = true
	l.cuts++
	return true
}

// Probed records the result of a probe of a link. It reports whether the link works again.
func (l *Links) Probed(key inventory.Key, ok bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.get(key)
	if !ok {
		known.succeeded = 0
		return false
	}
	known.succeeded++
	if !known.cut || known.succeeded < known.needed {
		return false
	}
	known.cut, known.failed = false, false
	known.healedAt, known.reachedAt = now, now
	l.cuts--
	return true
}

// Cut reports whether requests to an endpoint must take another way: its link is cut, or
// so many others are that it must be taken for cut until it is reached.
func (l *Links) Cut(key inventory.Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.links[key]
	switch {
	case ok && known.cut:
		return true
	case l.cuts < cutsForAll:
		return false
	}
	return !ok || now.Sub(known.reachedAt) > reachedTTL
}

// CutEndpoints returns the endpoints whose links are cut.
func (l *Links) CutEndpoints() []inventory.Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []inventory.Key
	for key, known := range l.links {
		if known.cut {
			keys = append(keys, key)
		}
	}
	return keys
}

// Cuts returns the number of links that are cut.
func (l *Links) Cuts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts
}

// Shares of the endpoints whose links are cut from which a node counts as partitioned, and
// below which it no longer does.
const (
	partitionedShare = 0.5
	rejoinedShare    = 0.25
)

// Partitioned reports whether a node counts as partitioned from the endpoints, given whether
// it did before.
func Partitioned(before bool, cuts, endpoints int) bool {
	share := partitionedShare
	if before {
		share = rejoinedShare
	}
	return cuts > 0 && float64(cuts) >= share*float64(endpoints)
}

// Retain drops the endpoints for which known returns false.
func (l *Links) Retain(known func(inventory.Key) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, entry := range l.links {
		if known(key) {
			continue
		}
		if entry.cut {
			l.cuts--
		}
		delete(l.links, key)
	}
}
