// Package timeline puts the events of all processes in one order: by cause
// where it is known, else by the clocks of the VMs.
//
// Known causes (happened-before, Lamport, 1978):
//   - an event of a process comes after the ones that it recorded before
//   - all events of a request come after the request was received
//   - a version is applied after the change that created it, or a newer one,
//     was accepted
//   - events that carry an engine's fence come after the engine was taken with
//     it, and that after it was taken with a lower one
package timeline

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/events"
)

// item is an event with what must come before and after it.
type item struct {
	event *pb.Event
	after []*item
	// waits counts the events that must come before.
	waits int
	done  bool
}

func (i *item) before(next *item) {
	if i != next && i.event.GetIncarnation() != next.event.GetIncarnation() {
		i.link(next)
	}
}

func (i *item) link(next *item) {
	i.after = append(i.after, next)
	next.waits++
}

// Order puts events in order and says of each how its place is known. The
// events' order field is set.
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

// compare orders by clock, and equal times by process and sequence.
func compare(a, b *item) int {
	return cmp.Or(
		a.event.GetTime().AsTime().Compare(b.event.GetTime().AsTime()),
		cmp.Compare(a.event.GetProcess(), b.event.GetProcess()),
		cmp.Compare(a.event.GetSequence(), b.event.GetSequence()),
	)
}

// linkProcesses orders the events of each life of a process by their numbers.
func linkProcesses(items []*item) {
	lives := map[string][]*item{}
	for _, i := range items {
		lives[i.event.GetIncarnation()] = append(lives[i.event.GetIncarnation()], i)
	}
	for _, life := range lives {
		slices.SortStableFunc(life, func(a, b *item) int { return cmp.Compare(a.event.GetSequence(), b.event.GetSequence()) })
		for n := 1; n < len(life); n++ {
			life[n-1].link(life[n])
		}
	}
}

// linkRequests puts the receipt of a request before its other events.
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
			first.before(i)
		}
	}
}

// linkVersions puts the acceptance of a version before its first application
// in each process.
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
				change.before(list[n])
			}
		}
	}
}

// fenceKey names one ownership of an engine.
type fenceKey struct {
	endpoint string
	fence    int64
}

// linkFences puts the taking of an engine before what carries its fence, and
// before the next taking.
func linkFences(items []*item) {
	taken := map[fenceKey]*item{}
	takings := map[string][]*item{}
	for _, i := range items {
		key := fenceKey{i.event.GetEndpoint(), i.event.GetFence()}
		if i.event.GetKind() == string(events.EndpointTaken) && taken[key] == nil {
			taken[key] = i
			takings[key.endpoint] = append(takings[key.endpoint], i)
		}
	}
	for _, i := range items {
		if first := taken[fenceKey{i.event.GetEndpoint(), i.event.GetFence()}]; first != nil {
			first.before(i)
		}
	}
	for _, list := range takings {
		slices.SortFunc(list, func(a, b *item) int { return cmp.Compare(a.event.GetFence(), b.event.GetFence()) })
		for n := 1; n < len(list); n++ {
			list[n-1].before(list[n])
		}
	}
}

// queue holds the events that nothing is left to come before, by clock.
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

// emit sorts topologically, by clock among what is free. Where causes
// contradict each other the clock decides. items are in the order of the
// clocks.
func emit(items []*item) []*pb.Event {
	free := &queue{}
	for _, i := range items {
		if i.waits == 0 {
			heap.Push(free, i)
		}
	}
	out := make([]*pb.Event, 0, len(items))
	next := 0
	var newest time.Time
	for len(out) < len(items) {
		for free.Len() == 0 {
			if !items[next].done {
				heap.Push(free, items[next])
			}
			next++
		}
		i := heap.Pop(free).(*item)
		if i.done {
			continue
		}
		i.done = true
		out = append(out, i.event)
		newest = mark(newest, i.event)
		for _, after := range i.after {
			if after.waits--; after.waits == 0 && !after.done {
				heap.Push(free, after)
			}
		}
	}
	return out
}

// mark says how the place of an event after others, the newest of which is
// from a time, is known. It returns the newest time with the event.
func mark(newest time.Time, event *pb.Event) time.Time {
	at := event.GetTime().AsTime()
	if at.Before(newest) {
		event.Order = pb.EventOrder_EVENT_ORDER_CAUSE
		return newest
	}
	event.Order = pb.EventOrder_EVENT_ORDER_CLOCK
	return at
}
