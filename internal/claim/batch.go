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

// guardedWrite is one row to write if its version is guard.
type guardedWrite struct {
	key    string
	guard  int64
	value  []byte
	result chan writeResult
}

type writeResult struct {
	version int64
	err     error
}

// batcher commits guarded writes in groups: while the allowed commits are in
// flight, further writes gather and go together in the next one. An idle
// batcher adds no delay. (Group commit, as databases do it for their logs.)
type batcher struct {
	table    platform.Table
	settings Settings

	mu      sync.Mutex
	waiting []*guardedWrite
	commits int
	// busy holds the keys in the commits in flight. Two writes of one key are
	// never in flight at once: in one transaction both would take effect.
	busy map[string]bool
}

func newBatcher(table platform.Table, settings Settings) *batcher {
	return &batcher{table: table, settings: settings, busy: map[string]bool{}}
}

// write commits one row and returns its version. If ctx ends first the outcome
// is unknown, or ErrUnavailable if the write was not yet under way.
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
	if b.withdraw(w) {
		return 0, fmt.Errorf("%w: %v", ErrUnavailable, ctx.Err())
	}
	return 0, fmt.Errorf("%w: %v", ErrUnknown, ctx.Err())
}

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

func (b *batcher) withdraw(w *guardedWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return true
}

// commitWaiting commits batches until nothing is left that can go.
func (b *batcher) commitWaiting() {
	for {
		batch := b.take()
		if len(batch) == 0 {
			return
		}
		b.commit(batch)
		b.mu.Lock()
		for _, w := range batch {
			delete(b.busy, w.key)
		}
		b.mu.Unlock()
	}
}

// take picks the next batch: the oldest writes of distinct keys that are not
// in flight. With none it gives up the caller's place.
func (b *batcher) take() []*guardedWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*guardedWrite
	for _, w := range b.waiting {
		if len(batch) == b.settings.MaxBatch || b.busy[w.key] {
			rest = append(rest, w)
			continue
		}
		b.busy[w.key] = true
		batch = append(batch, w)
	}
	b.waiting = rest
	if len(batch) == 0 {
		b.commits--
	}
	return batch
}

// commit commits a batch. Rows that conflict are taken out and the rest goes
// again, as a transaction of its own: the one before had no effect.
func (b *batcher) commit(batch []*guardedWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.CommitLimit)
	defer cancel()
	for len(batch) > 0 {
		version, err := platform.CommitResolved(ctx, b.table, transaction(batch))
		conflict, isConflict := err.(*platform.ConflictError)
		if !isConflict {
			finish(batch, writeResult{version, writeError(err)})
			return
		}
		lost, rest := split(batch, conflict.Keys)
		if len(lost) == 0 {
			// The table did not name the rows: each goes alone.
			lost, rest = batch[:1], batch[1:]
			if len(rest) > 0 {
				b.commit(lost)
				lost = nil
			}
		}
		finish(lost, writeResult{err: writeError(err)})
		batch = rest
	}
}

func transaction(batch []*guardedWrite) platform.Txn {
	txn := platform.Txn{OperationID: newOperationID()}
	for _, w := range batch {
		txn.Guards = append(txn.Guards, platform.Guard{Key: w.key, Version: w.guard})
		txn.Writes = append(txn.Writes, platform.Write{Key: w.key, Value: w.value})
	}
	return txn
}

func split(batch []*guardedWrite, keys []string) (lost, rest []*guardedWrite) {
	for _, w := range batch {
		if slices.Contains(keys, w.key) {
			lost = append(lost, w)
		} else {
			rest = append(rest, w)
		}
	}
	return lost, rest
}

func finish(batch []*guardedWrite, result writeResult) {
	for _, w := range batch {
		w.result <- result
	}
}
