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

// Bounds of a time line, in events.
const (
	defaultEvents = 1000
	maxEvents     = 10000
)

// startSpread is how much later than others a process of one start of the
// system may begin.
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
	joined := &joinedEvents{limit: int(filter.GetLimit())}
	answered := map[int]*peerpb.GetEventsResponse{}
	members := s.allMembers()
	s.each(ctx, members, func(ctx context.Context, i int, _ membership.Member, client peerpb.NodeClient) error {
		resp, err := client.GetEvents(ctx, &peerpb.GetEventsRequest{Filter: filter})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		joined.add(resp.GetEvents())
		resp.Events = nil
		answered[i] = resp
		return nil
	})
	joined.cut()
	out := &pb.GetTimelineResponse{Events: timeline.Order(joined.events)}
	out.Gaps = gaps(members, answered, out.Events, filter, joined.omitted)
	return out, nil
}

func eventLimit(wanted int32) int32 {
	if wanted <= 0 {
		return defaultEvents
	}
	return min(wanted, maxEvents)
}

// joinedEvents gathers events and keeps the newest, so that the memory of a
// call is bounded however many processes answer.
type joinedEvents struct {
	limit   int
	events  []*pb.Event
	omitted int
}

func (j *joinedEvents) add(list []*pb.Event) {
	j.events = append(j.events, list...)
	if len(j.events) > 4*j.limit {
		j.cut()
	}
}

// cut leaves out the oldest events beyond the limit.
func (j *joinedEvents) cut() {
	extra := len(j.events) - j.limit
	if extra <= 0 {
		return
	}
	slices.SortStableFunc(j.events, func(a, b *pb.Event) int { return a.GetTime().AsTime().Compare(b.GetTime().AsTime()) })
	j.events = slices.Clone(j.events[extra:])
	j.omitted += extra
}

// gaps lists what a time line lacks. members are the processes asked, answered
// holds what those that answered said of their rings.
func gaps(members []membership.Member, answered map[int]*peerpb.GetEventsResponse, list []*pb.Event, filter *pb.GetTimelineRequest, omitted int) []*pb.TimelineGap {
	var out []*pb.TimelineGap
	since := spanStart(list, answered, filter)
	for i, member := range members {
		resp, ok := answered[i]
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
			Kind: pb.TimelineGapKind_TIMELINE_GAP_KIND_LIMIT, Reason: "more events than the limit: the oldest are left out", Before: first(list),
		})
	}
	if filter.GetRequestId() != "" && len(list) > 0 && !received(list) {
		out = append(out, &pb.TimelineGap{
			Kind: pb.TimelineGapKind_TIMELINE_GAP_KIND_REPLACED, Before: first(list),
			Reason: "the process that received the request is gone, or no longer keeps its events",
		})
	}
	slices.SortStableFunc(out, func(a, b *pb.TimelineGap) int { return cmp.Compare(a.GetProcess(), b.GetProcess()) })
	return out
}

// processGaps lists what one process lacks since a time.
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

// spanStart returns the time from which a time line is meant to be whole: the
// filter's, else that of the first process's start, with some spread.
func spanStart(list []*pb.Event, answered map[int]*peerpb.GetEventsResponse, filter *pb.GetTimelineRequest) time.Time {
	if filter.GetStart() != nil {
		return filter.GetStart().AsTime()
	}
	if filter.GetRequestId() != "" && len(list) > 0 {
		return first(list).AsTime()
	}
	var start time.Time
	for _, resp := range answered {
		if at := resp.GetStarted().AsTime(); start.IsZero() || at.Before(start) {
			start = at
		}
	}
	return start.Add(startSpread)
}

// first returns the earliest time in a time line.
func first(list []*pb.Event) *timestamppb.Timestamp {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b *pb.Event) int { return a.GetTime().AsTime().Compare(b.GetTime().AsTime()) }).GetTime()
}

func received(list []*pb.Event) bool {
	return slices.ContainsFunc(list, func(e *pb.Event) bool { return e.GetKind() == string(events.RequestReceived) })
}
