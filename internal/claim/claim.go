// Package claim ensures that a non-idempotent request runs at most once: before
// the request is dispatched, a claim row is created in the table by a guarded
// write. The response is stored in the same row.
//
// A row changes from claimed to answered, or to released if the request is
// known not to have been dispatched. Only the holder releases a claim.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chestnutgauge/internal/platform"
)

// State is the state of a claimed request.
type State string

// States of a claim.
const (
	// Claimed means that the request may have been dispatched.
	Claimed State = "claimed"
	// Answered means that the response is stored.
	Answered State = "answered"
	// Released means that the request is known not to have run; the key may be
	// claimed again.
	Released State = "released"
)

// Errors of claims.
var (
	// ErrUnavailable means that the table is unavailable. Nothing was written.
	ErrUnavailable = errors.New("claim: table unavailable")
	// ErrUnknown means that the outcome of a write is unknown. The caller must not
	// dispatch the request.
	ErrUnknown = errors.New("claim: outcome unknown")
	// ErrConflict means that another writer changed the row. Nothing was written.
	ErrConflict = errors.New("claim: row was changed")
	// ErrNotFound means that a read, which may be stale, found no row or no stored
	// response.
	ErrNotFound = errors.New("claim: not found")
	// ErrTooLarge means that a response exceeds the maximum size and is not
	// stored.
	ErrTooLarge = errors.New("claim: answer too large")
)

// Prefix is the prefix of the keys of claims in the table.
const Prefix = "claim/"

// Record is the value of a claim's row.
type Record struct {
	State State `json:"state"`
	// Router is the router that made the claim.
	Router string `json:"router"`
	// RequestID is the id of the only attempt that may be dispatched.
	RequestID string `json:"request_id"`
	// Endpoint is the endpoint to which the attempt may be dispatched.
	Endpoint string `json:"endpoint,omitempty"`
	// Digest distinguishes a retry from a different request with the same key.
	Digest string `json:"digest"`
	// Deadline is the latest time at which the holder dispatches the request.
	Deadline time.Time `json:"deadline"`
	// Expires is the time after which the row may be deleted.
	Expires time.Time `json:"expires"`
	// Status, ContentType and Body are the stored response. A large body is
	// stored in the object store under the key Object. Bytes is the body's size.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
	Bytes       int    `json:"bytes,omitempty"`
}

// Answer is a complete response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// VersionedRecord is a record as read, with the version of its row. Version 0
// means that there was no row.
type VersionedRecord struct {
	Record  Record
	Version int64
}

// Claim is a claim held by this process.
type Claim struct {
	key     string
	version int64
	Record  Record
}

// Request identifies the attempt for which a claim is made.
type Request struct {
	ID       string
	Endpoint string
	Digest   string
	Deadline time.Time
}

// Settings are the settings of a store.
type Settings struct {
	// Retention is how long a key and its response are stored.
	Retention time.Duration
	// InlineBytes is the maximum size of a response body that is stored in the
	// row.
	InlineBytes int
	// MaxAnswerBytes is the maximum size of a response body that is stored.
	MaxAnswerBytes int
	// MaxBatch is the maximum number of rows in one commit.
	MaxBatch int
	// MaxCommits is the maximum number of concurrent commits.
	MaxCommits int
	// MaxWaiting is the maximum number of writes that wait for a commit.
	MaxWaiting int
	// CommitTimeout is the timeout for committing a batch and determining the
	// outcome.
	CommitTimeout time.Duration
	// MaxUnsettled and MaxUnsettledBytes limit the number and the size of the
	// writes that are retried in the background after the table was unavailable.
	MaxUnsettled      int
	MaxUnsettledBytes int
	// RetryInterval is the interval between background retries of a write.
	RetryInterval time.Duration
	// SweepInterval is the interval between sweeps for expired rows.
	SweepInterval time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Retention:         24 * time.Hour,
		InlineBytes:       16 << 10,
		MaxAnswerBytes:    8 << 20,
		MaxBatch:          32,
		MaxCommits:        2,
		MaxWaiting:        4096,
		CommitTimeout:     10 * time.Second,
		MaxUnsettled:      1024,
		MaxUnsettledBytes: 16 << 20,
		RetryInterval:     time.Second,
		SweepInterval:     10 * time.Minute,
	}
}

// Store stores claims in the table.
type Store struct {
	table    platform.Table
	objects  platform.Objects
	router   string
	settings Settings
	batch    *batcher
	retrier  *retrier
}

// NewStore returns a store for a router. Close stops its background work.
func NewStore(table platform.Table, objects platform.Objects, router string, settings Settings) *Store {
	return &Store{
		table:    table,
		objects:  objects,
		router:   router,
		settings: settings,
		batch:    newBatcher(table, settings),
		retrier:  newRetrier(settings),
	}
}

// Close stops the background work. Writes that are still pending are dropped;
// their rows stay as they are in the table.
func (s *Store) Close() {
	s.retrier.close()
}

// Flush waits until no background writes are pending or ctx is done.
func (s *Store) Flush(ctx context.Context) {
	s.retrier.flush(ctx)
}

// Unsettled returns the number of pending background writes.
func (s *Store) Unsettled() int {
	return s.retrier.count()
}

// Key returns the row key for an organisation's idempotency key. The digest is
// cryptographic, so that an organisation cannot construct the key of another's
// row.
func Key(organisation, idempotencyKey string) string {
	digest := sha256.Sum256([]byte(organisation + "\x00" + idempotencyKey))
	return Prefix + hex.EncodeToString(digest[:])
}

// Read returns the record of a key. The read may be stale. It returns
// ErrNotFound or ErrUnavailable.
func (s *Store) Read(ctx context.Context, key string) (VersionedRecord, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return VersionedRecord{}, readError(err)
	}
	found := VersionedRecord{Version: row.Version}
	if err := json.Unmarshal(row.Value, &found.Record); err != nil {
		return VersionedRecord{}, fmt.Errorf("claim: row %s: %w", key, err)
	}
	return found, nil
}

// Unclaimed reports whether the key is not claimed. seen is the result of a
// read. Unclaimed verifies it by a guarded commit that writes nothing, so that
// a stale read is not mistaken for an absent claim.
func (s *Store) Unclaimed(ctx context.Context, key string, seen VersionedRecord) (bool, error) {
	if seen.Version != 0 && seen.Record.State != Released {
		return false, nil
	}
	_, err := s.table.Commit(ctx, platform.Txn{
		OperationID: newOperationID(),
		Guards:      []platform.Guard{{Key: key, Version: seen.Version}},
	})
	if platform.IsConflict(err) {
		return false, nil
	}
	return err == nil, writeError(err)
}

// Acquire makes a claim. seen is the result of an earlier read. If the key is
// already claimed, Acquire returns the existing record and a nil claim. It
// returns ErrUnavailable if no claim was made, or ErrUnknown; in that case the
// store releases the claim in the background if it was made.
func (s *Store) Acquire(ctx context.Context, key string, req Request, seen VersionedRecord) (*Claim, VersionedRecord, error) {
	record := Record{
		State:     Claimed,
		Router:    s.router,
		RequestID: req.ID,
		Endpoint:  req.Endpoint,
		Digest:    req.Digest,
		Deadline:  req.Deadline,
		Expires:   time.Now().Add(s.settings.Retention),
	}
	for {
		version, err := s.write(ctx, key, seen.Version, record)
		switch {
		case err == nil:
			return &Claim{key: key, version: version, Record: record}, VersionedRecord{}, nil
		case errors.Is(err, ErrUnknown):
			s.releaseInBackground(key, seen.Version, record)
			return nil, VersionedRecord{}, err
		case !errors.Is(err, ErrConflict):
			return nil, VersionedRecord{}, err
		}
		if seen, err = s.readAfterConflict(ctx, key, seen.Version); err != nil {
			return nil, VersionedRecord{}, err
		}
		switch {
		case seen.Version != 0 && seen.Record.RequestID == req.ID && seen.Record.State == Claimed:
			return &Claim{key: key, version: seen.Version, Record: seen.Record}, VersionedRecord{}, nil
		case seen.Version != 0 && seen.Record.State != Released:
			return nil, seen, nil
		}
	}
}

// rereadInterval is the interval at which a row is read again after a stale
// read.
const rereadInterval = 20 * time.Millisecond

// readAfterConflict reads a row whose version is known to differ from guard. It
// repeats reads that are stale until ctx is done.
func (s *Store) readAfterConflict(ctx context.Context, key string, guard int64) (VersionedRecord, error) {
	for {
		found, err := s.Read(ctx, key)
		if errors.Is(err, ErrNotFound) {
			found, err = VersionedRecord{}, nil
		}
		if err != nil || found.Version != guard {
			return found, err
		}
		select {
		case <-time.After(rereadInterval):
		case <-ctx.Done():
			return VersionedRecord{}, fmt.Errorf("%w: row reads stale", ErrUnavailable)
		}
	}
}

// SetEndpoint records the endpoint of the next dispatch, after the previous
// endpoint is known not to have run the request. After an error, the claim may
// only be released.
func (s *Store) SetEndpoint(ctx context.Context, held *Claim, endpoint string) error {
	record := held.Record
	record.Endpoint = endpoint
	return s.update(ctx, held, record)
}

// update writes a new record of a held claim.
func (s *Store) update(ctx context.Context, held *Claim, record Record) error {
	version, err := s.write(ctx, held.key, held.version, record)
	if err != nil {
		return err
	}
	held.version = version
	held.Record = record
	return nil
}

// write commits one row whose version is guard. It returns ErrConflict,
// ErrUnavailable or ErrUnknown.
func (s *Store) write(ctx context.Context, key string, guard int64, record Record) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return s.batch.write(ctx, key, guard, value)
}

// writeError converts an error of a commit to one of this package. An
// unrecognised error means that the outcome is unknown.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case platform.IsConflict(err):
		return fmt.Errorf("%w: %v", ErrConflict, err)
	case errors.Is(err, platform.ErrUnavailable):
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}

// readError converts an error of a read to one of this package.
func readError(err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return ErrNotFound
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}
