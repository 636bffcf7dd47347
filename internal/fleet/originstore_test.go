package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/streamorigin"
)

// fakeHistoryStore is a store with one row and a list of changes.
type fakeHistoryStore struct {
	row                        StoredRow
	listed                     Listed
	readErr, listErr, writeErr error
	reads, writes, listedAfter int64
}

func (s *fakeHistoryStore) Read(context.Context) (StoredRow, error) {
	s.reads++
	return s.row, s.readErr
}

func (s *fakeHistoryStore) Write(_ context.Context, revision int64, value []byte) (int64, error) {
	s.writes++
	if s.writeErr != nil || revision != s.row.Revision {
		return 0, errors.Join(s.writeErr, ErrHistoryConflict)
	}
	s.row.Value, s.row.Revision = value, revision+1
	return s.row.Revision, nil
}

func (s *fakeHistoryStore) Listed(_ context.Context, after int64) (Listed, error) {
	s.listedAfter = after
	return s.listed, s.listErr
}

// written returns the row's value.
func (s *fakeHistoryStore) written(t *testing.T) storedHistory {
	var stored storedHistory
	require.NoError(t, json.Unmarshal(s.row.Value, &stored))
	return stored
}

// versionsOf returns versions of service s.
func versionsOf(versions ...string) map[streamorigin.Origin]bool {
	out := map[streamorigin.Origin]bool{}
	for _, version := range versions {
		out[streamorigin.Origin{Service: "s", Version: version}] = true
	}
	return out
}

// storedRow returns a row in which a node has known version 1 for an hour.
func storedRow(at era.Position, current int64) StoredRow {
	account := streamorigin.Account{ProvenMS: time.Hour.Milliseconds()}
	account.Include(versionsOf("1"))
	value, _ := json.Marshal(storedHistory{Position: at, Account: account})
	return StoredRow{Value: value, Revision: 7, Era: current}
}

// newKept returns a node that has just begun to watch version 1, written at a position.
func newKept(t *testing.T, store *fakeHistoryStore, owns bool, entry era.Position) *keptHistory {
	o := NewOrigins()
	o.Inventory = inventory.New()
	o.Inventory.Replace([]*inventory.Endpoint{{ID: "e", Service: "s", Version: "1", Entry: entry}})
	o.Current = func() bool { return true }
	o.Log = discard
	o.Stored = StoredHistory{
		Store:    store,
		Position: func() (era.Position, bool) { return era.Position{Era: store.row.Era, Version: 100}, true },
		Owns:     func() bool { return owns },
	}
	o.history.Observe(serving(o.Inventory.Current()), true, time.Now().Add(-time.Millisecond))
	return &keptHistory{Origins: o}
}

// TestStoredHistoryAfterStart guards against streams that go on at another version since a node
// that has started believes the stored history where it does not reach up to the start, and
// against those that are refused where it does.
func TestStoredHistoryAfterStart(t *testing.T) {
	old := era.Position{Version: 50}
	broken := errors.New("no answer")
	cases := map[string]struct {
		store fakeHistoryStore
		owns  bool
		// entry is the version of the endpoint's entry.
		entry    int64
		result   historyResult
		versions []string
		proven   bool
	}{
		"no change since":           {fakeHistoryStore{row: storedRow(old, 0)}, false, 10, historyStored, []string{"1"}, true},
		"same version since":        {fakeHistoryStore{row: storedRow(old, 0), listed: Listed{Versions: versionsOf("1")}}, false, 60, historyStored, []string{"1"}, true},
		"known endpoint removed":    {fakeHistoryStore{row: storedRow(old, 0), listed: Listed{Gap: true}}, false, 10, historyStored, []string{"1"}, true},
		"another version since":     {fakeHistoryStore{row: storedRow(old, 0), listed: Listed{Versions: versionsOf("2")}}, false, 10, historyStored, []string{"1", "2"}, true},
		"changes gone":              {fakeHistoryStore{row: storedRow(old, 0), listErr: feed.ErrHistoryGone}, true, 10, historyGone, []string{"1"}, false},
		"change left out":           {fakeHistoryStore{row: storedRow(old, 0)}, false, 60, historyGone, []string{"1"}, false},
		"changes not read":          {fakeHistoryStore{row: storedRow(old, 0), listErr: broken}, true, 10, historyFailed, []string{"1"}, false},
		"row not read":              {fakeHistoryStore{readErr: broken}, true, 10, historyFailed, []string{"1"}, false},
		"row of another writer":     {fakeHistoryStore{row: StoredRow{Value: []byte("{"), Revision: 3}}, true, 10, historyUnreadable, []string{"1"}, false},
		"row of before a restore":   {fakeHistoryStore{row: storedRow(old, 1), listed: Listed{Era: 1}}, true, 10, historyRestored, []string{"1"}, false},
		"restored between":          {fakeHistoryStore{row: storedRow(old, 0), listed: Listed{Era: 1}}, true, 10, historyFailed, []string{"1"}, false},
		"since the beginning":       {fakeHistoryStore{listed: Listed{Versions: versionsOf("1")}}, true, 10, historyComplete, []string{"1"}, true},
		"two since the beginning":   {fakeHistoryStore{listed: Listed{Versions: versionsOf("1", "2")}}, true, 10, historyComplete, []string{"1", "2"}, true},
		"no row, not the owner":     {fakeHistoryStore{listed: Listed{Versions: versionsOf("1")}}, false, 10, historyNone, []string{"1"}, false},
		"no row, restored":          {fakeHistoryStore{row: StoredRow{Era: 1}, listed: Listed{Versions: versionsOf("1"), Era: 1}}, true, 10, historyRestored, []string{"1"}, false},
		"no row, changes gone":      {fakeHistoryStore{listErr: feed.ErrHistoryGone}, true, 10, historyGone, []string{"1"}, false},
		"no row, entry left out":    {fakeHistoryStore{}, true, 10, historyGone, []string{"1"}, false},
		"no row, unknown was there": {fakeHistoryStore{listed: Listed{Versions: versionsOf("1"), Gap: true}}, true, 10, historyGone, []string{"1"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			kept := newKept(t, &tc.store, tc.owns, era.Position{Version: tc.entry})
			result, _ := kept.read(t.Context(), tc.owns)
			versions, known := kept.history.Seen("s", streamorigin.MaxLifetime, time.Now())
			require.Equal(t, tc.result, result)
			require.Equal(t, tc.versions, versions)
			require.Equal(t, tc.proven, known >= streamorigin.MaxLifetime, "known for %v", known)
			require.Equal(t, tc.result.final(), kept.settled)
		})
	}
}

// TestStoredHistoryIsReadBeforeItIsWritten guards against an owner that has just started and
// overwrites what served before with the little that it has seen itself.
func TestStoredHistoryIsReadBeforeItIsWritten(t *testing.T) {
	store := &fakeHistoryStore{row: storedRow(era.Position{Version: 50}, 0), listErr: errors.New("no answer")}
	kept := newKept(t, store, true, era.Position{Version: 10})
	kept.step(t.Context())
	require.EqualValues(t, 1, store.reads)
	require.Zero(t, store.writes)
	store.listErr = nil
	kept.readNext = time.Time{}
	kept.step(t.Context())
	require.EqualValues(t, 1, store.writes)
	require.GreaterOrEqual(t, store.written(t).Account.ProvenMS, streamorigin.MaxLifetime.Milliseconds())
	require.Equal(t, era.Position{Version: 100}, store.written(t).Position)
}

// TestStoredHistoryOfNewVersion guards against a version that serves for seconds without being in
// the store: if its endpoints and all nodes then go, only a feed of each change would show it.
func TestStoredHistoryOfNewVersion(t *testing.T) {
	store := &fakeHistoryStore{row: storedRow(era.Position{Version: 50}, 0)}
	kept := newKept(t, store, true, era.Position{Version: 10})
	kept.step(t.Context())
	kept.step(t.Context())
	require.EqualValues(t, 1, store.writes, "nothing has changed")
	kept.Inventory.Replace([]*inventory.Endpoint{{ID: "e", Service: "s", Version: "2"}})
	kept.step(t.Context())
	require.EqualValues(t, 2, store.writes)
	require.Contains(t, store.written(t).Account.AgesMS["s"], "2")
}

// TestStoredHistoryOfTwoOwners guards against a former owner that overwrites the row of the next
// one: it reads the row again first.
func TestStoredHistoryOfTwoOwners(t *testing.T) {
	store := &fakeHistoryStore{row: storedRow(era.Position{Version: 50}, 0)}
	kept := newKept(t, store, true, era.Position{Version: 10})
	kept.step(t.Context())
	store.row.Revision += 5
	store.listed.Versions = versionsOf("2")
	kept.writtenAt = time.Time{}
	kept.step(t.Context())
	require.False(t, kept.known)
	kept.readNext = time.Time{}
	kept.step(t.Context())
	require.EqualValues(t, 3, store.writes, "the first, the refused and the last one")
	require.Contains(t, store.written(t).Account.AgesMS["s"], "2")
}

// TestStoredHistoryAfterRestore guards against a history that covers the time before a restore of
// the store, from which entries of other versions may have been lost.
func TestStoredHistoryAfterRestore(t *testing.T) {
	store := &fakeHistoryStore{row: StoredRow{Revision: 3, Era: 1, Value: storedRow(era.Position{Version: 50}, 1).Value}}
	kept := newKept(t, store, true, era.Position{Version: 10})
	kept.history.Merge(streamorigin.Account{ObservedMS: time.Hour.Milliseconds(), ProvenMS: time.Hour.Milliseconds()}, time.Now())
	kept.step(t.Context())
	require.EqualValues(t, 1, store.writes)
	require.Less(t, store.written(t).Account.ProvenMS, time.Second.Milliseconds())
	require.Less(t, store.written(t).Account.ObservedMS, time.Second.Milliseconds())
	require.EqualValues(t, 1, store.written(t).Position.Era)
}
