// Package timeline sorts the events of all processes: by causality where it is
// known, and otherwise by the clocks of the VMs.
//
// Known causality (happened-before, Lamport, 1978):
//   - an event of a process follows the ones that it recorded earlier
//   - all events of a request follow the receipt of the request
//   - the application of a version, or of a newer one, follows the acceptance of
//     the change that created the version
//   - events that carry an engine's fence follow the event of taking the engine
//     with this fence, which follows that of taking it with the next lower fence
package timeline

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/events"
)

// item is an event with its causal successors.
type item struct {
	event      *pb.Event
	successors []*item
	// pending is the number of predecessors that have not been emitted.
	pending int
	done    bool
}

// linkOther links i to next unless both are of one incarnation, whose events
// linkProcesses links.
func (i *item) linkOther(next *item) {
	if i != next && i.event.GetIncarnation() != next.event.GetIncarnation() {
		i.link(next)
	}
}

// link makes i a predecessor of next.
func (i *item) link(next *item) {
	i.successors = append(i.successors, next)
	next.pending++
}

// Order returns the events sorted and sets the order field of each to how its
// position is known.
func Order(list []*pb.Event) []*pb.Event {
	items := make([]*item, len(list))
	for i, event := range list {
		items[i] = &item{event: event}
	}
	slices.SortStableFunc(items, compare)
	linkProcesses(items)
	linkRequests(items)
	linkVersions(items)
	linkFences(items)
	return emit(items)
}

// compare compares by clock, and equal times by process and sequence.
func compare(a, b *item) int {
	return cmp.Or(
		a.event.GetTime().AsTime().Compare(b.event.GetTime().AsTime()),
		cmp.Compare(a.event.GetProcess(), b.event.GetProcess()),
		cmp.Compare(a.event.GetSequence(), b.event.GetSequence()),
	)
}

// linkProcesses links the events of each incarnation of a process by sequence
// number.
func linkProcesses(items []*item) {
	incarnations := map[string][]*item{}
	for _, i := range items {
		incarnations[i.event.GetIncarnation()] = append(incarnations[i.event.GetIncarnation()], i)
	}
	for _, list := range incarnations {
		slices.SortStableFunc(list, func(a, b *item) int { return cmp.Compare(a.event.GetSequence(), b.event.GetSequence()) })
		for n := 1; n < len(list); n++ {
			list[n-1].link(list[n])
		}
	}
}

// linkRequests links the receipt of a request to its other events.
func linkRequests(items []*item) {
	received := map[string]*item{}
	for _, i := range items {
		id := i.event.GetRequestId()
		if i.event.GetKind() == string(events.RequestReceived) && received[id] == nil {
			received[id] = i
		}
	}
	for _, i := range items {
		first := received[i.event.GetRequestId()]
		if first != nil && i.event.GetRequestId() != "" {
			first.linkOther(i)
		}
	}
}

// linkVersions links the acceptance of a version to the first application, in
// each process, of that version or a newer one.
func linkVersions(items []*item) {
	var changes []*item
	accepted := map[int64]bool{}
	applied := map[string][]*item{}
	for _, i := range items {
		version := i.event.GetConfigVersion()
		switch events.Kind(i.event.GetKind()) {
		case events.ConfigChanged:
			if !accepted[version] {
				accepted[version] = true
				changes = append(changes, i)
			}
		case events.ConfigApplied:
			applied[i.event.GetIncarnation()] = append(applied[i.event.GetIncarnation()], i)
		}
	}
	for _, list := range applied {
		slices.SortFunc(list, func(a, b *item) int { return cmp.Compare(a.event.GetConfigVersion(), b.event.GetConfigVersion()) })
		for _, change := range changes {
			n, _ := slices.BinarySearchFunc(list, change.event.GetConfigVersion(), func(i *item, version int64) int {
				return cmp.Compare(i.event.GetConfigVersion(), version)
			})
			if n < len(list) {
				change.linkOther(list[n])
			}
		}
	}
}

// fenceKey identifies one ownership of an engine.
type fenceKey struct {
	endpoint string
	fence    int64
}

// linkFences links the event of taking an engine with a fence to the events that
// carry the fence, and to the event of taking it with the next higher fence.
func linkFences(items []*item) {
	taken := map[fenceKey]*item{}
	starts := map[string][]*item{}
	for _, i := range items {
		key := fenceKey{i.event.GetEndpoint(), i.event.GetFence()}
		if i.event.GetKind() == string(events.EndpointTaken) && taken[key] == nil {
			taken[key] = i
			starts[key.endpoint] = append(starts[key.endpoint], i)
		}
	}
	for _, i := range items {
		if start := taken[fenceKey{i.event.GetEndpoint(), i.event.GetFence()}]; start != nil {
			start.linkOther(i)
		}
	}
	for _, list := range starts {
		slices.SortFunc(list, func(a, b *item) int { return cmp.Compare(a.event.GetFence(), b.event.GetFence()) })
		for n := 1; n < len(list); n++ {
			list[n-1].linkOther(list[n])
		}
	}
}

// queue is a priority queue of the events without pending predecessors, by
// clock.
type queue []*item

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return compare(q[a], q[b]) < 0 }
func (q queue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)        { *q = append(*q, x.(*item)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// emit sorts topologically, and by clock among the events without pending
// predecessors. If the links form a cycle, it continues with the earliest
// remaining event by clock. items must be sorted by clock.
func emit(items []*item) []*pb.Event {
	ready := &queue{}
	for _, i := range items {
		if i.pending == 0 {
			heap.Push(ready, i)
		}
	}
	out := make([]*pb.Event, 0, len(items))
	next := 0
	var newest time.Time
	for len(out) < len(items) {
		for ready.Len() == 0 {
			if !items[next].done {
				heap.Push(ready, items[next])
			}
			next++
		}
		i := heap.Pop(ready).(*item)
		if i.done {
			continue
		}
		i.done = true
		out = append(out, i.event)
		newest = setOrder(newest, i.event)
		for _, successor := range i.successors {
			if successor.pending--; successor.pending == 0 && !successor.done {
				heap.Push(ready, successor)
			}
		}
	}
	return out
}

// setOrder sets how the position of an event is known. newest is the newest
// time of the events before it. It returns the newest time including the event.
func setOrder(newest time.Time, event *pb.Event) time.Time {
	at := event.GetTime().AsTime()
	if at.Before(newest) {
		event.Order = pb.EventOrder_EVENT_ORDER_CAUSE
		return newest
	}
	event.Order = pb.EventOrder_EVENT_ORDER_CLOCK
	return at
}
