package noded

import (
	"sync"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/era"
)

// appliedPosition returns the position of the store that the endpoints and the configuration of
// this node include, or false if there is none.
func (n *Node) appliedPosition() (era.Position, bool) {
	entries, entriesKnown := n.entries.Feed().Applied()
	config, configKnown := n.config.Feed().Applied()
	if !entriesKnown || !configKnown || entries.Era != config.Era {
		return era.Position{}, false
	}
	if entries.After(config) {
		return config, true
	}
	return entries, true
}

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
