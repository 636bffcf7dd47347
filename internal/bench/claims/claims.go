// Package claims measures how many commits to the platform's table claims need,
// by maximum batch size.
package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/standin"
)

// Settings of a measurement.
type Settings struct {
	// Batches are the maximum batch sizes to measure.
	Batches []int
	// Rates are the requests per second at one router.
	Rates []int
	// Duration of each measurement.
	Duration time.Duration
	// CommitTime is the duration of a commit to the table.
	CommitTime time.Duration
	// Writes is the number of commits per second that the table sustains.
	Writes int
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{
		Batches:    []int{1, 4, 16, 32},
		Rates:      []int{1, 32, 285},
		Duration:   2 * time.Second,
		CommitTime: 10 * time.Millisecond,
		Writes:     300,
	}
}

// ErrIncomplete means that a claim or a response was not stored.
var ErrIncomplete = errors.New("claims: a write failed")

// Run measures each batch size at each rate: every request is claimed and its
// response stored.
func Run(ctx context.Context, s Settings) (report.Table, error) {
	table := report.Table{Title: "Commits per request (claim and stored response)", Columns: []string{"requests/s at the router", "maximum batch", "requests", "commits", "commits per request", "requests/s within the table's writes"}}
	for _, rate := range s.Rates {
		for _, batch := range s.Batches {
			requests, commits, err := measure(ctx, s, rate, batch)
			if err != nil {
				return table, err
			}
			perRequest := float64(commits) / float64(requests)
			table.Rows = append(table.Rows, []string{
				fmt.Sprint(rate), fmt.Sprint(batch), fmt.Sprint(requests), fmt.Sprint(commits),
				fmt.Sprintf("%.2f", perRequest), fmt.Sprintf("%.0f", float64(s.Writes)/perRequest),
			})
		}
	}
	return table, nil
}

func measure(ctx context.Context, s Settings, rate, batch int) (requests, commits int64, err error) {
	faults := &standin.Faults{}
	faults.Set(standin.Fault{Kind: standin.FaultTableSlow, Milliseconds: s.CommitTime.Milliseconds()})
	table := standin.NewTable(faults)
	settings := claim.DefaultSettings()
	settings.MaxBatch = batch
	store := claim.NewStore(table, standin.NewObjects(faults), "bench", settings)
	defer store.Close()
	var running sync.WaitGroup
	var failed atomic.Int64
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(s.Duration); time.Now().Before(end); requests++ {
		key := claim.Key("bench", fmt.Sprint(requests))
		running.Go(func() {
			if claimAndStore(ctx, store, key) != nil {
				failed.Add(1)
			}
		})
		<-ticker.C
	}
	running.Wait()
	if failed.Load() > 0 {
		return 0, 0, fmt.Errorf("%w: %d requests", ErrIncomplete, failed.Load())
	}
	_, commits = table.Requests()
	return requests, commits, nil
}

func claimAndStore(ctx context.Context, store *claim.Store, key string) error {
	claimed, _, err := store.Acquire(ctx, key, claim.Request{ID: key}, claim.VersionedRecord{})
	if err != nil {
		return err
	}
	return store.SaveAnswer(ctx, claimed, claim.Answer{Status: 200, Body: make([]byte, 1024)})
}
