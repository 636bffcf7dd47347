package admin

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
)

// watchInterval is the maximum time between two polls for new changes.
const watchInterval = time.Second

// WatchDeployments implements the operators' interface.
func (s *Service) WatchDeployments(req *pb.WatchDeploymentsRequest, stream grpc.ServerStreamingServer[pb.DeploymentChange]) error {
	version := req.GetAfterVersion()
	if version < 0 {
		return invalid([]config.Violation{{Field: "after_version", Reason: "must not be negative"}})
	}
	if version == 0 {
		snapshot, err := s.store.Load(stream.Context())
		if err != nil {
			return changeError(err)
		}
		for _, deployment := range snapshot.Deployments() {
			change := &pb.DeploymentChange{Version: deployment.GetVersion(), Name: deployment.GetName(), Deployment: deployment}
			if err := stream.Send(change); err != nil {
				return err
			}
		}
		version = snapshot.Version
	}
	return s.sendChanges(version, stream)
}

// sendChanges streams the changes after a version.
func (s *Service) sendChanges(version int64, stream grpc.ServerStreamingServer[pb.DeploymentChange]) error {
	for {
		changed := s.config.Changed()
		changes, err := s.store.ChangesAfter(stream.Context(), version)
		if err != nil {
			return watchError(err)
		}
		for _, change := range changes {
			if err := stream.Send(change); err != nil {
				return err
			}
			version = change.GetVersion()
		}
		if err := wait(stream.Context(), changed); err != nil {
			return err
		}
	}
}

// wait waits until the configuration changes or watchInterval has passed.
func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
	case <-time.After(watchInterval):
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
	return nil
}

func watchError(err error) error {
	if errors.Is(err, config.ErrTrimmed) {
		return status.Error(codes.OutOfRange, "the changes after this version are no longer kept; start again from 0")
	}
	return changeError(err)
}
