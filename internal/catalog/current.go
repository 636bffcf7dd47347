package catalog

import "sync/atomic"

// Current holds the configuration in force. Its methods are safe for
// concurrent use.
type Current struct {
	catalog atomic.Pointer[Catalog]
}

// Get returns the configuration in force, nil if none is known.
func (c *Current) Get() *Catalog {
	return c.catalog.Load()
}

// Version returns the version in force, 0 if none is known.
func (c *Current) Version() int64 {
	if in := c.Get(); in != nil {
		return in.Version
	}
	return 0
}

// Offer puts a configuration in force if it is newer than the one that is, and
// reports whether it did.
func (c *Current) Offer(next *Catalog) bool {
	for {
		before := c.catalog.Load()
		if before != nil && next.Version <= before.Version {
			return false
		}
		if c.catalog.CompareAndSwap(before, next) {
			return true
		}
	}
}
