package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/platform"
)

// maxRetryDelay bounds the random delay before an edit that conflicted with
// another change is retried.
const maxRetryDelay = 20 * time.Millisecond

// Edit is a requested change of one deployment.
type Edit struct {
	OperationID string
	Name        string
	// Deployment is the new content, nil to delete it.
	Deployment *pb.Deployment
	// Base is the version of the deployment that the edit is based on. 0 creates
	// the deployment.
	Base int64
	// DryRun checks the edit without storing it.
	DryRun bool
	// drain is set if the edit was made by Drain.
	drain *Drain
}

// Drain is a requested change of the drained flag of one endpoint.
type Drain struct {
	Endpoint string `json:"endpoint"`
	Drained  bool   `json:"drained"`
}

// operationRow is the value of an operation's row: the request and the version
// that it created. The content of the change is in the log.
type operationRow struct {
	Version int64  `json:"version"`
	Base    int64  `json:"base"`
	Drain   *Drain `json:"drain,omitempty"`
}

// Change stores an edit and returns the change. If the operation has already
// been executed, it returns the change that was made then. Its errors are
// ErrNotFound, ErrExists, ErrOperationReused, a VersionConflictError, an
// InvalidError and ErrUnavailable.
func (s *Store) Change(ctx context.Context, edit Edit) (*pb.DeploymentChange, error) {
	if edit.Deployment != nil {
		if found := Validate(edit.Deployment); len(found) > 0 {
			return nil, &InvalidError{found}
		}
	}
	return s.retry(ctx, func() (*pb.DeploymentChange, error) { return s.attemptEdit(ctx, edit) })
}

// Drain takes an endpoint out of service or puts it back. Its errors are
// ErrNotFound, ErrOperationReused and ErrUnavailable.
func (s *Store) Drain(ctx context.Context, operationID string, drain Drain) (*pb.DeploymentChange, error) {
	return s.retry(ctx, func() (*pb.DeploymentChange, error) {
		first, err := s.firstResult(ctx, Edit{OperationID: operationID, drain: &drain})
		if first != nil || err != nil {
			return first, err
		}
		edit, err := s.drainEdit(ctx, drain)
		if err != nil {
			return nil, err
		}
		edit.OperationID = operationID
		return s.attemptEdit(ctx, edit)
	})
}

// drainEdit returns the edit of the current deployment that implements a drain.
func (s *Store) drainEdit(ctx context.Context, drain Drain) (Edit, error) {
	row, err := s.table.Get(ctx, namePrefix+"endpoint/"+drain.Endpoint)
	if errors.Is(err, platform.ErrNotFound) {
		return Edit{}, ErrNotFound
	}
	if err != nil {
		return Edit{}, err
	}
	deployment, _, err := s.deployment(ctx, string(row.Value))
	if err != nil {
		return Edit{}, err
	}
	for _, endpoint := range deployment.GetEndpoints() {
		if endpoint.GetName() == drain.Endpoint {
			endpoint.Drained = drain.Drained
			return Edit{Name: deployment.GetName(), Deployment: deployment, Base: deployment.GetVersion(), drain: &drain}, nil
		}
	}
	return Edit{}, ErrNotFound
}

// retry repeats an attempt while it fails with a ConflictError, until ctx ends.
func (s *Store) retry(ctx context.Context, attempt func() (*pb.DeploymentChange, error)) (*pb.DeploymentChange, error) {
	for {
		change, err := attempt()
		if !platform.IsConflict(err) {
			return change, storeError(err)
		}
		select {
		case <-time.After(rand.N(maxRetryDelay)):
		case <-ctx.Done():
			return nil, ErrUnavailable
		}
	}
}

// attemptEdit makes one attempt to store an edit. It returns a ConflictError if
// another change was committed first or the table served a stale read.
func (s *Store) attemptEdit(ctx context.Context, edit Edit) (*pb.DeploymentChange, error) {
	if !edit.DryRun {
		first, err := s.firstResult(ctx, edit)
		if first != nil || err != nil {
			return first, err
		}
	}
	head, headVersion, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	current, rowVersion, err := s.deployment(ctx, edit.Name)
	if err != nil {
		return nil, err
	}
	guard := platform.Guard{Key: DeploymentKey(edit.Name), Version: rowVersion}
	if err := checkBase(edit, current); err != nil {
		return nil, s.verifyReads(ctx, err, edit, guard)
	}
	change := &pb.DeploymentChange{Version: head.Version + 1, Name: edit.Name, OperationId: edit.OperationID}
	if edit.Deployment != nil {
		change.Deployment = proto.Clone(edit.Deployment).(*pb.Deployment)
		change.Deployment.Version = change.Version
	}
	txn := platform.Txn{
		OperationID: edit.OperationID,
		Guards: []platform.Guard{
			{Key: headKey, Version: headVersion},
			guard,
			{Key: operationPrefix + edit.OperationID},
			{Key: logKey(change.Version)},
		},
	}
	if err := s.addWrites(ctx, &txn, edit, change, current, head); err != nil {
		return nil, err
	}
	if edit.DryRun {
		change.Version = head.Version
		return change, nil
	}
	if _, err := platform.CommitResolved(ctx, s.table, txn); err != nil {
		return nil, err
	}
	return change, nil
}

// firstResult returns the change that an earlier execution of the operation
// made, or nil if there is none.
func (s *Store) firstResult(ctx context.Context, edit Edit) (*pb.DeploymentChange, error) {
	row, err := s.table.Get(ctx, operationPrefix+edit.OperationID)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var operation operationRow
	if err := json.Unmarshal(row.Value, &operation); err != nil {
		return nil, fmt.Errorf("config: operation %s: %w", edit.OperationID, err)
	}
	change, err := s.readChange(ctx, operation.Version)
	if err != nil || change == nil {
		return nil, err
	}
	if !sameEdit(edit, operation, change) {
		return nil, ErrOperationReused
	}
	return change, nil
}

// sameEdit reports whether an edit requests the change that an operation made.
func sameEdit(edit Edit, operation operationRow, change *pb.DeploymentChange) bool {
	if edit.drain != nil || operation.Drain != nil {
		return edit.drain != nil && operation.Drain != nil && *edit.drain == *operation.Drain
	}
	if edit.Base != operation.Base || edit.Name != change.GetName() {
		return false
	}
	return proto.Equal(withoutVersion(edit.Deployment), withoutVersion(change.GetDeployment()))
}

func withoutVersion(deployment *pb.Deployment) *pb.Deployment {
	if deployment == nil {
		return nil
	}
	out := proto.Clone(deployment).(*pb.Deployment)
	out.Version = 0
	return out
}

// verifyReads returns err if the rows that led to it are the newest, and a
// ConflictError otherwise. It commits a transaction that consists of guards
// only, since an ordinary read may be stale.
func (s *Store) verifyReads(ctx context.Context, err error, edit Edit, guards ...platform.Guard) error {
	if !edit.DryRun {
		guards = append(guards, platform.Guard{Key: operationPrefix + edit.OperationID})
	}
	if _, failed := s.table.Commit(ctx, platform.Txn{Guards: guards}); failed != nil {
		return failed
	}
	return err
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
		return &VersionConflictError{Current: current.GetVersion()}
	}
	return nil
}

// addWrites adds the writes of a change to a transaction.
func (s *Store) addWrites(ctx context.Context, txn *platform.Txn, edit Edit, change *pb.DeploymentChange, current *pb.Deployment, head Head) error {
	next := Head{Version: change.Version, Digest: head.Digest ^ digestOf(current) ^ digestOf(change.GetDeployment())}
	headValue, err := json.Marshal(next)
	if err != nil {
		return err
	}
	operation, err := json.Marshal(operationRow{Version: change.Version, Base: edit.Base, Drain: edit.drain})
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
		{Key: operationPrefix + txn.OperationID, Value: operation},
	}
	write := platform.Write{Key: DeploymentKey(change.Name), Delete: change.Deployment == nil}
	if change.Deployment != nil {
		if write.Value, err = proto.Marshal(change.Deployment); err != nil {
			return err
		}
	}
	txn.Writes = append(txn.Writes, write)
	if err := s.trim(ctx, txn, change.Version); err != nil {
		return err
	}
	return s.reserveNames(ctx, txn, edit, change, current)
}

// trim deletes the rows of the change that drops out of the retained part of
// the log. Because of the guard on the head, a delayed duplicate of the
// transaction has no effect.
func (s *Store) trim(ctx context.Context, txn *platform.Txn, version int64) error {
	old, err := s.readChange(ctx, version-s.retained)
	if err != nil || old == nil {
		return err
	}
	txn.Writes = append(txn.Writes,
		platform.Write{Key: logKey(old.GetVersion()), Delete: true},
		platform.Write{Key: operationPrefix + old.GetOperationId(), Delete: true},
	)
	return nil
}

// reserveNames reserves the names that a change adds and releases those that it
// removes, so that names are unique across all deployments.
func (s *Store) reserveNames(ctx context.Context, txn *platform.Txn, edit Edit, change *pb.DeploymentChange, current *pb.Deployment) error {
	before := nameFields(current)
	after := nameFields(change.Deployment)
	invalid := &InvalidError{}
	var taken []platform.Guard
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if _, unchanged := before[key]; unchanged {
			continue
		}
		row, err := s.table.Get(ctx, namePrefix+key)
		switch {
		case err == nil:
			reason := fmt.Sprintf("is used by deployment %s", row.Value)
			invalid.Violations = append(invalid.Violations, Violation{after[key], reason})
			taken = append(taken, platform.Guard{Key: row.Key, Version: row.Version})
		case !errors.Is(err, platform.ErrNotFound):
			return err
		}
		txn.Guards = append(txn.Guards, platform.Guard{Key: namePrefix + key})
		txn.Writes = append(txn.Writes, platform.Write{Key: namePrefix + key, Value: []byte(change.Name)})
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if _, unchanged := after[key]; unchanged {
			continue
		}
		// No guard is needed: the guard on the deployment's row protects the
		// names that the deployment holds.
		txn.Writes = append(txn.Writes, platform.Write{Key: namePrefix + key, Delete: true})
	}
	if len(invalid.Violations) > 0 {
		return s.verifyReads(ctx, invalid, edit, taken...)
	}
	return nil
}

// nameFields maps each name in a deployment, prefixed with its kind, to the path
// of its field.
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
