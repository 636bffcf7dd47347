// Package claim makes a request that may not be repeated run at most once: a
// claim row is created in the table before the request is dispatched, and the
// answer is kept in it.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"chestnutgauge/internal/platform"
)

// State is how far a claimed request has come.
type State string

// States of a claim.
const (
	// Claimed means that the request may have been dispatched.
	Claimed State = "claimed"
	// Answered means that the answer is kept.
	Answered State = "answered"
	// Released means that the request certainly did not run; the key may be
	// claimed anew.
	Released State = "released"
)

// Errors of claims.
var (
	// ErrUnavailable means that the table is away. No claim was made.
	ErrUnavailable = errors.New("claim: table unavailable")
	// ErrUnknown means that the outcome of the claim is open. The caller must
	// not dispatch.
	ErrUnknown = errors.New("claim: outcome unknown")
)

// Record is the value of a claim's row.
type Record struct {
	State State `json:"state"`
	// Router that made the claim.
	Router    string `json:"router"`
	RequestID string `json:"request_id"`
	Endpoint  string `json:"endpoint,omitempty"`
	// BodyDigest tells a repeat from a different request under the same key.
	BodyDigest uint64 `json:"body_digest"`
	// Status, ContentType and Body are the kept answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Claim is a claim held by this process.
type Claim struct {
	key     string
	version int64
	Record  Record
}

// Store keeps claims in the table.
type Store struct {
	table  platform.Table
	router string
}

// NewStore returns a store for the router.
func NewStore(table platform.Table, router string) *Store {
	return &Store{table: table, router: router}
}

// Key returns the row key of an organisation's idempotency key.
func Key(organisation, idempotencyKey string) string {
	return fmt.Sprintf("claim/%016x/%s", xxhash.Sum64String(organisation), idempotencyKey)
}

// Take makes a claim. If the key is claimed already it returns the earlier
// record and a nil claim.
func (s *Store) Take(ctx context.Context, key, requestID string, bodyDigest uint64) (*Claim, *Record, error) {
	record := Record{State: Claimed, Router: s.router, RequestID: requestID, BodyDigest: bodyDigest}
	version, err := s.write(ctx, key, 0, record)
	if err == nil {
		return &Claim{key: key, version: version, Record: record}, nil, nil
	}
	if !platform.IsConflict(err) {
		return nil, nil, storeError(err)
	}
	earlier, row, err := s.Read(ctx, key)
	if err != nil {
		return nil, nil, err
	}
	if earlier.State != Released {
		return nil, earlier, nil
	}
	version, err = s.write(ctx, key, row, record)
	if platform.IsConflict(err) {
		return s.Take(ctx, key, requestID, bodyDigest)
	}
	if err != nil {
		return nil, nil, storeError(err)
	}
	return &Claim{key: key, version: version, Record: record}, nil, nil
}

// Read returns the record of a key and the version of its row.
func (s *Store) Read(ctx context.Context, key string) (*Record, int64, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return nil, 0, storeError(err)
	}
	record := &Record{}
	if err := json.Unmarshal(row.Value, record); err != nil {
		return nil, 0, fmt.Errorf("claim: row %s: %w", key, err)
	}
	return record, row.Version, nil
}

// Update replaces the record of a claim that this process holds.
func (s *Store) Update(ctx context.Context, held *Claim, record Record) error {
	version, err := s.write(ctx, held.key, held.version, record)
	if err != nil {
		return storeError(err)
	}
	held.version = version
	held.Record = record
	return nil
}

func (s *Store) write(ctx context.Context, key string, version int64, record Record) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return platform.CommitResolved(ctx, s.table, platform.Txn{
		OperationID: uuid.NewString(),
		Guards:      []platform.Guard{{Key: key, Version: version}},
		Writes:      []platform.Write{{Key: key, Value: value}},
	})
}

func storeError(err error) error {
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	case errors.Is(err, platform.ErrUnknown):
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	return err
}
