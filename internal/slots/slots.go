// Package slots binds the replica slots of models to engines. A model may be
// loaded only on engines to which one of its slots is bound, so the number of
// slots limits the number of replicas.
package slots

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/google/uuid"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/platform"
)

// Errors returned by a Store.
var (
	// ErrNoSlot means that every slot of the model is bound.
	ErrNoSlot = errors.New("slots: no free slot")
	// ErrUnknownModel means that the model is not in the latest configuration.
	ErrUnknownModel = errors.New("slots: model is not offered")
	// ErrUnavailable means that the table is unavailable. The binding may or may
	// not have been written.
	ErrUnavailable = errors.New("slots: table unavailable")
)

// Binding is one slot bound to an engine.
type Binding struct {
	Engine string `json:"engine"`
}

// Store stores the bindings in the table: one row per model, and an index row
// per engine and model.
type Store struct {
	table  platform.Table
	config *config.Store
}

// NewStore returns a store that uses the table.
func NewStore(table platform.Table, config *config.Store) *Store {
	return &Store{table: table, config: config}
}

func modelKey(model string) string {
	return "slots/" + model
}

func indexPrefix(engine string) string {
	return "bound/" + engine + "/"
}

// Read returns the bindings of a model.
func (s *Store) Read(ctx context.Context, model string) ([]Binding, error) {
	bindings, _, err := s.read(ctx, model)
	return bindings, storeError(err)
}

// read returns the bindings of a model and the version of its row.
func (s *Store) read(ctx context.Context, model string) ([]Binding, int64, error) {
	row, err := s.table.Get(ctx, modelKey(model))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var bindings []Binding
	if err := json.Unmarshal(row.Value, &bindings); err != nil {
		return nil, 0, fmt.Errorf("slots: row of %s: %w", model, err)
	}
	return bindings, row.Version, nil
}

// Bound returns the models that are bound to an engine. It verifies the
// bindings with a transaction that consists of guards only: all of them exist
// at the same time, and a stale read does not return a slot that has been
// released since.
func (s *Store) Bound(ctx context.Context, engine string) ([]string, error) {
	for {
		models, guards, err := s.scan(ctx, engine)
		if err == nil {
			err = s.verify(ctx, guards...)
		}
		if !platform.IsConflict(err) || ctx.Err() != nil {
			return models, storeError(err)
		}
	}
}

// scan reads the index rows of an engine and returns the models with guards on
// the rows.
func (s *Store) scan(ctx context.Context, engine string) ([]string, []platform.Guard, error) {
	const page = 256
	var models []string
	var guards []platform.Guard
	after := ""
	for {
		rows, err := s.table.Scan(ctx, indexPrefix(engine), after, page)
		if err != nil {
			return nil, nil, err
		}
		for _, row := range rows {
			models = append(models, strings.TrimPrefix(row.Key, indexPrefix(engine)))
			guards = append(guards, platform.Guard{Key: row.Key, Version: row.Version})
			after = row.Key
		}
		if len(rows) < page {
			return models, guards, nil
		}
	}
}

// verify commits guards without a write. A ConflictError means that the rows
// have changed since they were read.
func (s *Store) verify(ctx context.Context, guards ...platform.Guard) error {
	if len(guards) == 0 {
		return nil
	}
	txn := platform.Txn{OperationID: uuid.NewString(), Guards: guards}
	_, err := s.table.Commit(ctx, txn)
	if errors.Is(err, platform.ErrUnknown) {
		// The transaction writes nothing, so only its response is lost.
		return platform.ErrUnavailable
	}
	return err
}

// WithinLimit reports whether the slot of a model that is bound to an engine is
// within the limit of the latest configuration; slots that were bound earlier
// take precedence. A slot above the limit has to be released once the model is
// unloaded from the engine. deployment is the deployment that contains the
// model in the caller's configuration, or "" if there is none, and version is
// the version of that configuration.
func (s *Store) WithinLimit(ctx context.Context, deployment, model, engine string, version int64) (bool, error) {
	if deployment == "" {
		return s.olderThanHead(ctx, version)
	}
	limit, _, err := s.limit(ctx, deployment, model)
	if errors.Is(err, ErrUnknownModel) {
		return s.olderThanHead(ctx, version)
	}
	if err != nil {
		return false, storeError(err)
	}
	bindings, _, err := s.read(ctx, model)
	if err != nil {
		return false, storeError(err)
	}
	i := slices.Index(bindings, Binding{Engine: engine})
	return i >= 0 && i < limit, nil
}

// olderThanHead reports whether the caller's configuration is older than the
// latest one. The slot is then kept, since the latest configuration may contain
// a model that the caller's does not.
func (s *Store) olderThanHead(ctx context.Context, version int64) (bool, error) {
	head, err := s.config.Head(ctx)
	return head > version, storeError(err)
}

// Bind binds a free slot of a model to an engine. The same transaction checks
// the limit of the latest configuration. It is no error if a slot within the
// limit is already bound to the engine. Bind returns ErrNoSlot, ErrUnknownModel
// or ErrUnavailable.
func (s *Store) Bind(ctx context.Context, operationID, deployment, model, engine string) error {
	for {
		err := s.tryBind(ctx, operationID, deployment, model, engine)
		if !platform.IsConflict(err) || ctx.Err() != nil {
			return storeError(err)
		}
	}
}

// tryBind makes one attempt to bind a slot. It returns a ConflictError if a row
// has changed since it was read.
func (s *Store) tryBind(ctx context.Context, operationID, deployment, model, engine string) error {
	limit, guard, err := s.limit(ctx, deployment, model)
	if err != nil {
		return err
	}
	bindings, version, err := s.read(ctx, model)
	if err != nil {
		return err
	}
	binding := Binding{Engine: engine}
	if i := slices.Index(bindings, binding); i >= 0 {
		if i >= limit {
			// The limit was lowered; this slot will be released.
			return ErrNoSlot
		}
		return s.verify(ctx, guard, platform.Guard{Key: modelKey(model), Version: version})
	}
	if len(bindings) >= limit {
		return ErrNoSlot
	}
	index := platform.Write{Key: indexPrefix(engine) + model, Value: []byte(model)}
	return s.commit(ctx, operationID, model, version, append(bindings, binding), index, guard)
}

// Release frees the slot of a model that is bound to an engine. The caller must
// have verified that the engine no longer has the model.
func (s *Store) Release(ctx context.Context, operationID, model, engine string) error {
	for {
		bindings, version, err := s.read(ctx, model)
		if err != nil {
			return storeError(err)
		}
		i := slices.Index(bindings, Binding{Engine: engine})
		if i < 0 {
			return nil
		}
		bindings = slices.Delete(bindings, i, i+1)
		index := platform.Write{Key: indexPrefix(engine) + model, Delete: true}
		err = s.commit(ctx, operationID, model, version, bindings, index)
		if !platform.IsConflict(err) || ctx.Err() != nil {
			return storeError(err)
		}
	}
}

// commit writes a model's bindings and an index row in one transaction.
func (s *Store) commit(ctx context.Context, operationID, model string, version int64, bindings []Binding, index platform.Write, guards ...platform.Guard) error {
	value, err := json.Marshal(bindings)
	if err != nil {
		return err
	}
	row := platform.Write{Key: modelKey(model), Value: value, Delete: len(bindings) == 0}
	txn := platform.Txn{
		OperationID: operationID,
		Guards:      append(guards, platform.Guard{Key: modelKey(model), Version: version}),
		Writes:      []platform.Write{row, index},
	}
	_, err = platform.CommitResolved(ctx, s.table, txn)
	return err
}

// limit returns a model's limit, and a guard that fails if the configuration
// has changed.
func (s *Store) limit(ctx context.Context, deployment, model string) (int, platform.Guard, error) {
	spec, guard, err := s.config.GetGuarded(ctx, deployment)
	if errors.Is(err, config.ErrNotFound) {
		return 0, guard, ErrUnknownModel
	}
	if err != nil {
		return 0, guard, err
	}
	for _, candidate := range spec.GetModels() {
		if candidate.GetName() == model {
			return int(candidate.GetMaxReplicas()), guard, nil
		}
	}
	return 0, guard, ErrUnknownModel
}

// storeError converts the errors by which the table or the configuration store
// is unavailable to ErrUnavailable. It returns other errors unchanged.
func storeError(err error) error {
	for _, cause := range []error{platform.ErrUnavailable, platform.ErrUnknown, config.ErrUnavailable} {
		if errors.Is(err, cause) {
			return fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
	}
	return err
}
