package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/google/uuid"

	"chestnutgauge/internal/platform"
)

func newOperationID() string {
	return uuid.NewString()
}

// guardedWrite is a conditional write of one row: it takes effect only if the
// row's version equals guard.
type guardedWrite struct {
	key    string
	guard  int64
	value  []byte
	result chan writeResult
}

// writeResult is the row's new version, or the error of a write.
type writeResult struct {
	version int64
	err     error
}

// batcher combines guarded writes into group commits, as databases do for their
// logs: while the maximum number of commits is in flight, further writes queue
// and are committed together in the next one. An idle batcher adds no delay.
type batcher struct {
	table    platform.Table
	settings Settings

	mu      sync.Mutex
	waiting []*guardedWrite
	// commits is the number of goroutines that commit batches.
	commits int
	// inFlight holds the keys of the commits in flight. Two writes of one key are
	// never in flight at the same time: in one transaction both would take effect.
	inFlight map[string]bool
}

func newBatcher(table platform.Table, settings Settings) *batcher {
	return &batcher{table: table, settings: settings, inFlight: map[string]bool{}}
}

// write commits one row and returns its new version. If ctx is done first, it
// returns ErrUnknown, or ErrUnavailable if the commit had not started.
func (b *batcher) write(ctx context.Context, key string, guard int64, value []byte) (int64, error) {
	w := &guardedWrite{key: key, guard: guard, value: value, result: make(chan writeResult, 1)}
	if !b.enqueue(w) {
		return 0, fmt.Errorf("%w: %d writes are waiting", ErrUnavailable, b.settings.MaxWaiting)
	}
	select {
	case result := <-w.result:
		return result.version, result.err
	case <-ctx.Done():
	}
	if b.dequeue(w) {
		return 0, fmt.Errorf("%w: %v", ErrUnavailable, ctx.Err())
	}
	return 0, fmt.Errorf("%w: %v", ErrUnknown, ctx.Err())
}

// enqueue queues a write and starts a commit if one more is allowed. It returns
// false if the queue is full.
func (b *batcher) enqueue(w *guardedWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= b.settings.MaxWaiting {
		return false
	}
	b.waiting = append(b.waiting, w)
	if b.commits < b.settings.MaxCommits {
		b.commits++
		go b.commitWaiting()
	}
	return true
}

// dequeue removes a write from the queue. It returns false if its commit has
// started.
func (b *batcher) dequeue(w *guardedWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return true
}

// commitWaiting commits batches until no queued write can be committed.
func (b *batcher) commitWaiting() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.commit(batch)
		b.mu.Lock()
		for _, w := range batch {
			delete(b.inFlight, w.key)
		}
		b.mu.Unlock()
	}
}

// nextBatch removes and returns the next batch: the oldest writes of distinct
// keys that are not in flight. If there are none, the commit loop of the caller
// ends, so nextBatch decrements commits.
func (b *batcher) nextBatch() []*guardedWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*guardedWrite
	for _, w := range b.waiting {
		if len(batch) == b.settings.MaxBatch || b.inFlight[w.key] {
			rest = append(rest, w)
			continue
		}
		b.inFlight[w.key] = true
		batch = append(batch, w)
	}
	b.waiting = rest
	if len(batch) == 0 {
		b.commits--
	}
	return batch
}

// commit commits a batch. After a conflict, it removes the rows that conflict
// and commits the rest in a new transaction, since the failed one had no
// effect.
func (b *batcher) commit(batch []*guardedWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.CommitTimeout)
	defer cancel()
	for len(batch) > 0 {
		version, err := platform.CommitResolved(ctx, b.table, transaction(batch))
		conflict, isConflict := err.(*platform.ConflictError)
		if !isConflict {
			finish(batch, writeResult{version, writeError(err)})
			return
		}
		conflicting, rest := split(batch, conflict.Keys)
		if len(conflicting) == 0 {
			// The table did not name the conflicting rows: commit each row alone.
			conflicting, rest = batch[:1], batch[1:]
			if len(rest) > 0 {
				b.commit(conflicting)
				conflicting = nil
			}
		}
		finish(conflicting, writeResult{err: writeError(err)})
		batch = rest
	}
}

// transaction returns the transaction that writes a batch.
func transaction(batch []*guardedWrite) platform.Txn {
	txn := platform.Txn{OperationID: newOperationID()}
	for _, w := range batch {
		txn.Guards = append(txn.Guards, platform.Guard{Key: w.key, Version: w.guard})
		txn.Writes = append(txn.Writes, platform.Write{Key: w.key, Value: w.value})
	}
	return txn
}

// split separates the writes of the given keys from the rest.
func split(batch []*guardedWrite, keys []string) (conflicting, rest []*guardedWrite) {
	for _, w := range batch {
		if slices.Contains(keys, w.key) {
			conflicting = append(conflicting, w)
		} else {
			rest = append(rest, w)
		}
	}
	return conflicting, rest
}

// finish delivers a result to all writers of a batch.
func finish(batch []*guardedWrite, result writeResult) {
	for _, w := range batch {
		w.result <- result
	}
}
