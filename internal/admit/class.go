package admit

import (
	"container/heap"
	"iter"
	"time"

	"chestnutgauge/internal/fairqueue"
)

// minWork is the minimum work that is charged for a request.
const minWork = time.Millisecond

// organisation holds the waiting requests of one organisation in a class.
type organisation struct {
	name  string
	items deadlineHeap
	// work is the total work of the items.
	work time.Duration
	// flow is the work that the organisation has received, in nanoseconds.
	flow fairqueue.Flow
}

// class holds the waiting requests of one class.
type class struct {
	organisations map[string]*organisation
	// waiting, bytes and work are totals over all waiting requests.
	waiting int
	bytes   int
	work    time.Duration
	clock   fairqueue.Clock
}

// add adds an item. A new organisation starts at the current virtual time.
func (c *class) add(item *Item) {
	o, ok := c.organisations[item.Organisation]
	if !ok {
		o = &organisation{name: item.Organisation}
		c.clock.Join(&o.flow, 0)
		c.organisations[item.Organisation] = o
	}
	item.owner = o
	heap.Push(&o.items, item)
	o.work += item.Work
	c.waiting++
	c.bytes += item.Bytes
	c.work += item.Work
}

// remove removes an item.
func (c *class) remove(item *Item) {
	o := item.owner
	item.owner = nil
	heap.Remove(&o.items, item.position)
	o.work -= item.Work
	c.waiting--
	c.bytes -= item.Bytes
	c.work -= item.Work
	c.dropIdle()
}

// dropIdle deletes the organisations that have no waiting requests and have not
// received more than their fair share, so that the state of a class stays
// proportional to its waiting requests.
func (c *class) dropIdle() {
	if c.waiting == 0 {
		clear(c.organisations)
		return
	}
	for name, o := range c.organisations {
		if len(o.items) == 0 && c.clock.Lead(&o.flow) == 0 {
			delete(c.organisations, name)
		}
	}
}

// charge adds the work of a request that starts to its organisation's service.
func (c *class) charge(item *Item) {
	c.clock.Charge(&item.owner.flow, float64(max(item.Work, minWork)))
	fairqueue.Advance(&c.clock, c.heads())
}

// heads gives the first item of each organisation that has any.
func (c *class) heads() iter.Seq2[*fairqueue.Flow, *Item] {
	return func(yield func(*fairqueue.Flow, *Item) bool) {
		for _, o := range c.organisations {
			if len(o.items) > 0 && !yield(&o.flow, o.items[0]) {
				return
			}
		}
	}
}

// head returns the item with the earliest deadline among the organisations that
// exceed their fair share by at most maxLead requests.
func (c *class) head(maxLead int) *Item {
	lead := func(item *Item) float64 { return float64(maxLead) * float64(max(item.Work, minWork)) }
	next, _ := fairqueue.Next(&c.clock, c.heads(), lead, (*Item).before)
	return next
}

// ahead returns the work that is dispatched before a request: the work of its
// own organisation with an earlier or equal deadline, and that of each other
// organisation, limited to the fair share plus maxLead requests.
func (c *class) ahead(req Request, maxLead int) time.Duration {
	own := c.organisations[req.Organisation]
	ownWork := own.before(req.Deadline)
	// joined is the service of the request's organisation once it waits.
	var joined fairqueue.Flow
	if own != nil {
		joined = own.flow
	}
	c.clock.Join(&joined, 0)
	sum := ownWork
	for _, o := range c.organisations {
		if o == own {
			continue
		}
		limit := ownWork + req.Work + time.Duration(max(0, joined.Served()-o.flow.Served())) + time.Duration(maxLead)*req.Work
		sum += min(o.before(req.Deadline), limit)
	}
	return sum
}

// before returns the organisation's work with deadlines up to the given one. o
// may be nil.
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

// evictable returns the request with the latest deadline of the organisation
// with the most waiting requests. It returns nil if that is the newcomer, or if
// that organisation without it had fewer requests than the newcomer has with its
// new one.
func (c *class) evictable(newcomer string) *Item {
	var largest *organisation
	for _, o := range c.organisations {
		if largest == nil || len(o.items) > len(largest.items) || (len(o.items) == len(largest.items) && o.name < largest.name) {
			largest = o
		}
	}
	ownCount := 0
	if own := c.organisations[newcomer]; own != nil {
		ownCount = len(own.items)
	}
	if largest == nil || largest.name == newcomer || len(largest.items) <= ownCount+1 {
		return nil
	}
	last := largest.items[0]
	for _, item := range largest.items {
		if last.before(item) {
			last = item
		}
	}
	return last
}

// before reports whether i is ordered before other: by deadline, then by
// arrival.
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
