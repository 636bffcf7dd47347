package admin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer/peerpb"
)

// gatherTimeout bounds the call to one process.
const gatherTimeout = time.Second

// gatherParallel bounds the calls in flight.
const gatherParallel = 32

// nodeReport is what one process answered.
type nodeReport struct {
	node      *pb.NodeStatus
	endpoints []*pb.EndpointStatus
	models    []*pb.ModelStatus
}

// allMembers returns every process of the membership list.
func (s *Service) allMembers() []membership.Member {
	var out []membership.Member
	for _, role := range []membership.Role{membership.RoleRouter, membership.RoleController, membership.RoleAdmin} {
		out = append(out, s.members.Members(role, "")...)
	}
	return out
}

// each calls every process at once and waits for all.
func (s *Service) each(ctx context.Context, call func(ctx context.Context, i int, member membership.Member, client peerpb.NodeClient) error) []membership.Member {
	members := s.allMembers()
	var group errgroup.Group
	group.SetLimit(gatherParallel)
	for i, member := range members {
		group.Go(func() error {
			client, err := s.peers.Node(member.Address)
			if err != nil {
				return err
			}
			callCtx, cancel := context.WithTimeout(ctx, gatherTimeout)
			defer cancel()
			return call(callCtx, i, member, client)
		})
	}
	_ = group.Wait()
	return members
}

// gather asks every process for its status.
func (s *Service) gather(ctx context.Context) []nodeReport {
	var mu sync.Mutex
	answered := map[int]*peerpb.GetNodeStatusResponse{}
	members := s.each(ctx, func(ctx context.Context, i int, _ membership.Member, client peerpb.NodeClient) error {
		resp, err := client.GetNodeStatus(ctx, &peerpb.GetNodeStatusRequest{})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		answered[i] = resp
		return nil
	})
	reports := make([]nodeReport, len(members))
	for i, member := range members {
		resp, ok := answered[i]
		if !ok {
			reports[i].node = &pb.NodeStatus{Vm: member.VM, Role: string(member.Role), DataCentre: member.DataCentre}
			continue
		}
		reports[i] = nodeReport{resp.GetNode(), resp.GetEndpoints(), resp.GetModels()}
	}
	return reports
}

// GetStatus implements the operators' interface.
func (s *Service) GetStatus(ctx context.Context, _ *pb.GetStatusRequest) (*pb.Status, error) {
	out := &pb.Status{}
	if head, err := s.store.Head(ctx); err == nil {
		out.HeadVersion = head
	}
	for _, report := range s.gather(ctx) {
		out.Nodes = append(out.Nodes, report.node)
		out.Endpoints = append(out.Endpoints, report.endpoints...)
		out.Models = append(out.Models, report.models...)
	}
	return out, nil
}

// Bounds of a time line.
const (
	defaultEvents = 1000
	maxEvents     = 10000
)

// GetTimeline implements the operators' interface.
func (s *Service) GetTimeline(ctx context.Context, req *pb.GetTimelineRequest) (*pb.GetTimelineResponse, error) {
	var mu sync.Mutex
	out := &pb.GetTimelineResponse{}
	answered := map[int]bool{}
	members := s.each(ctx, func(ctx context.Context, i int, member membership.Member, client peerpb.NodeClient) error {
		resp, err := client.GetEvents(ctx, &peerpb.GetEventsRequest{Filter: req})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		answered[i] = true
		out.Events = append(out.Events, resp.GetEvents()...)
		if resp.GetDropped() > 0 {
			out.Gaps = append(out.Gaps, &pb.TimelineGap{Process: resp.GetProcess(), Reason: "older events are no longer kept"})
		}
		return nil
	})
	for i, member := range members {
		if !answered[i] {
			out.Gaps = append(out.Gaps, &pb.TimelineGap{Process: member.Name(), Reason: "did not answer"})
		}
	}
	sortEvents(out.Events)
	limit := int(req.GetLimit())
	if limit <= 0 {
		limit = defaultEvents
	}
	limit = min(limit, maxEvents)
	if extra := len(out.Events) - limit; extra > 0 {
		out.Events = out.Events[extra:]
	}
	return out, nil
}
