// Package platform defines the interfaces of the platform that the system runs
// on: a transactional table, an object store, the limits of the weight store
// and the membership list. Adapters implement them.
package platform

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"chestnutgauge/internal/pause"
)

// Errors of the platform. Adapters map the errors of their transport to these.
var (
	// ErrNotFound reports that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable reports that the platform could not be reached or refused
	// the call, and that the call had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown reports that a write may or may not have taken effect, or may
	// still take effect later.
	ErrUnknown = errors.New("platform: outcome unknown")
)

// ConflictError lists the keys of the guards that failed. The transaction had no
// effect.
type ConflictError struct {
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: guard failed on %s", strings.Join(e.Keys, ", "))
}

// IsConflict reports whether err is or wraps a ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the number of the commit that wrote the row. Commit numbers
	// increase across the table, so a row that is deleted and recreated never
	// gets an earlier version again.
	Version int64 `json:"version"`
	// OperationID is the ID of the transaction that wrote the row.
	OperationID string `json:"operation_id"`
}

// Guard is a condition of a transaction: the row has the given version, or does
// not exist if Version is 0.
type Guard struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is an atomic transaction over several rows: it is applied if all guards
// succeed.
type Txn struct {
	// OperationID is unique to the operation and stays the same when the
	// transaction is retried.
	OperationID string  `json:"operation_id"`
	Guards      []Guard `json:"guards"`
	Writes      []Write `json:"writes"`
}

// Table is the platform's transactional table.
type Table interface {
	// Get reads a row. Its errors are ErrNotFound and ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads up to limit rows whose keys have the prefix and are greater
	// than after, in the order of their keys. Its error is ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns its commit number. Its errors are
	// a ConflictError, ErrUnavailable and ErrUnknown.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object. Its errors are ErrUnavailable and ErrUnknown.
	Put(ctx context.Context, key string, data []byte) error
	// Get reads an object. Its errors are ErrNotFound and ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object. It succeeds if the object does not exist. Its
	// errors are ErrUnavailable and ErrUnknown.
	Delete(ctx context.Context, key string) error
}

// WeightLimits are the limits of the weight store.
type WeightLimits struct {
	// FullSpeedLoads is the number of concurrent checkpoint loads that run at
	// full speed. More loads slow each other down.
	FullSpeedLoads int `json:"full_speed_loads"`
	// AdaptersInTransit is the number of concurrent adapter loads that run at
	// full speed.
	AdaptersInTransit int `json:"adapters_in_transit"`
}

// Weights provides the limits of the weight store.
type Weights interface {
	Limits(ctx context.Context) (WeightLimits, error)
}

// VMState is the state of a VM in the membership list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMKind distinguishes entry VMs from endpoint VMs.
type VMKind string

// Kinds of VMs.
const (
	EntryVM    VMKind = "entry"
	EndpointVM VMKind = "endpoint"
)

// VM is one machine in the membership list.
type VM struct {
	ID         string  `json:"id"`
	Kind       VMKind  `json:"kind"`
	Region     string  `json:"region"`
	DataCentre string  `json:"data_centre"`
	State      VMState `json:"state"`
	// Processes maps a role (router, controller, admin) to the host:port of its
	// peer server. For endpoint VMs it maps endpoint names to addresses.
	Processes map[string]string `json:"processes"`
}

// Membership is the platform's list of live and leaving VMs. The list lags
// behind the actual state.
type Membership interface {
	// List returns the VMs. Its error is ErrUnavailable.
	List(ctx context.Context) ([]VM, error)
}

// resolveDelay is the delay before a transaction with an unknown outcome is
// retried.
const resolveDelay = 20 * time.Millisecond

// CommitResolved commits a transaction. If the outcome is unknown, it retries
// the same transaction until the table responds or ctx ends. The guards make
// that safe: at most one attempt takes effect. After a conflict it reads back a
// row that the transaction writes, to determine whether an earlier attempt took
// effect. A transaction must therefore guard every row that it writes. The
// errors are a ConflictError, ErrUnavailable (no attempt took effect) and
// ErrUnknown (ctx ended while the outcome was unknown, and an attempt may still
// take effect later).
//
// If another writer has overwritten the row after the transaction took effect,
// the result is a conflict. If that is possible, the caller must recognise its
// own write by its value.
func CommitResolved(ctx context.Context, table Table, txn Txn) (int64, error) {
	unknown := false
	for {
		version, err := table.Commit(ctx, txn)
		var conflict *ConflictError
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict) && unknown:
			return readBack(ctx, table, txn, conflict)
		case errors.Is(err, ErrUnavailable) && unknown:
			// An earlier attempt may still take effect.
		case errors.Is(err, ErrUnknown):
			unknown = true
		case err == ctx.Err() && unknown:
			return 0, ErrUnknown
		default:
			return 0, err
		}
		if !pause.For(ctx, resolveDelay) {
			return 0, ErrUnknown
		}
	}
}

// readBack determines whether a transaction whose last attempt failed with a
// conflict took effect in an earlier attempt. If the row has the version that
// its failed guard required, the read was stale and is repeated.
func readBack(ctx context.Context, table Table, txn Txn, conflict *ConflictError) (int64, error) {
	key, guard, failed := readBackRow(txn, conflict)
	for {
		row, err := table.Get(ctx, key)
		if errors.Is(err, ErrNotFound) {
			row, err = Row{}, nil
		}
		stale := failed && row.Version == guard
		switch {
		case err == nil && row.OperationID == txn.OperationID:
			return row.Version, nil
		case err == nil && !stale:
			return 0, conflict
		}
		if !pause.For(ctx, resolveDelay) {
			return 0, ErrUnknown
		}
	}
}

// readBackRow selects the row to read back: the first written row whose guard
// failed, or else the first written row. It returns the version that the row's
// guard requires and whether that guard failed.
func readBackRow(txn Txn, conflict *ConflictError) (key string, guard int64, failed bool) {
	key = txn.Writes[0].Key
	for _, write := range txn.Writes {
		if slices.Contains(conflict.Keys, write.Key) {
			key, failed = write.Key, true
			break
		}
	}
	for _, g := range txn.Guards {
		if g.Key == key {
			return key, g.Version, failed
		}
	}
	return key, 0, false
}
