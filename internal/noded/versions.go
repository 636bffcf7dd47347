package noded

import (
	"sync"

	"chestnutgauge/internal/catalog"
)

// streamTargets returns a function that identifies the services that the routes of streams send
// to, in the configuration in force.
func (n *Node) streamTargets() func() string {
	var mu sync.Mutex
	var of *catalog.Catalog
	targets := ""
	return func() string {
		c := n.config.Get()
		mu.Lock()
		defer mu.Unlock()
		if c != of {
			of, targets = c, ""
			if c != nil {
				targets = c.StreamTargets()
			}
		}
		return targets
	}
}
