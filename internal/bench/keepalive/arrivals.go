package keepalive

import (
	"container/heap"
	"time"
)

// arrivals merges the arrivals of all traces in chronological order.
type arrivals struct {
	traces []trace
	heads  heads
}

// head is the next arrival of a trace.
type head struct {
	at    time.Duration
	model int
	index int
}

func newArrivals(traces []trace) *arrivals {
	a := &arrivals{traces: traces}
	for model, t := range traces {
		if len(t.arrivals) > 0 {
			a.heads = append(a.heads, head{t.arrivals[0], model, 0})
		}
	}
	heap.Init(&a.heads)
	return a
}

// next returns the model of the next arrival and its index in the model's trace.
func (a *arrivals) next() (model, index int, ok bool) {
	if len(a.heads) == 0 {
		return 0, 0, false
	}
	first := a.heads[0]
	t := a.traces[first.model]
	if first.index+1 < len(t.arrivals) {
		a.heads[0].index++
		a.heads[0].at = t.arrivals[first.index+1]
		heap.Fix(&a.heads, 0)
	} else {
		heap.Pop(&a.heads)
	}
	return first.model, first.index, true
}

// heads implements heap.Interface. It is ordered by time, then model.
type heads []head

func (h heads) Len() int { return len(h) }

func (h heads) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].model < h[j].model
}

func (h heads) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *heads) Push(x any) { *h = append(*h, x.(head)) }

// Pop implements heap.Interface.
func (h *heads) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
