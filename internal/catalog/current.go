package catalog

import "sync/atomic"

// Current holds the active configuration. Its methods are safe for concurrent
// use.
type Current struct {
	catalog atomic.Pointer[Catalog]
}

// Get returns the active configuration, or nil if there is none yet.
func (c *Current) Get() *Catalog {
	return c.catalog.Load()
}

// Version returns the active version, or 0 if there is none yet.
func (c *Current) Version() int64 {
	if active := c.Get(); active != nil {
		return active.Version
	}
	return 0
}

// Update activates a configuration if it is newer than the active one, and
// reports whether it did.
func (c *Current) Update(next *Catalog) bool {
	for {
		active := c.catalog.Load()
		if active != nil && next.Version <= active.Version {
			return false
		}
		if c.catalog.CompareAndSwap(active, next) {
			return true
		}
	}
}
