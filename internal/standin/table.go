package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/platform"
)

// Table is an in-memory platform.Table.
type Table struct {
	faults *Faults

	mu       sync.Mutex
	rows     map[string]platform.Row
	previous map[string]platform.Row
	commits  int64
	reads    int64
	// commitCalls is the number of calls of Commit, commits the number of the
	// last commit that took effect.
	commitCalls int64
}

// NewTable returns an empty table.
func NewTable(faults *Faults) *Table {
	return &Table{
		faults:   faults,
		rows:     map[string]platform.Row{},
		previous: map[string]platform.Row{},
	}
}

// TableCopy is a copy of a table's content.
type TableCopy struct {
	rows    map[string]platform.Row
	commits int64
}

// Copy returns a copy of the table's present content.
func (t *Table) Copy() TableCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableCopy{rows: maps.Clone(t.rows), commits: t.commits}
}

// Restore replaces the table's content by a copy: later commits are lost, and
// their numbers are assigned again.
func (t *Table) Restore(copied TableCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.commits = maps.Clone(copied.rows), copied.commits
	t.previous = map[string]platform.Row{}
}

// Requests returns the number of reads and commits received so far.
func (t *Table) Requests() (reads, commits int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.commitCalls
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.injectFaults(ctx); err != nil {
		return platform.Row{}, err
	}
	_, stale := t.faults.consume(FaultTableStale, func(f Fault) bool { return strings.HasPrefix(key, f.Prefix) })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	rows := t.rows
	if stale {
		rows = t.previous
	}
	row, ok := rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.injectFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	out := []platform.Row{}
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if len(out) == limit {
			break
		}
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, t.rows[key])
		}
	}
	return out, nil
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	if err := t.injectFaults(ctx); err != nil {
		return 0, err
	}
	version, err := t.apply(txn)
	if err != nil {
		return 0, err
	}
	if _, lost := t.faults.consume(FaultTableResponseLost, func(f Fault) bool { return writesPrefix(txn, f.Prefix) }); lost {
		return 0, platform.ErrUnknown
	}
	return version, nil
}

func writesPrefix(txn platform.Txn, prefix string) bool {
	return slices.ContainsFunc(txn.Writes, func(w platform.Write) bool {
		return strings.HasPrefix(w.Key, prefix)
	})
}

func (t *Table) apply(txn platform.Txn) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commitCalls++
	var conflicts []string
	for _, guard := range txn.Guards {
		if t.rows[guard.Key].Version != guard.Version {
			conflicts = append(conflicts, guard.Key)
		}
	}
	if len(conflicts) > 0 {
		return 0, &platform.ConflictError{Keys: conflicts}
	}
	t.commits++
	for _, write := range txn.Writes {
		t.write(write, txn.OperationID)
	}
	return t.commits, nil
}

func (t *Table) write(write platform.Write, operation string) {
	if before, ok := t.rows[write.Key]; ok {
		t.previous[write.Key] = before
	}
	if write.Delete {
		delete(t.rows, write.Key)
		return
	}
	t.rows[write.Key] = platform.Row{
		Key:         write.Key,
		Value:       write.Value,
		Version:     t.commits,
		OperationID: operation,
	}
}

// injectFaults applies the faults that occur before a call takes effect.
func (t *Table) injectFaults(ctx context.Context) error {
	if d := t.faults.delay(FaultTableSlow, ""); d > 0 {
		if !pause.For(ctx, d) {
			return platform.ErrUnavailable
		}
	}
	if t.faults.tableDown() {
		return platform.ErrUnavailable
	}
	return ctx.Err()
}

func (f *Faults) tableDown() bool {
	_, tableDown := f.consumeFor(FaultTableDown, "")
	return tableDown
}
