package admin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/timeline"
)

// Limits of a timeline, in events.
const (
	defaultEvents = 1000
	maxEvents     = 10000
)

// startSpread is the maximum difference between the start times of the
// processes when the whole system starts.
const startSpread = 10 * time.Second

// GetTimeline implements the operators' interface.
func (s *Service) GetTimeline(ctx context.Context, req *pb.GetTimelineRequest) (*pb.GetTimelineResponse, error) {
	if req.GetStart() != nil && req.GetEnd() != nil && req.GetEnd().AsTime().Before(req.GetStart().AsTime()) {
		return nil, invalid([]config.Violation{{Field: "end", Reason: "must not be before start"}})
	}
	filter := &pb.GetTimelineRequest{
		RequestId: req.GetRequestId(), Model: req.GetModel(), Endpoint: req.GetEndpoint(),
		Start: req.GetStart(), End: req.GetEnd(), Limit: eventLimit(req.GetLimit()),
	}
	var mu sync.Mutex
	merged := &mergedEvents{limit: int(filter.GetLimit())}
	responses := map[int]*peerpb.GetEventsResponse{}
	members := s.allMembers()
	s.forEachMember(ctx, members, func(ctx context.Context, i int, _ membership.Member, client peerpb.NodeClient) error {
		resp, err := client.GetEvents(ctx, &peerpb.GetEventsRequest{Filter: filter})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		merged.add(resp.GetEvents())
		resp.Events = nil
		responses[i] = resp
		return nil
	})
	merged.trim()
	out := &pb.GetTimelineResponse{Events: timeline.Order(merged.events)}
	out.Gaps = gaps(members, responses, out.Events, filter, merged.omitted)
	return out, nil
}

func eventLimit(requested int32) int32 {
	if requested <= 0 {
		return defaultEvents
	}
	return min(requested, maxEvents)
}

// mergedEvents collects events and retains the newest, so that the memory of a
// call is bounded regardless of the number of processes.
type mergedEvents struct {
	limit   int
	events  []*pb.Event
	omitted int
}

func (m *mergedEvents) add(list []*pb.Event) {
	m.events = append(m.events, list...)
	if len(m.events) > 4*m.limit {
		m.trim()
	}
}

// trim drops the oldest events beyond the limit.
func (m *mergedEvents) trim() {
	extra := len(m.events) - m.limit
	if extra <= 0 {
		return
	}
	slices.SortStableFunc(m.events, func(a, b *pb.Event) int { return a.GetTime().AsTime().Compare(b.GetTime().AsTime()) })
	m.events = slices.Clone(m.events[extra:])
	m.omitted += extra
}

// gaps lists what a timeline lacks. members are the processes that were asked,
// responses holds the responses received, by index in members.
func gaps(members []membership.Member, responses map[int]*peerpb.GetEventsResponse, list []*pb.Event, filter *pb.GetTimelineRequest, omitted int) []*pb.TimelineGap {
	var out []*pb.TimelineGap
	since := spanStart(list, responses, filter)
	for i, member := range members {
		resp, ok := responses[i]
		if !ok {
			out = append(out, &pb.TimelineGap{
				Process: member.Name(), Kind: pb.TimelineGapKind_TIMELINE_GAP_KIND_NO_ANSWER, Reason: "did not answer",
			})
			continue
		}
		out = append(out, processGaps(resp, since)...)
		omitted += int(resp.GetOmitted())
	}
	if omitted > 0 {
		out = append(out, &pb.TimelineGap{
			Kind: pb.TimelineGapKind_TIMELINE_GAP_KIND_LIMIT, Reason: "more events than the limit: the oldest are left out", Before: earliest(list),
		})
	}
	if filter.GetRequestId() != "" && len(list) > 0 && !hasReceived(list) {
		out = append(out, &pb.TimelineGap{
			Kind: pb.TimelineGapKind_TIMELINE_GAP_KIND_REPLACED, Before: earliest(list),
			Reason: "the process that received the request is gone, or no longer keeps its events",
		})
	}
	slices.SortStableFunc(out, func(a, b *pb.TimelineGap) int { return cmp.Compare(a.GetProcess(), b.GetProcess()) })
	return out
}

// processGaps lists what the events of one process lack since a time.
func processGaps(resp *peerpb.GetEventsResponse, since time.Time) []*pb.TimelineGap {
	var out []*pb.TimelineGap
	if resp.GetStarted().AsTime().After(since) {
		out = append(out, &pb.TimelineGap{
			Process: resp.GetProcess(), Kind: pb.TimelineGapKind_TIMELINE_GAP_KIND_REPLACED, Before: resp.GetStarted(),
			Reason: "the process was started within this time: the events of an earlier life are gone",
		})
	}
	if resp.GetDropped() > 0 && resp.GetOldest().AsTime().After(since) {
		out = append(out, &pb.TimelineGap{
			Process: resp.GetProcess(), Kind: pb.TimelineGapKind_TIMELINE_GAP_KIND_DROPPED, Before: resp.GetOldest(),
			Reason: "older events are no longer kept",
		})
	}
	return out
}

// spanStart returns the time from which a timeline should be complete: the
// filter's start, else the first event of the filter's request, else
// startSpread after the first process's start.
func spanStart(list []*pb.Event, responses map[int]*peerpb.GetEventsResponse, filter *pb.GetTimelineRequest) time.Time {
	if filter.GetStart() != nil {
		return filter.GetStart().AsTime()
	}
	if filter.GetRequestId() != "" && len(list) > 0 {
		return earliest(list).AsTime()
	}
	var start time.Time
	for _, resp := range responses {
		if at := resp.GetStarted().AsTime(); start.IsZero() || at.Before(start) {
			start = at
		}
	}
	return start.Add(startSpread)
}

// earliest returns the earliest time in a timeline.
func earliest(list []*pb.Event) *timestamppb.Timestamp {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b *pb.Event) int { return a.GetTime().AsTime().Compare(b.GetTime().AsTime()) }).GetTime()
}

func hasReceived(list []*pb.Event) bool {
	return slices.ContainsFunc(list, func(e *pb.Event) bool { return e.GetKind() == string(events.RequestReceived) })
}
