// Package node implements the gRPC service that every process offers its peers:
// heartbeats, configuration changes, events, status and suspects.
package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/heartbeat"
	"chestnutgauge/internal/peer/peerpb"
)

// Status returns the part of the node status that is specific to the process.
type Status func() *peerpb.GetNodeStatusResponse

// Service implements peerpb.NodeServer.
type Service struct {
	peerpb.UnimplementedNodeServer

	VM         string
	Role       string
	DataCentre string
	Config     *config.Follower
	Events     *events.Recorder
	Exchange   *heartbeat.Exchange
	// Status returns the process's own part of the node status. It may be nil.
	Status Status
	// Draining reports whether the process is shutting down.
	Draining func() bool
	// AddSuspects adds requests that a peer suspects of crashing endpoints. It may
	// be nil.
	AddSuspects func(*peerpb.ShareSuspectsRequest)
	// Reserve decides whether a router gets the exclusive use of an endpoint
	// for a suspect request. If it is nil, the use is granted.
	Reserve func(*peerpb.OccupyRequest) bool
}

// Occupy implements peerpb.NodeServer.
func (s *Service) Occupy(_ context.Context, req *peerpb.OccupyRequest) (*peerpb.OccupyResponse, error) {
	return &peerpb.OccupyResponse{Granted: s.Reserve == nil || s.Reserve(req)}, nil
}

// ShareSuspects implements peerpb.NodeServer.
func (s *Service) ShareSuspects(_ context.Context, req *peerpb.ShareSuspectsRequest) (*peerpb.ShareSuspectsResponse, error) {
	if s.AddSuspects != nil {
		s.AddSuspects(req)
	}
	return &peerpb.ShareSuspectsResponse{}, nil
}

// Heartbeat implements peerpb.NodeServer.
func (s *Service) Heartbeat(_ context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return s.Exchange.Answer(req), nil
}

// GetChanges implements peerpb.NodeServer.
func (s *Service) GetChanges(_ context.Context, req *peerpb.GetChangesRequest) (*peerpb.GetChangesResponse, error) {
	changes, ok := s.Config.After(req.GetAfterVersion())
	if ok {
		return &peerpb.GetChangesResponse{Version: req.GetAfterVersion() + int64(len(changes)), Changes: changes}, nil
	}
	current := s.Config.Current()
	resp := &peerpb.GetChangesResponse{Snapshot: true, Version: current.Version}
	for _, deployment := range current.Deployments() {
		resp.Changes = append(resp.Changes, &pb.DeploymentChange{
			Version:    deployment.GetVersion(),
			Name:       deployment.GetName(),
			Deployment: deployment,
		})
	}
	return resp, nil
}

// GetEvents implements peerpb.NodeServer.
func (s *Service) GetEvents(_ context.Context, req *peerpb.GetEventsRequest) (*peerpb.GetEventsResponse, error) {
	selected := s.Events.Select(req.GetFilter())
	return &peerpb.GetEventsResponse{
		Events:      selected.Events,
		Process:     s.Events.Process(),
		Incarnation: s.Events.Incarnation(),
		Dropped:     selected.Dropped,
		Started:     timestamppb.New(s.Events.Started()),
		Oldest:      selected.Oldest,
		Omitted:     selected.Omitted,
	}, nil
}

// GetNodeStatus implements peerpb.NodeServer.
func (s *Service) GetNodeStatus(context.Context, *peerpb.GetNodeStatusRequest) (*peerpb.GetNodeStatusResponse, error) {
	resp := &peerpb.GetNodeStatusResponse{}
	if s.Status != nil {
		resp = s.Status()
	}
	if resp.Node == nil {
		resp.Node = &pb.NodeStatus{}
	}
	resp.Node.Vm = s.VM
	resp.Node.Role = s.Role
	resp.Node.DataCentre = s.DataCentre
	resp.Node.VersionInForce = s.Config.Current().Version
	resp.Node.Reachable = true
	resp.Node.Draining = s.Draining()
	resp.Node.Incarnation = s.Events.Incarnation()
	resp.Node.Refusals = s.Events.Refusals()
	if at := s.Config.Confirmed(); !at.IsZero() {
		resp.Node.ConfigAge = durationpb.New(time.Since(at))
	}
	return resp, nil
}
