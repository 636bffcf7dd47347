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
)

// sweepPage is the number of rows read, and at most deleted, at once.
const sweepPage = 200

// RunSweeps deletes expired rows and their objects from time to time, until
// ctx ends. Only the process for which elected returns true sweeps; two that
// do so at once only cost more.
func (s *Store) RunSweeps(ctx context.Context, elected func() bool) error {
	for {
		select {
		case <-time.After(s.settings.SweepInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		if elected() {
			// What is left after an error waits for the next sweep.
			_, _ = s.Sweep(ctx)
		}
	}
}

// Sweep deletes the rows that have expired and returns their number.
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
		// Changed since, or deleted already: the next sweep sees.
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return len(txn.Writes), nil
}
