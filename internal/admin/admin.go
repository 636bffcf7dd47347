// Package admin serves the operators' interface. It is stateless: changes are
// written to the table, and status and events are collected from all processes.
package admin

import (
	"context"
	"errors"
	"strconv"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer"
)

// Service implements the operators' interface.
type Service struct {
	pb.UnimplementedOperatorsServer

	store   *config.Store
	config  *config.Follower
	members *membership.Tracker
	peers   *peer.Pool
	events  *events.Recorder
}

// New returns a service.
func New(store *config.Store, follower *config.Follower, members *membership.Tracker, peers *peer.Pool, recorder *events.Recorder) *Service {
	return &Service{store: store, config: follower, members: members, peers: peers, events: recorder}
}

// changeTimeout bounds a change, also while the table is unavailable.
const changeTimeout = 10 * time.Second

// Page sizes of lists.
const (
	defaultPage = 100
	maxPage     = 1000
)

// CreateDeployment implements the operators' interface.
func (s *Service) CreateDeployment(ctx context.Context, req *pb.CreateDeploymentRequest) (*pb.ChangeResponse, error) {
	return s.change(ctx, config.Edit{
		OperationID: req.GetOperationId(),
		Name:        req.GetDeployment().GetName(),
		Deployment:  req.GetDeployment(),
		DryRun:      req.GetDryRun(),
	})
}

// UpdateDeployment implements the operators' interface.
func (s *Service) UpdateDeployment(ctx context.Context, req *pb.UpdateDeploymentRequest) (*pb.ChangeResponse, error) {
	if req.GetDeployment().GetVersion() <= 0 {
		return nil, invalid([]config.Violation{{Field: "deployment.version", Reason: "must name the version that the change was made from"}})
	}
	return s.change(ctx, config.Edit{
		OperationID: req.GetOperationId(),
		Name:        req.GetDeployment().GetName(),
		Deployment:  req.GetDeployment(),
		Base:        req.GetDeployment().GetVersion(),
		DryRun:      req.GetDryRun(),
	})
}

// DeleteDeployment implements the operators' interface.
func (s *Service) DeleteDeployment(ctx context.Context, req *pb.DeleteDeploymentRequest) (*pb.ChangeResponse, error) {
	return s.change(ctx, config.Edit{
		OperationID: req.GetOperationId(),
		Name:        req.GetName(),
		Base:        req.GetVersion(),
	})
}

// DrainEndpoint implements the operators' interface.
func (s *Service) DrainEndpoint(ctx context.Context, req *pb.DrainEndpointRequest) (*pb.ChangeResponse, error) {
	if err := checkOperationID(req.GetOperationId()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	change, err := s.store.Drain(ctx, req.GetOperationId(), config.Drain{Endpoint: req.GetEndpoint(), Drained: req.GetDrained()})
	return s.changeResponse(change, err)
}

func (s *Service) change(ctx context.Context, edit config.Edit) (*pb.ChangeResponse, error) {
	if edit.DryRun {
		change, err := s.store.Change(ctx, edit)
		if err != nil {
			return nil, changeError(err)
		}
		return &pb.ChangeResponse{Version: change.GetVersion(), Deployment: change.GetDeployment()}, nil
	}
	if err := checkOperationID(edit.OperationID); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return s.changeResponse(s.store.Change(ctx, edit))
}

// changeResponse converts the result of a change into a response.
func (s *Service) changeResponse(change *pb.DeploymentChange, err error) (*pb.ChangeResponse, error) {
	if err != nil {
		return nil, changeError(err)
	}
	s.events.Record(events.Event{
		Kind:          events.ConfigChanged,
		ConfigVersion: change.GetVersion(),
		Attributes:    map[string]string{"deployment": change.GetName(), "operation_id": change.GetOperationId()},
	})
	return &pb.ChangeResponse{Version: change.GetVersion(), Deployment: change.GetDeployment()}, nil
}

// maxOperationID bounds an operation id, in bytes.
const maxOperationID = 64

func checkOperationID(id string) error {
	if id == "" || len(id) > maxOperationID {
		return invalid([]config.Violation{{Field: "operation_id", Reason: "must be set, at most 64 characters"}})
	}
	return nil
}

// GetDeployment implements the operators' interface.
func (s *Service) GetDeployment(ctx context.Context, req *pb.GetDeploymentRequest) (*pb.Deployment, error) {
	deployment, err := s.store.Get(ctx, req.GetName())
	return deployment, changeError(err)
}

// ListDeployments implements the operators' interface.
func (s *Service) ListDeployments(ctx context.Context, req *pb.ListDeploymentsRequest) (*pb.ListDeploymentsResponse, error) {
	size := int(req.GetPageSize())
	if size <= 0 {
		size = defaultPage
	}
	size = min(size, maxPage)
	deployments, err := s.store.List(ctx, req.GetPageToken(), size)
	if err != nil {
		return nil, changeError(err)
	}
	resp := &pb.ListDeploymentsResponse{Deployments: deployments}
	if len(deployments) == size {
		resp.NextPageToken = deployments[size-1].GetName()
	}
	return resp, nil
}

// changeError converts errors of the store into gRPC statuses.
func changeError(err error) error {
	var conflict *config.VersionConflictError
	var invalidErr *config.InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return conflictError(conflict)
	case errors.As(err, &invalidErr):
		return invalid(invalidErr.Violations)
	case errors.Is(err, config.ErrOperationReused):
		return invalid([]config.Violation{{Field: "operation_id", Reason: "was used for another change"}})
	case errors.Is(err, config.ErrNotFound):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, config.ErrExists):
		return status.Error(codes.AlreadyExists, err.Error())
	case errors.Is(err, config.ErrUnavailable):
		return status.Error(codes.Unavailable, err.Error())
	}
	return status.Error(codes.Internal, err.Error())
}

// Error details of ABORTED, as defined in the schema.
const (
	errorDomain     = "chestnutgauge"
	reasonConflict  = "VERSION_CONFLICT"
	metadataVersion = "current_version"
)

func conflictError(conflict *config.VersionConflictError) error {
	return withDetail(codes.Aborted, conflict, &errdetails.ErrorInfo{
		Reason:   reasonConflict,
		Domain:   errorDomain,
		Metadata: map[string]string{metadataVersion: strconv.FormatInt(conflict.Current, 10)},
	})
}

// withDetail returns the status error of err with a detail.
func withDetail(code codes.Code, err error, detail protoadapt.MessageV1) error {
	st := status.New(code, err.Error())
	detailed, detailErr := st.WithDetails(detail)
	if detailErr != nil {
		return st.Err()
	}
	return detailed.Err()
}

func invalid(violations []config.Violation) error {
	detail := &errdetails.BadRequest{}
	for _, v := range violations {
		detail.FieldViolations = append(detail.FieldViolations, &errdetails.BadRequest_FieldViolation{Field: v.Field, Description: v.Reason})
	}
	return withDetail(codes.InvalidArgument, &config.InvalidError{Violations: violations}, detail)
}

// Timing of WaitInForce.
const (
	defaultWait  = 10 * time.Second
	maxWait      = 5 * time.Minute
	waitInterval = 100 * time.Millisecond
)

// WaitInForce implements the operators' interface.
func (s *Service) WaitInForce(ctx context.Context, req *pb.WaitInForceRequest) (*pb.WaitInForceResponse, error) {
	limit := defaultWait
	if req.GetVersion() <= 0 {
		return nil, invalid([]config.Violation{{Field: "version", Reason: "must be above 0"}})
	}
	if req.GetTimeout() != nil {
		limit = min(req.GetTimeout().AsDuration(), maxWait)
	}
	deadline := time.Now().Add(limit)
	members := s.allMembers()
	for {
		var missing []*pb.NodeStatus
		var remaining []membership.Member
		for i, report := range s.gather(ctx, members) {
			if !report.node.GetReachable() || report.node.GetVersionInForce() < req.GetVersion() {
				missing = append(missing, report.node)
				remaining = append(remaining, members[i])
			}
		}
		if len(missing) == 0 || time.Now().After(deadline) {
			return &pb.WaitInForceResponse{InForce: len(missing) == 0, Missing: missing}, nil
		}
		members = remaining
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
}
