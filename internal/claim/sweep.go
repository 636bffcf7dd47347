package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/platform"
)

var (
	droppedTotal = metrics.NewCounter("chestnutgauge_claims_unsettled_dropped_total")
	sweptTotal   = metrics.NewCounter("chestnutgauge_claims_swept_total")
	// restoredTotal counts responses whose claim the table had lost.
	restoredTotal = metrics.NewCounter("chestnutgauge_claims_restored_total")
)

// sweepPage is the maximum number of rows read, and deleted, at once.
const sweepPage = 200

// RunSweeps periodically deletes expired rows and their objects until ctx is
// done. It sweeps only while elected returns true. Concurrent sweeps by several
// processes are correct but wasteful.
func (s *Store) RunSweeps(ctx context.Context, elected func() bool) error {
	for {
		select {
		case <-time.After(s.settings.SweepInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		if elected() {
			// After an error, the next sweep deletes the remaining rows.
			_, _ = s.Sweep(ctx)
		}
	}
}

// Sweep deletes expired rows and their objects, and returns the number of rows.
func (s *Store) Sweep(ctx context.Context) (int, error) {
	swept := 0
	after := ""
	for {
		rows, err := s.table.Scan(ctx, Prefix, after, sweepPage)
		if err != nil || len(rows) == 0 {
			return swept, err
		}
		after = rows[len(rows)-1].Key
		deleted, err := s.sweepRows(ctx, rows)
		swept += deleted
		sweptTotal.Add(deleted)
		if err != nil {
			return swept, err
		}
	}
}

// sweepRows deletes the expired rows of one page. Rows whose object cannot be
// deleted remain.
func (s *Store) sweepRows(ctx context.Context, rows []platform.Row) (int, error) {
	txn := platform.Txn{OperationID: newOperationID()}
	for _, row := range rows {
		var record Record
		if err := json.Unmarshal(row.Value, &record); err != nil || time.Now().Before(record.Expires) {
			continue
		}
		if (record.Object != "" || record.State == Claimed) && s.objects.Delete(ctx, objectKey(record)) != nil {
			continue
		}
		txn.Guards = append(txn.Guards, platform.Guard{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return 0, nil
	}
	_, err := s.table.Commit(ctx, txn)
	if platform.IsConflict(err) || errors.Is(err, platform.ErrUnknown) {
		// Rows were changed concurrently or are already deleted; the next sweep
		// reads them again.
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return len(txn.Writes), nil
}
