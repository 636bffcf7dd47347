package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
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

// scanPage is the number of rows read at once.
const scanPage = 256

// Errors of the store.
var (
	// ErrNotFound means that the deployment does not exist.
	ErrNotFound = errors.New("config: no such deployment")
	// ErrExists means that a deployment of that name exists.
	ErrExists = errors.New("config: deployment exists")
	// ErrUnavailable means that the table is away. A change may or may not
	// have been made; a repeat with the same operation id is safe.
	ErrUnavailable = errors.New("config: table unavailable")
)

// RaceError means that a deployment has changed since the caller read it.
type RaceError struct {
	// Current is the deployment's version.
	Current int64
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("config: the deployment is at version %d", e.Current)
}

// InvalidError lists the wrong fields of a deployment.
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

// Store keeps the versions of the configuration in the table.
type Store struct {
	table platform.Table
}

// NewStore returns a store in the table.
func NewStore(table platform.Table) *Store {
	return &Store{table: table}
}

// DeploymentKey is the key of a deployment's row. A transaction that relies on
// the deployment guards that row.
func DeploymentKey(name string) string {
	return deploymentPrefix + name
}

// Edit is a wanted change of one deployment.
type Edit struct {
	OperationID string
	Name        string
	// Deployment is the new content, nil to delete it.
	Deployment *pb.Deployment
	// Base is the version that the change was made from. 0 creates the
	// deployment.
	Base int64
	// DryRun only checks.
	DryRun bool
}

// head is the value of the head row.
type head struct {
	Version int64 `json:"version"`
}

// Change makes an edit and returns the change. A repeat of an operation
// returns the change that the first one made. It returns ErrNotFound,
// ErrExists, a RaceError, an InvalidError or ErrUnavailable.
func (s *Store) Change(ctx context.Context, edit Edit) (*pb.DeploymentChange, error) {
	if edit.Deployment != nil {
		if found := Validate(edit.Deployment); len(found) > 0 {
			return nil, &InvalidError{found}
		}
	}
	for {
		change, err := s.try(ctx, edit)
		if !platform.IsConflict(err) {
			return change, storeError(err)
		}
		if ctx.Err() != nil {
			return nil, ErrUnavailable
		}
	}
}

// try makes one attempt at an edit. A ConflictError means that another change
// came first.
func (s *Store) try(ctx context.Context, edit Edit) (*pb.DeploymentChange, error) {
	done, err := s.operation(ctx, edit.OperationID)
	if done != nil || err != nil {
		return done, err
	}
	version, headVersion, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	current, rowVersion, err := s.deployment(ctx, edit.Name)
	if err != nil {
		return nil, err
	}
	if err := checkBase(edit, current); err != nil {
		return nil, err
	}
	change := &pb.DeploymentChange{Version: version + 1, Name: edit.Name}
	if edit.Deployment != nil {
		change.Deployment = proto.Clone(edit.Deployment).(*pb.Deployment)
		change.Deployment.Version = change.Version
	}
	txn := platform.Txn{
		OperationID: edit.OperationID,
		Guards: []platform.Guard{
			{Key: headKey, Version: headVersion},
			{Key: DeploymentKey(edit.Name), Version: rowVersion},
			{Key: operationPrefix + edit.OperationID},
			{Key: logKey(change.Version)},
		},
	}
	if err := s.fill(ctx, &txn, change, current); err != nil {
		return nil, err
	}
	if edit.DryRun {
		change.Version = version
		return change, nil
	}
	if _, err := platform.CommitResolved(ctx, s.table, txn); err != nil {
		return nil, err
	}
	return change, nil
}

func checkBase(edit Edit, current *pb.Deployment) error {
	switch {
	case edit.Base == 0 && edit.Deployment != nil && current != nil:
		return ErrExists
	case edit.Base == 0 && edit.Deployment != nil:
		return nil
	case current == nil:
		return ErrNotFound
	case current.GetVersion() != edit.Base:
		return &RaceError{Current: current.GetVersion()}
	}
	return nil
}

// fill adds the writes of a change to a transaction.
func (s *Store) fill(ctx context.Context, txn *platform.Txn, change *pb.DeploymentChange, current *pb.Deployment) error {
	headValue, err := json.Marshal(head{change.Version})
	if err != nil {
		return err
	}
	logValue, err := proto.Marshal(change)
	if err != nil {
		return err
	}
	txn.Writes = []platform.Write{
		{Key: headKey, Value: headValue},
		{Key: logKey(change.Version), Value: logValue},
		{Key: operationPrefix + txn.OperationID, Value: logValue},
	}
	write := platform.Write{Key: DeploymentKey(change.Name), Delete: change.Deployment == nil}
	if change.Deployment != nil {
		if write.Value, err = proto.Marshal(change.Deployment); err != nil {
			return err
		}
	}
	txn.Writes = append(txn.Writes, write)
	return s.names(ctx, txn, change, current)
}

// names reserves the names that a change adds and frees those that it
// removes, so that names are unique over all deployments.
func (s *Store) names(ctx context.Context, txn *platform.Txn, change *pb.DeploymentChange, current *pb.Deployment) error {
	before := nameFields(current)
	after := nameFields(change.Deployment)
	invalid := &InvalidError{}
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if _, kept := before[key]; kept {
			continue
		}
		row, err := s.table.Get(ctx, namePrefix+key)
		switch {
		case err == nil:
			reason := fmt.Sprintf("is used by deployment %s", row.Value)
			invalid.Violations = append(invalid.Violations, Violation{after[key], reason})
		case !errors.Is(err, platform.ErrNotFound):
			return err
		}
		txn.Guards = append(txn.Guards, platform.Guard{Key: namePrefix + key})
		txn.Writes = append(txn.Writes, platform.Write{Key: namePrefix + key, Value: []byte(change.Name)})
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if _, kept := after[key]; kept {
			continue
		}
		// The guard on the deployment's row protects the names it holds.
		txn.Writes = append(txn.Writes, platform.Write{Key: namePrefix + key, Delete: true})
	}
	if len(invalid.Violations) > 0 {
		return invalid
	}
	return nil
}

// nameFields maps each name in a deployment, with its kind, to its field.
func nameFields(deployment *pb.Deployment) map[string]string {
	out := map[string]string{}
	for i, service := range deployment.GetServices() {
		out["service/"+service.GetName()] = fmt.Sprintf("services[%d].name", i)
	}
	for i, endpoint := range deployment.GetEndpoints() {
		out["endpoint/"+endpoint.GetName()] = fmt.Sprintf("endpoints[%d].name", i)
	}
	for i, model := range deployment.GetModels() {
		out["model/"+model.GetName()] = fmt.Sprintf("models[%d].name", i)
		for j, adapter := range model.GetAdapters() {
			out["model/"+adapter.GetName()] = fmt.Sprintf("models[%d].adapters[%d].name", i, j)
		}
	}
	return out
}

// Head returns the newest version.
func (s *Store) Head(ctx context.Context) (int64, error) {
	version, _, err := s.head(ctx)
	return version, storeError(err)
}

func (s *Store) head(ctx context.Context) (version, rowVersion int64, err error) {
	row, err := s.table.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	var value head
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0, 0, fmt.Errorf("config: head row: %w", err)
	}
	return value.Version, row.Version, nil
}

// Get reads one deployment.
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

// GetGuarded reads one deployment with the guard that holds while it is
// unchanged.
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

// List reads up to limit deployments after a name.
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

// ChangesAfter reads the changes after a version, in order, without gaps. It
// may return fewer than there are.
func (s *Store) ChangesAfter(ctx context.Context, version int64) ([]*pb.DeploymentChange, error) {
	rows, err := s.table.Scan(ctx, logPrefix, logKey(version), scanPage)
	if err != nil {
		return nil, storeError(err)
	}
	var out []*pb.DeploymentChange
	for _, row := range rows {
		change := &pb.DeploymentChange{}
		if err := proto.Unmarshal(row.Value, change); err != nil {
			return nil, fmt.Errorf("config: row %s: %w", row.Key, err)
		}
		if change.GetVersion() != version+int64(len(out))+1 {
			break
		}
		out = append(out, change)
	}
	return out, nil
}

// operation returns the change that an operation made, or nil.
func (s *Store) operation(ctx context.Context, id string) (*pb.DeploymentChange, error) {
	row, err := s.table.Get(ctx, operationPrefix+id)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	change := &pb.DeploymentChange{}
	if err := proto.Unmarshal(row.Value, change); err != nil {
		return nil, fmt.Errorf("config: operation %s: %w", id, err)
	}
	return change, nil
}

func logKey(version int64) string {
	return fmt.Sprintf("%s%016d", logPrefix, version)
}

// storeError turns errors of the platform into those of the store.
func storeError(err error) error {
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}
