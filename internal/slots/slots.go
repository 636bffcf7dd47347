// Package slots binds the replica slots of models to engines. A model may be
// loaded only on an engine that one of its slots is bound to, so the number of
// bound slots bounds the number of replicas.
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

// Errors of the slots.
var (
	// ErrNoSlot means that every slot of the model is bound.
	ErrNoSlot = errors.New("slots: no free slot")
	// ErrUnknownModel means that the newest configuration does not offer the
	// model.
	ErrUnknownModel = errors.New("slots: model is not offered")
	// ErrUnavailable means that the table is away. The binding may or may not
	// have been written.
	ErrUnavailable = errors.New("slots: table unavailable")
)

// Binding is one slot bound to an engine.
type Binding struct {
	Engine string `json:"engine"`
}

// Store keeps the bindings in the table: one row per model, and an index row
// per engine and model.
type Store struct {
	table  platform.Table
	config *config.Store
}

// NewStore returns a store in the table.
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

// Bound returns the models that are bound to an engine. A transaction of
// guards alone proves that all those bindings stand at once, so that an old
// read can't give back a slot that has been freed since.
func (s *Store) Bound(ctx context.Context, engine string) ([]string, error) {
	for {
		models, guards, err := s.scan(ctx, engine)
		if err == nil {
			err = s.prove(ctx, guards...)
		}
		if !platform.IsConflict(err) || ctx.Err() != nil {
			return models, storeError(err)
		}
	}
}

// scan reads the index rows of an engine, with their guards.
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

// prove commits guards without a write. A ConflictError means that what was
// read no longer stands.
func (s *Store) prove(ctx context.Context, guards ...platform.Guard) error {
	if len(guards) == 0 {
		return nil
	}
	txn := platform.Txn{OperationID: uuid.NewString(), Guards: guards}
	_, err := s.table.Commit(ctx, txn)
	if errors.Is(err, platform.ErrUnknown) {
		// The transaction has no effect to lose, only its answer.
		return platform.ErrUnavailable
	}
	return err
}

// Keep reports whether the slot of a model that is bound to an engine is
// within the limit of the newest configuration. The slots that were bound
// first are kept. A slot that is not kept has to be released once the engine
// no longer holds the model. deployment is the one that offers the model by
// the caller's configuration, "" if none does, and version is that of the
// caller's configuration.
func (s *Store) Keep(ctx context.Context, deployment, model, engine string, version int64) (bool, error) {
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

// olderThanHead keeps the slot of a model that only a newer configuration than
// the caller's may offer.
func (s *Store) olderThanHead(ctx context.Context, version int64) (bool, error) {
	head, err := s.config.Head(ctx)
	return head > version, storeError(err)
}

// Bind binds a free slot of a model to an engine. The limit is checked against
// the newest configuration in the same transaction. A slot within the limit
// that is bound to the engine already is no error.
func (s *Store) Bind(ctx context.Context, operationID, deployment, model, engine string) error {
	for {
		err := s.tryBind(ctx, operationID, deployment, model, engine)
		if !platform.IsConflict(err) || ctx.Err() != nil {
			return storeError(err)
		}
	}
}

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
			// The limit was lowered: this slot is about to be released.
			return ErrNoSlot
		}
		return s.prove(ctx, guard, platform.Guard{Key: modelKey(model), Version: version})
	}
	if len(bindings) >= limit {
		return ErrNoSlot
	}
	index := platform.Write{Key: indexPrefix(engine) + model, Value: []byte(model)}
	return s.commit(ctx, operationID, model, version, append(bindings, binding), index, guard)
}

// Release frees the slot of a model that is bound to an engine. The caller has
// seen the engine without the model.
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

// limit reads a model's limit with the guard that holds while the limit
// stands.
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

// storeError turns errors of the layers below into those of the slots.
func storeError(err error) error {
	for _, below := range []error{platform.ErrUnavailable, platform.ErrUnknown, config.ErrUnavailable} {
		if errors.Is(err, below) {
			return fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
	}
	return err
}
