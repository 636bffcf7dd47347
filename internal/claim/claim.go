// Package claim makes a request that may not be repeated run at most once: a
// claim row is created in the table, by a guarded write, before the request is
// dispatched, and the answer is kept in it.
//
// A row moves from claimed to answered, or to released when the request
// certainly was not dispatched. Nothing but its holder releases a claim.
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
	// ErrUnavailable means that the table is away. Nothing was written.
	ErrUnavailable = errors.New("claim: table unavailable")
	// ErrUnknown means that the outcome of a write is open. The caller must
	// not dispatch.
	ErrUnknown = errors.New("claim: outcome unknown")
	// ErrConflict means that the row was changed by somebody else. Nothing was
	// written.
	ErrConflict = errors.New("claim: row was changed")
	// ErrNotFound means that a read found no row, or no kept answer. A read
	// may be stale.
	ErrNotFound = errors.New("claim: not found")
	// ErrTooLarge means that an answer is beyond the bound and is not kept.
	ErrTooLarge = errors.New("claim: answer too large")
)

// Prefix of the keys of claims in the table.
const Prefix = "claim/"

// Record is the value of a claim's row.
type Record struct {
	State State `json:"state"`
	// Router that made the claim.
	Router string `json:"router"`
	// RequestID is that of the one try that may be dispatched.
	RequestID string `json:"request_id"`
	// Endpoint that the try may be dispatched to.
	Endpoint string `json:"endpoint,omitempty"`
	// Digest tells a repeat from a different request under the same key.
	Digest string `json:"digest"`
	// Deadline is the latest time at which the holder dispatches.
	Deadline time.Time `json:"deadline"`
	// Expires is the time after which the row may be deleted.
	Expires time.Time `json:"expires"`
	// Status, ContentType and Body are the kept answer. A large body is in
	// the object store under Object.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
	Bytes       int    `json:"bytes,omitempty"`
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Found is a record as it was read, with the version of its row. Version 0
// means that there was none.
type Found struct {
	Record  Record
	Version int64
}

// Claim is a claim held by this process.
type Claim struct {
	key     string
	version int64
	Record  Record
}

// Request is what a claim is made for.
type Request struct {
	ID       string
	Endpoint string
	Digest   string
	Deadline time.Time
}

// Settings of a store.
type Settings struct {
	// Retention is how long a key and its answer are kept.
	Retention time.Duration
	// InlineBytes is the longest answer that is kept in the row.
	InlineBytes int
	// MaxAnswerBytes is the longest answer that is kept.
	MaxAnswerBytes int
	// MaxBatch is the largest number of rows in one commit.
	MaxBatch int
	// MaxCommits is the number of commits in flight at once.
	MaxCommits int
	// MaxWaiting bounds the writes that wait for a commit.
	MaxWaiting int
	// CommitLimit bounds the resolving of one commit.
	CommitLimit time.Duration
	// MaxUnsettled and MaxUnsettledBytes bound the writes that are tried again
	// in the background after the table was away.
	MaxUnsettled      int
	MaxUnsettledBytes int
	// SettlePause is the time between two such tries.
	SettlePause time.Duration
	// SweepInterval is the time between two sweeps for expired rows.
	SweepInterval time.Duration
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{
		Retention:         24 * time.Hour,
		InlineBytes:       16 << 10,
		MaxAnswerBytes:    8 << 20,
		MaxBatch:          32,
		MaxCommits:        2,
		MaxWaiting:        4096,
		CommitLimit:       10 * time.Second,
		MaxUnsettled:      1024,
		MaxUnsettledBytes: 16 << 20,
		SettlePause:       time.Second,
		SweepInterval:     10 * time.Minute,
	}
}

// Store keeps claims in the table.
type Store struct {
	table    platform.Table
	objects  platform.Objects
	router   string
	settings Settings
	batch    *batcher
	settler  *settler
}

// NewStore returns a store for the router. Close ends its background work.
func NewStore(table platform.Table, objects platform.Objects, router string, settings Settings) *Store {
	return &Store{
		table:    table,
		objects:  objects,
		router:   router,
		settings: settings,
		batch:    newBatcher(table, settings),
		settler:  newSettler(settings),
	}
}

// Close ends the background work. What is not settled stays as it is in the
// table.
func (s *Store) Close() {
	s.settler.close()
}

// Flush waits until nothing is left to settle, or ctx ends.
func (s *Store) Flush(ctx context.Context) {
	s.settler.flush(ctx)
}

// Unsettled returns the number of writes that are tried in the background.
func (s *Store) Unsettled() int {
	return s.settler.count()
}

// Key returns the row key of an organisation's idempotency key. The digest is
// cryptographic, so that one organisation can't reach another's row.
func Key(organisation, idempotencyKey string) string {
	digest := sha256.Sum256([]byte(organisation + "\x00" + idempotencyKey))
	return Prefix + hex.EncodeToString(digest[:])
}

// Read returns the record of a key. The read may be stale. It returns
// ErrNotFound or ErrUnavailable.
func (s *Store) Read(ctx context.Context, key string) (Found, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return Found{}, readError(err)
	}
	found := Found{Version: row.Version}
	if err := json.Unmarshal(row.Value, &found.Record); err != nil {
		return Found{}, fmt.Errorf("claim: row %s: %w", key, err)
	}
	return found, nil
}

// Free reports whether the key is not claimed, by a guarded commit that
// writes nothing: a stale read can't be mistaken for an absent claim. seen is
// what a read showed.
func (s *Store) Free(ctx context.Context, key string, seen Found) (bool, error) {
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

// Take makes a claim. If the key is claimed already it returns the earlier
// record and a nil claim. seen is what a read showed before. It returns
// ErrUnavailable if no claim was made, or ErrUnknown; the store then sees in
// the background that no claim stays.
func (s *Store) Take(ctx context.Context, key string, req Request, seen Found) (*Claim, Found, error) {
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
			return &Claim{key: key, version: version, Record: record}, Found{}, nil
		case errors.Is(err, ErrUnknown):
			s.abandon(key, seen.Version, record)
			return nil, Found{}, err
		case !errors.Is(err, ErrConflict):
			return nil, Found{}, err
		}
		if seen, err = s.readAfterConflict(ctx, key, seen.Version); err != nil {
			return nil, Found{}, err
		}
		switch {
		case seen.Version != 0 && seen.Record.RequestID == req.ID && seen.Record.State == Claimed:
			return &Claim{key: key, version: seen.Version, Record: seen.Record}, Found{}, nil
		case seen.Version != 0 && seen.Record.State != Released:
			return nil, seen, nil
		}
	}
}

// rereadPause is the wait before a row is read again that was read stale.
const rereadPause = 20 * time.Millisecond

// readAfterConflict reads a row whose version is known to differ from guard.
func (s *Store) readAfterConflict(ctx context.Context, key string, guard int64) (Found, error) {
	for {
		found, err := s.Read(ctx, key)
		if errors.Is(err, ErrNotFound) {
			found, err = Found{}, nil
		}
		if err != nil || found.Version != guard {
			return found, err
		}
		select {
		case <-time.After(rereadPause):
		case <-ctx.Done():
			return Found{}, fmt.Errorf("%w: row reads stale", ErrUnavailable)
		}
	}
}

// Move names the endpoint of a further dispatch, after the endpoint before
// certainly did not run the request. After an error the claim may only be
// released.
func (s *Store) Move(ctx context.Context, held *Claim, endpoint string) error {
	record := held.Record
	record.Endpoint = endpoint
	return s.update(ctx, held, record)
}

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

// writeError turns an error of a commit into one of this package. One that is
// not typed leaves the outcome open.
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

func readError(err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return ErrNotFound
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}
