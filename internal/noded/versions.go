package noded

import "chestnutgauge/internal/era"

// appliedPosition returns the position of the store that the endpoints of this node include, or false if
// there is none.
func (n *Node) appliedPosition() (era.Position, bool) {
	return n.entries.Feed().Applied()
}
