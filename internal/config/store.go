package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/platform"
)

// Keys of the configuration in the table.
const (
	headKey          = "config/head"
	logPrefix        = "config/log/"
	operationPrefix  = "config/operation/"
	deploymentPrefix = "config/deployment/"
	namePrefix       = "config/name/"
)

// Page sizes of scans, in rows.
const (
	logPage        = 256
	deploymentPage = 64
)

// retainedChanges is the number of newest changes whose log and operation rows
// are retained in the table.
const retainedChanges = 4096

// Errors of the store.
var (
	// ErrNotFound reports that the deployment or endpoint does not exist.
	ErrNotFound = errors.New("config: no such deployment")
	// ErrExists reports that a deployment of that name exists.
	ErrExists = errors.New("config: deployment exists")
	// ErrOperationReused reports that the operation ID was used for a different
	// change.
	ErrOperationReused = errors.New("config: operation id was used for another change")
	// ErrUnavailable reports that the table is unavailable. A change may or may
	// not have been made; it is safe to retry it with the same operation ID.
	ErrUnavailable = errors.New("config: table unavailable")
)

// VersionConflictError reports that a deployment has changed since the caller
// read it.
type VersionConflictError struct {
	// Current is the current version of the deployment.
	Current int64
}

// Error implements error.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("config: the deployment is at version %d", e.Current)
}

// InvalidError lists the invalid fields of a deployment.
type InvalidError struct {
	Violations []Violation
}

// Error implements error.
func (e *InvalidError) Error() string {
	parts := make([]string, len(e.Violations))
	for i, violation := range e.Violations {
		parts[i] = violation.Field + ": " + violation.Reason
	}
	return "config: " + strings.Join(parts, "; ")
}

// Store stores the configuration and its change log in the table.
type Store struct {
	table platform.Table
	// retained is the number of newest changes retained in the log.
	retained int64
}

// NewStore returns a store that uses the table.
func NewStore(table platform.Table) *Store {
	return &Store{table: table, retained: retainedChanges}
}

// DeploymentKey returns the key of a deployment's row. A transaction that
// depends on the deployment must guard that row.
func DeploymentKey(name string) string {
	return deploymentPrefix + name
}

// Head is the newest version of the configuration.
type Head struct {
	Version int64 `json:"version"`
	// Digest is the digest of the snapshot at Version.
	Digest uint64 `json:"digest"`
}

// Head returns the newest version. It may return ErrUnavailable.
func (s *Store) Head(ctx context.Context) (int64, error) {
	head, err := s.ReadHead(ctx)
	return head.Version, err
}

// ReadHead reads the head row. It may return ErrUnavailable.
func (s *Store) ReadHead(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, storeError(err)
}

func (s *Store) head(ctx context.Context) (head Head, rowVersion int64, err error) {
	row, err := s.table.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, 0, fmt.Errorf("config: head row: %w", err)
	}
	return head, row.Version, nil
}

// Get reads one deployment. Its errors are ErrNotFound and ErrUnavailable.
func (s *Store) Get(ctx context.Context, name string) (*pb.Deployment, error) {
	deployment, _, err := s.deployment(ctx, name)
	if err != nil {
		return nil, storeError(err)
	}
	if deployment == nil {
		return nil, ErrNotFound
	}
	return deployment, nil
}

// GetGuarded reads one deployment and returns it with a guard that succeeds
// while the deployment is unchanged.
func (s *Store) GetGuarded(ctx context.Context, name string) (*pb.Deployment, platform.Guard, error) {
	deployment, version, err := s.deployment(ctx, name)
	if err != nil {
		return nil, platform.Guard{}, storeError(err)
	}
	if deployment == nil {
		return nil, platform.Guard{}, ErrNotFound
	}
	return deployment, platform.Guard{Key: DeploymentKey(name), Version: version}, nil
}

func (s *Store) deployment(ctx context.Context, name string) (*pb.Deployment, int64, error) {
	row, err := s.table.Get(ctx, DeploymentKey(name))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	deployment := &pb.Deployment{}
	if err := proto.Unmarshal(row.Value, deployment); err != nil {
		return nil, 0, fmt.Errorf("config: deployment %s: %w", name, err)
	}
	return deployment, row.Version, nil
}

// List reads up to limit deployments whose names are greater than after, in the
// order of their names.
func (s *Store) List(ctx context.Context, after string, limit int) ([]*pb.Deployment, error) {
	afterKey := ""
	if after != "" {
		afterKey = DeploymentKey(after)
	}
	rows, err := s.table.Scan(ctx, deploymentPrefix, afterKey, limit)
	if err != nil {
		return nil, storeError(err)
	}
	out := make([]*pb.Deployment, len(rows))
	for i, row := range rows {
		out[i] = &pb.Deployment{}
		if err := proto.Unmarshal(row.Value, out[i]); err != nil {
			return nil, fmt.Errorf("config: row %s: %w", row.Key, err)
		}
	}
	return out, nil
}

func logKey(version int64) string {
	return fmt.Sprintf("%s%016d", logPrefix, version)
}

// storeError maps errors of the platform to those of the store.
func storeError(err error) error {
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}
