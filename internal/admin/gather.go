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

// gatherConcurrency bounds the number of concurrent calls.
const gatherConcurrency = 32

// nodeReport is the status of one process.
type nodeReport struct {
	node      *pb.NodeStatus
	endpoints []*pb.EndpointStatus
}

// allMembers returns every process of the membership list.
func (s *Service) allMembers() []membership.Member {
	var out []membership.Member
	for _, role := range []membership.Role{membership.RoleRouter, membership.RoleController, membership.RoleAdmin} {
		out = append(out, s.members.Members(role, "")...)
	}
	return out
}

// forEachMember calls processes concurrently, at most gatherConcurrency at a
// time, and waits for all calls. It ignores their errors.
func (s *Service) forEachMember(ctx context.Context, members []membership.Member, call func(ctx context.Context, i int, member membership.Member, client peerpb.NodeClient) error) {
	var group errgroup.Group
	group.SetLimit(gatherConcurrency)
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
}

// gather requests the status of processes.
func (s *Service) gather(ctx context.Context, members []membership.Member) []nodeReport {
	var mu sync.Mutex
	responses := map[int]*peerpb.GetNodeStatusResponse{}
	s.forEachMember(ctx, members, func(ctx context.Context, i int, _ membership.Member, client peerpb.NodeClient) error {
		resp, err := client.GetNodeStatus(ctx, &peerpb.GetNodeStatusRequest{})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		responses[i] = resp
		return nil
	})
	reports := make([]nodeReport, len(members))
	for i, member := range members {
		resp, ok := responses[i]
		if !ok {
			reports[i].node = &pb.NodeStatus{Vm: member.VM, Role: string(member.Role), DataCentre: member.DataCentre}
			reports[i].node.Suspect = s.members.Suspect(member.Name())
			continue
		}
		reports[i] = nodeReport{resp.GetNode(), resp.GetEndpoints()}
		reports[i].node.Suspect = s.members.Suspect(member.Name())
	}
	return reports
}
