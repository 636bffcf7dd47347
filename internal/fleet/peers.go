package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// peerTTL is how long a node counts as one that may be asked after an owner last named it. A new owner
// names only those that have reported to it, and a node may have no owner for a while.
const peerTTL = time.Minute

// peerRotation chooses among the other nodes that may be asked. The zero value knows none. Client.mu protects it.
type peerRotation struct {
	// named is when each was last named.
	named map[string]time.Time
	// order holds those that were not chosen yet since all of them were, in random order.
	order []string
}

// add records that an owner has named nodes.
func (p *peerRotation) add(addresses []string, now time.Time) {
	if p.named == nil {
		p.named = map[string]time.Time{}
	}
	for _, address := range addresses {
		p.named[address] = now
	}
	maps.DeleteFunc(p.named, func(_ string, named time.Time) bool { return now.Sub(named) > peerTTL })
}

// next returns at most limit nodes, each of those that are known before any comes again. others are
// known besides.
func (p *peerRotation) next(limit int, self string, others []string) []string {
	var out []string
	for refilled := false; len(out) < limit; {
		if len(p.order) == 0 {
			if refilled {
				break
			}
			p.refill(self, others)
			refilled = true
			continue
		}
		address := p.order[0]
		p.order = p.order[1:]
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// refill puts all known nodes but this one into a random order.
func (p *peerRotation) refill(self string, others []string) {
	known := map[string]bool{}
	for _, address := range others {
		known[address] = true
	}
	for address := range p.named {
		known[address] = true
	}
	delete(known, self)
	p.order = slices.Sorted(maps.Keys(known))
	rand.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
}

// nextPeers returns at most limit other nodes, each of those that are known before any comes again, in
// random order: those that an owner has named of late, and those that the record of the lease names.
func (c *Client) nextPeers(limit int) []string {
	others := c.Others()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.askable.next(limit, c.Self, others)
}
