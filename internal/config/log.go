package config

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/platform"
)

// Limits for reading a snapshot during concurrent changes: the number of
// attempts, and of reads of the log in one attempt.
const (
	loadAttempts = 3
	loadReplays  = 16
)

var (
	// ErrTrimmed reports that the log no longer contains the requested changes.
	ErrTrimmed = errors.New("config: changes are no longer kept")
	// errInconsistent reports that the rows read do not match the digest of the
	// head.
	errInconsistent = errors.New("config: rows do not match the head")
)

// ChangesAfter reads the changes after a version, in order and without gaps. It
// may return only the first of them. Its errors are ErrTrimmed and
// ErrUnavailable.
func (s *Store) ChangesAfter(ctx context.Context, version int64) ([]*pb.DeploymentChange, error) {
	rows, err := s.table.Scan(ctx, logPrefix, logKey(version), logPage)
	if err != nil {
		return nil, storeError(err)
	}
	var out []*pb.DeploymentChange
	for _, row := range rows {
		change, err := parseChange(row)
		if err != nil {
			return nil, err
		}
		if change.GetVersion() != version+int64(len(out))+1 {
			break
		}
		out = append(out, change)
	}
	if len(rows) > 0 && len(out) == 0 {
		return nil, ErrTrimmed
	}
	return out, nil
}

// readChange reads the change that created a version. It returns nil if the log
// does not contain it.
func (s *Store) readChange(ctx context.Context, version int64) (*pb.DeploymentChange, error) {
	if version <= 0 {
		return nil, nil
	}
	row, err := s.table.Get(ctx, logKey(version))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseChange(row)
}

func parseChange(row platform.Row) (*pb.DeploymentChange, error) {
	change := &pb.DeploymentChange{}
	if err := proto.Unmarshal(row.Value, change); err != nil {
		return nil, fmt.Errorf("config: row %s: %w", row.Key, err)
	}
	return change, nil
}

// Load reads the complete configuration. The result is consistent with a single
// version despite concurrent changes and stale reads: it is verified against
// the digest in the head row.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	for range loadAttempts {
		snapshot, err := s.loadOnce(ctx)
		if !errors.Is(err, errInconsistent) {
			return snapshot, err
		}
	}
	return nil, errInconsistent
}

// loadOnce reads all deployments and applies the changes made since the read
// began until the result matches the head.
func (s *Store) loadOnce(ctx context.Context) (*Snapshot, error) {
	start, err := s.ReadHead(ctx)
	if err != nil {
		return nil, err
	}
	deployments, err := s.listAll(ctx)
	if err != nil {
		return nil, err
	}
	snapshot := NewSnapshot(start.Version, deployments)
	for range loadReplays {
		head, err := s.ReadHead(ctx)
		if err != nil {
			return nil, err
		}
		if head.Matches(snapshot) {
			return snapshot, nil
		}
		changes, err := s.ChangesAfter(ctx, snapshot.Version)
		if errors.Is(err, ErrTrimmed) {
			return nil, errInconsistent
		}
		if err != nil {
			return nil, err
		}
		for _, change := range changes {
			snapshot = snapshot.Apply(change)
		}
		if head.Matches(snapshot) {
			return snapshot, nil
		}
	}
	return nil, errInconsistent
}

// listAll reads all deployments.
func (s *Store) listAll(ctx context.Context) ([]*pb.Deployment, error) {
	var out []*pb.Deployment
	after := ""
	for {
		page, err := s.List(ctx, after, deploymentPage)
		if err != nil {
			return nil, err
		}
		out = append(out, page...)
		if len(page) < deploymentPage {
			return out, nil
		}
		after = page[len(page)-1].GetName()
	}
}

// Matches reports whether a snapshot has the version and digest of the head.
func (h Head) Matches(snapshot *Snapshot) bool {
	return h.Version == snapshot.Version && h.Digest == snapshot.Digest
}
