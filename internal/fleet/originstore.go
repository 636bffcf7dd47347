package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/progress"
	"chestnutgauge/internal/streamorigin"
)

// Timing of the history that the store keeps.
const (
	// storedCheckInterval is the time between two checks of whether to read or write it.
	storedCheckInterval = 250 * time.Millisecond
	// storedReadInterval is the time between the first two reads of it while none has
	// succeeded. It doubles with each further one, up to storedReadMax.
	storedReadInterval = time.Second
	storedReadMax      = 8 * time.Second
	// storedWriteInterval is the longest time between two writes by the owner. The store's
	// changes since the last one must still be there when all nodes have started again; it
	// keeps them for 20 s, or less.
	storedWriteInterval = 5 * time.Second
	// storedTimeout is how long a read or a write may make no progress.
	storedTimeout = time.Second
	// maxStoredTime bounds a read that moves on.
	maxStoredTime = 10 * time.Second
)

// ErrHistoryConflict means that another node has written the stored history.
var ErrHistoryConflict = errors.New("fleet: stored history was written by another node")

// StoredRow is the row of the store that keeps the history of versions.
type StoredRow struct {
	Value []byte
	// Revision is that of the row, 0 if it does not exist.
	Revision int64
	// Era is the era of the answer.
	Era int64
}

// Listed are the changes of endpoints' entries after a position of the store.
type Listed struct {
	// Versions are those of the endpoints.
	Versions map[streamorigin.Origin]bool
	// Gap means that an endpoint was removed whose entry is not among the changes.
	Gap bool
	// Era is the era of the answers.
	Era int64
}

// includes reports whether the versions of all endpoints whose entries were written after a version
// of the store are among the changes. If not, the store has left some out.
func (l Listed) includes(snapshot *inventory.Snapshot, after int64) bool {
	complete := true
	snapshot.Each(func(e *inventory.Endpoint) {
		listed := l.Versions[streamorigin.Origin{Service: e.Service, Version: e.Version}]
		complete = complete && (listed || e.Entry.Era != l.Era || e.Entry.Version <= after)
	})
	return complete
}

// HistoryStore is the external store, as far as it shows which versions served while no
// node was running.
type HistoryStore interface {
	// Read reads the row.
	Read(ctx context.Context) (StoredRow, error)
	// Write writes the row if its revision is as given, and returns the new one. It returns
	// ErrHistoryConflict if the row has another revision.
	Write(ctx context.Context, revision int64, value []byte) (int64, error)
	// Listed returns all changes after a version. It returns feed.ErrHistoryGone if the
	// store no longer has them.
	Listed(ctx context.Context, after int64) (Listed, error)
}

// StoredHistory is how Origins uses the store. The owner writes its history with the position of
// the store that it includes. A node that has started reads it with all changes since.
type StoredHistory struct {
	Store HistoryStore
	// Position returns the position of the store that the inventory includes.
	Position func() (era.Position, bool)
	// Owns reports whether this node writes the history.
	Owns func() bool
}

// storedHistory is the value of the row.
type storedHistory struct {
	Position era.Position         `json:"position"`
	Account  streamorigin.Account `json:"account"`
}

// keptHistory is the state of the worker that reads and writes the stored history.
type keptHistory struct {
	*Origins
	// settled means that the stored history was read, or that there is none to use.
	settled bool
	// readNext is when it is read again.
	readNext time.Time
	backoff  time.Duration
	// revision is that of the row, if it is known.
	revision int64
	known    bool
	// writtenAt is the time of the last write, versions the number of versions in it.
	writtenAt time.Time
	versions  int
	// eraSeen is when this process first saw the era of the store.
	era     int64
	eraSeen time.Time
}

// RunStoredHistory reads and writes the stored history until ctx ends.
func (o *Origins) RunStoredHistory(ctx context.Context) error {
	kept := &keptHistory{Origins: o}
	for pause.For(ctx, storedCheckInterval) {
		kept.step(ctx)
	}
	return ctx.Err()
}

// step reads or writes the stored history if that is due.
func (k *keptHistory) step(ctx context.Context) {
	now := time.Now()
	owns := k.Stored.Owns()
	k.known = k.known && owns
	age := k.history.Known(now)
	k.settled = k.settled || age >= streamorigin.MaxLifetime
	if (!k.settled || owns && !k.known) && age > 0 && !now.Before(k.readNext) {
		if result, _ := k.read(ctx, owns); result.final() {
			k.backoff = 0
		}
		k.backoff = min(max(2*k.backoff, storedReadInterval), storedReadMax)
		k.readNext = now.Add(k.backoff)
	}
	if owns && k.known && k.settled {
		k.write(ctx)
	}
}

// read reads the stored history and records what came of it.
func (k *keptHistory) read(ctx context.Context, owns bool) (historyResult, error) {
	ctx, cancel := progress.WithTimeout(ctx, storedTimeout, maxStoredTime)
	defer cancel()
	row, err := k.Stored.Store.Read(ctx)
	var result historyResult
	if err == nil {
		result, err = k.adopt(ctx, row, owns)
	}
	if err != nil {
		result = historyFailed
	}
	countHistoryRead(result)
	k.settled = k.settled || result.final()
	k.revision, k.known = row.Revision, result.final()
	k.Log.Info("stored history of versions read", "result", string(result), "store_era", row.Era, "revision", row.Revision, "error", err)
	return result, err
}

// adopt extends the history by the stored one and by the changes of the store since. Without a
// stored one the owner takes the changes since the store's beginning, if it still has all.
func (k *keptHistory) adopt(ctx context.Context, row StoredRow, owns bool) (historyResult, error) {
	var stored storedHistory
	result := historyStored
	switch {
	case row.Revision == 0 && row.Era != 0:
		return historyRestored, nil
	case row.Revision == 0 && !owns:
		return historyNone, nil
	case row.Revision == 0:
		result = historyComplete
		stored.Account.ProvenMS = streamorigin.Retention.Milliseconds()
	case json.Unmarshal(row.Value, &stored) != nil:
		return historyUnreadable, nil
	case stored.Position.Era != row.Era:
		return historyRestored, nil
	}
	snapshot, asOf := k.Inventory.Current(), time.Now()
	listed, err := k.Stored.Store.Listed(ctx, stored.Position.Version)
	switch {
	case errors.Is(err, feed.ErrHistoryGone):
		return historyGone, nil
	case err != nil:
		return historyFailed, err
	case listed.Era != row.Era:
		return historyFailed, errStoreRestored
	case listed.Gap && result == historyComplete, !listed.includes(snapshot, stored.Position.Version):
		return historyGone, nil
	}
	stored.Account.Include(listed.Versions)
	if !k.history.Extend(stored.Account, asOf, time.Now()) {
		return historyFailed, errNotWatching
	}
	return result, nil
}

// write writes the history if that is due.
func (k *keptHistory) write(ctx context.Context) {
	position, known := k.Stored.Position()
	now := time.Now()
	if position.Era != k.era || k.eraSeen.IsZero() {
		k.era, k.eraSeen = position.Era, now
	}
	// The position is read first, so that the observation includes it.
	k.history.Observe(serving(k.Inventory.Current()), k.Current(), now)
	if !known || !k.Current() {
		return
	}
	account := k.history.Account(now)
	if k.era > 0 {
		// What served before the restore may have been lost from the store.
		account.Limit(now.Sub(k.eraSeen))
	}
	versions := account.Versions()
	if versions == k.versions && now.Sub(k.writtenAt) < storedWriteInterval {
		return
	}
	value, err := json.Marshal(storedHistory{Position: position, Account: account})
	if err == nil {
		ctx, cancel := progress.WithTimeout(ctx, storedTimeout, maxStoredTime)
		defer cancel()
		k.revision, err = k.Stored.Store.Write(ctx, k.revision, value)
	}
	countHistoryWrite(err)
	if err != nil {
		k.known = false
		k.Log.Info("stored history of versions not written", "error", err)
		return
	}
	k.writtenAt, k.versions = now, versions
}
