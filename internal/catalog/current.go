package catalog

import "sync"

// Current holds the active configuration. Its methods are safe for concurrent
// use. The zero value holds none.
type Current struct {
	mu      sync.Mutex
	catalog *Catalog
	changed chan struct{}
}

// Get returns the active configuration, or nil if there is none yet.
func (c *Current) Get() *Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog
}

// Version returns the active version, or 0 if there is none yet.
func (c *Current) Version() int64 {
	version, _ := c.Watch()
	return version
}

// Watch returns the active version, or 0 if there is none yet, and a channel
// that is closed at the next change.
func (c *Current) Watch() (version int64, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	if c.catalog != nil {
		version = c.catalog.Version
	}
	return version, c.changed
}

// Update activates a configuration if it is newer than the active one, and
// reports whether it did.
func (c *Current) Update(next *Catalog) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog != nil && next.Version <= c.catalog.Version {
		return false
	}
	c.catalog = next
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
	return true
}
