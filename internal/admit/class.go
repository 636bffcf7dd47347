package admit

import (
	"container/heap"
	"time"
)

// minWork is the least that a request is charged.
const minWork = time.Millisecond

// organisation is what an organisation has waiting in a class.
type organisation struct {
	name  string
	items deadlineHeap
	work  time.Duration
	// served is the work that it was given, on the class's virtual clock.
	served time.Duration
}

// class holds the waiting requests of one class.
type class struct {
	organisations map[string]*organisation
	waiting       int
	bytes         int
	work          time.Duration
	// clock is the virtual time: what an organisation with its fair share has
	// been given. It never goes back.
	clock time.Duration
}

func (c *class) add(item *Item) {
	o, ok := c.organisations[item.Organisation]
	if !ok {
		o = &organisation{name: item.Organisation, served: c.clock}
		c.organisations[item.Organisation] = o
	}
	item.owner = o
	heap.Push(&o.items, item)
	o.work += item.Work
	c.waiting++
	c.bytes += item.Bytes
	c.work += item.Work
}

func (c *class) remove(item *Item) {
	o := item.owner
	item.owner = nil
	heap.Remove(&o.items, item.position)
	o.work -= item.Work
	c.waiting--
	c.bytes -= item.Bytes
	c.work -= item.Work
	c.forget()
}

// forget drops the organisations that have nothing waiting and are not ahead,
// so that the class keeps no more than what waits needs.
func (c *class) forget() {
	if c.waiting == 0 {
		clear(c.organisations)
		return
	}
	for name, o := range c.organisations {
		if len(o.items) == 0 && o.served <= c.clock {
			delete(c.organisations, name)
		}
	}
}

// charge counts a request that starts.
func (c *class) charge(item *Item) {
	item.owner.served += max(item.Work, minWork)
	c.advance()
}

// advance moves the clock to the organisation that has been given least among
// those that wait.
func (c *class) advance() {
	least, found := time.Duration(0), false
	for _, o := range c.organisations {
		if len(o.items) == 0 {
			continue
		}
		if !found || o.served < least {
			least, found = o.served, true
		}
	}
	if found {
		c.clock = max(c.clock, least)
	}
}

// head returns the earliest deadline among the organisations that are not too
// far ahead of the one that has been given least.
func (c *class) head(ahead int) *Item {
	c.advance()
	var best *Item
	for _, o := range c.organisations {
		if len(o.items) == 0 {
			continue
		}
		first := o.items[0]
		lead := time.Duration(ahead) * max(first.Work, minWork)
		if o.served > c.clock+lead {
			continue
		}
		if best == nil || first.before(best) {
			best = first
		}
	}
	return best
}

// ahead returns the work that goes before a request: of its own organisation
// what has an earlier deadline, of each other one no more than the fair share.
func (c *class) ahead(req Request, lead int) time.Duration {
	own := c.organisations[req.Organisation]
	mine := own.before(req.Deadline)
	served := c.clock
	if own != nil {
		served = max(served, own.served)
	}
	sum := mine
	for _, o := range c.organisations {
		if o == own {
			continue
		}
		fair := mine + req.Work + max(0, served-o.served) + time.Duration(lead)*req.Work
		sum += min(o.before(req.Deadline), fair)
	}
	return sum
}

// before returns the organisation's work with a deadline before the one given.
func (o *organisation) before(deadline time.Time) time.Duration {
	if o == nil {
		return 0
	}
	var sum time.Duration
	for _, item := range o.items {
		if !item.Deadline.After(deadline) {
			sum += item.Work
		}
	}
	return sum
}

// evict removes the last request of the organisation with the most waiting
// ones, if it is another one and stays with at least as many as newcomer has.
func (c *class) evict(newcomer string) *Item {
	var most *organisation
	for _, o := range c.organisations {
		if most == nil || len(o.items) > len(most.items) || (len(o.items) == len(most.items) && o.name < most.name) {
			most = o
		}
	}
	mine := 0
	if own := c.organisations[newcomer]; own != nil {
		mine = len(own.items)
	}
	if most == nil || most.name == newcomer || len(most.items) <= mine+1 {
		return nil
	}
	last := most.items[0]
	for _, item := range most.items {
		if last.before(item) {
			last = item
		}
	}
	c.remove(last)
	return last
}

func (i *Item) before(other *Item) bool {
	if i.Deadline.Equal(other.Deadline) {
		return i.sequence < other.sequence
	}
	return i.Deadline.Before(other.Deadline)
}

// deadlineHeap orders items by deadline.
type deadlineHeap []*Item

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	item := x.(*Item)
	item.position = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}
