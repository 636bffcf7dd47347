package ratelimit

import (
	"maps"
	"time"
)

// contacts are the nodes that share the limits, as the owner knows them. Those out of contact
// use their part of the limits on their own.
type contacts struct {
	nodes map[string]*contact
	// unlisted is the number of nodes of the previous owner whose addresses are not known,
	// until unlistedEnd; each may use unlistedPart.
	unlisted     int
	unlistedPart float64
	unlistedEnd  time.Duration
	// pooled is the number of nodes that share the limits if only the parts of those in
	// contact count, 0 otherwise.
	pooled int
	// share is the part of the limits that nodes out of contact don't use, as of checkedAt.
	share     float64
	checkedAt time.Duration
}

// contact is what the owner knows of one node's contact.
type contact struct {
	// until is when the node counts as out of contact, end when it no longer uses its part.
	until, end time.Duration
	// part is the largest part of the limits that the node may use by what it was told last and
	// before, told the last one.
	part, told float64
}

// contactCheckInterval is the time between two sums over all nodes, unless one comes into contact.
const contactCheckInterval = 10 * time.Millisecond

// newContacts returns the nodes that a previous owner knew, all of them out of contact.
func newContacts(known []string, count int, now time.Duration) *contacts {
	c := &contacts{nodes: map[string]*contact{}, unlistedEnd: now + partEnd}
	count = max(count, len(known))
	for _, node := range known {
		part := 1 / float64(count)
		c.nodes[node] = &contact{until: now, end: now + partEnd, part: part, told: part}
	}
	if c.unlisted = count - len(c.nodes); c.unlisted > 0 {
		c.unlistedPart = 1 / float64(count)
	}
	c.check(now)
	return c
}

// newPoolContacts returns the contacts of a pool to which any of count nodes can give their
// parts.
func newPoolContacts(count int) *contacts {
	return &contacts{nodes: map[string]*contact{}, pooled: count}
}

// asked records an ask of a node that had its last answer a time ago, and returns the number of
// nodes that share the limits.
func (c *contacts) asked(node string, answered, now time.Duration) int {
	n, known := c.nodes[node]
	if !known {
		n = &contact{}
		c.nodes[node] = n
		c.unlisted = max(0, c.unlisted-1)
	}
	answered = max(0, answered)
	away := n.until <= now
	n.until = max(n.until, min(now+contactTimeout, now-answered+partDelay))
	n.end = max(n.end, now-answered+partEnd+contactTimeout)
	if !known || away || now-c.checkedAt > contactCheckInterval {
		c.check(now)
	}
	count := c.count(now)
	told := 1 / float64(count)
	n.part, n.told = max(n.told, told), told
	return count
}

// count returns the number of nodes that share the limits.
func (c *contacts) count(now time.Duration) int {
	if c.pooled > 0 {
		return c.pooled
	}
	count := len(c.nodes)
	if now < c.unlistedEnd {
		count += c.unlisted
	}
	return max(1, count)
}

// check sums what nodes out of contact may use, and drops those that use nothing any more.
func (c *contacts) check(now time.Duration) {
	c.share = c.shareAt(now)
	c.checkedAt = now
	maps.DeleteFunc(c.nodes, func(_ string, n *contact) bool { return n.until <= now && n.end <= now })
}

// shareAt returns the part of the limits that nodes out of contact don't use.
func (c *contacts) shareAt(now time.Duration) float64 {
	if c.pooled > 0 {
		return c.pooledShareAt(now)
	}
	share := 1.0
	if now < c.unlistedEnd {
		share -= float64(c.unlisted) * c.unlistedPart
	}
	for _, n := range c.nodes {
		if n.until <= now && now < n.end {
			share -= n.part
		}
	}
	return max(0, share)
}

// pooledShareAt returns the parts of the nodes in contact.
func (c *contacts) pooledShareAt(now time.Duration) float64 {
	in := 0
	for _, n := range c.nodes {
		if now < n.until {
			in++
		}
	}
	return min(1, float64(in)/float64(c.pooled))
}

// inContact returns the part of the limits that the owner refills from one time to another.
func (c *contacts) inContact(from, to time.Duration) float64 {
	if to-c.checkedAt <= contactCheckInterval {
		return c.share
	}
	share := min(c.share, c.shareAt(from), c.shareAt(to))
	c.check(to)
	return share
}
