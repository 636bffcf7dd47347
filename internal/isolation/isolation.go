// Package isolation detects that a node's data centre is cut off from all
// others. Its callers are then better served elsewhere, so the node asks the
// load balancer for no new connections, while it serves those that it gets.
package isolation

import "sync"

// View is what a node knows of its connections at one point in time.
type View struct {
	// OwnerFollowed reports that another node, the owner of the engines, streams
	// its inventory to this one.
	OwnerFollowed bool
	// StoreUnavailable reports that the node's last call to the store failed.
	StoreUnavailable bool
	// ReachedElsewhere and FailedElsewhere are the numbers of endpoints in other
	// data centres to which the last recent connection succeeded and failed.
	ReachedElsewhere int
	FailedElsewhere  int
}

// Detector tells whether the node is isolated. Its methods are safe for
// concurrent use. The zero value is a node that is not isolated.
type Detector struct {
	mu       sync.Mutex
	isolated bool
}

// Isolated reports whether the node was isolated at the last update.
func (d *Detector) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isolated
}

// Update takes a new view, and reports whether the node is isolated and whether
// that changed. Isolation begins when nothing elsewhere responds: the owner, the
// store and the endpoints of other data centres, of which at least one was
// tried. It ends as soon as one of them responds. An outage of the store alone
// is no isolation, since other data centres have the same.
func (d *Detector) Update(v View) (isolated, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	responds := v.OwnerFollowed || !v.StoreUnavailable || v.ReachedElsewhere > 0
	next := !responds && (d.isolated || v.FailedElsewhere > 0)
	changed = next != d.isolated
	d.isolated = next
	return next, changed
}
