// Package platform defines what the system needs from the platform it runs
// on: a transactional table, an object store, the limits of the weight store
// and the membership list. Adapters implement the interfaces.
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

// Errors of the platform. Adapters turn the errors of their transport into
// these.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the platform could not be reached or refused
	// the call, and that the call had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that a write may or may not have taken effect, or may
	// still take effect later.
	ErrUnknown = errors.New("platform: outcome unknown")
)

// ConflictError reports the guards of a transaction that did not hold. The
// transaction had no effect.
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
	// grow over the whole table, so that a row which was deleted and written
	// anew never has a version that it had before.
	Version int64 `json:"version"`
	// OperationID is that of the transaction which wrote the row.
	OperationID string `json:"operation_id"`
}

// Guard is a condition of a transaction: the row has this version, or does
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

// Txn is a guarded transaction over several rows. Either all its writes take
// effect, or none.
type Txn struct {
	// OperationID is unique to the operation and stays the same when the
	// transaction is sent again.
	OperationID string  `json:"operation_id"`
	Guards      []Guard `json:"guards"`
	Writes      []Write `json:"writes"`
}

// Table is the platform's transactional table.
type Table interface {
	// Get reads a row. It returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads up to limit rows whose keys have the prefix and are greater
	// than after, in the order of their keys. It returns ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns its commit number. It returns
	// a ConflictError, ErrUnavailable, or ErrUnknown.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object. It returns ErrUnavailable or ErrUnknown.
	Put(ctx context.Context, key string, data []byte) error
	// Get reads an object. It returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object; one that does not exist is no error. It
	// returns ErrUnavailable or ErrUnknown.
	Delete(ctx context.Context, key string) error
}

// WeightLimits are the limits of the weight store.
type WeightLimits struct {
	// FullSpeedLoads is the number of checkpoint loads that run at full speed
	// at once; more slow each other down.
	FullSpeedLoads int `json:"full_speed_loads"`
	// AdaptersInTransit is the number of adapter loads that run at full speed
	// at once.
	AdaptersInTransit int `json:"adapters_in_transit"`
}

// Weights tells the limits of the weight store.
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

// VMKind tells entry VMs from endpoint VMs.
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
	// Processes maps a role (router, controller, admin) to the host:port that
	// peers reach it at. For endpoint VMs it maps endpoint names to addresses.
	Processes map[string]string `json:"processes"`
}

// Membership is the platform's list of live and leaving VMs. It lags.
type Membership interface {
	// List returns the VMs. It returns ErrUnavailable.
	List(ctx context.Context) ([]VM, error)
}

// resolvePause is the wait before a transaction with an unknown outcome is
// sent again.
const resolvePause = 20 * time.Millisecond

// CommitResolved commits a transaction and resolves an unknown outcome by
// sending the same transaction again until the table answers or ctx ends. The
// guards make that safe: at most one of the sendings takes effect. After a
// conflict it reads back a row that the transaction writes, to see whether an
// earlier sending was the one that took effect. Each transaction must guard
// every row that it writes. It returns a ConflictError, ErrUnavailable
// (nothing took effect), or ErrUnknown (ctx ended while the outcome was open;
// a sending may still take effect later).
//
// A row that was overwritten since the transaction took effect reads back as a
// conflict. A writer whose rows others may overwrite must recognise its own
// write by the value.
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
			// An earlier sending may still take effect.
		case errors.Is(err, ErrUnknown):
			unknown = true
		case err == ctx.Err() && unknown:
			return 0, ErrUnknown
		default:
			return 0, err
		}
		if !pause.For(ctx, resolvePause) {
			return 0, ErrUnknown
		}
	}
}

// readBack tells whether the transaction took effect although its last
// sending met a conflict. A row that reads as the guard wanted it, although
// the guard failed, was read stale and is read again.
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
		if !pause.For(ctx, resolvePause) {
			return 0, ErrUnknown
		}
	}
}

// readBackRow picks the row to read back: one whose guard failed, if the
// transaction writes it, else the first. It returns the version that the guard
// wanted, and whether that guard failed.
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
