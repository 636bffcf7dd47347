package feed

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
)

var errUnavailable = errors.New("store: unavailable")

// fakeSource is a table whose calls of Changes block until a result is sent to
// next.
type fakeSource struct {
	mu          sync.Mutex
	unavailable bool
	// silent makes calls of Changes get no answer.
	silent bool
	reads  int
	waits  []time.Duration
	next   chan error
	// era is the era of the results.
	era int64
}

func newSource() *fakeSource {
	return &fakeSource{next: make(chan error, 1)}
}

func (s *fakeSource) Read(context.Context) (Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return Rows{}, errUnavailable
	}
	s.reads++
	return Rows{Position: era.Position{Era: s.era, Version: int64(s.reads)}, Rows: []Row{{Key: "all"}}}, nil
}

func (s *fakeSource) Changes(ctx context.Context, after int64, wait time.Duration) (Rows, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return Rows{}, ctx.Err()
	}
	at := func(version int64) era.Position {
		s.mu.Lock()
		defer s.mu.Unlock()
		return era.Position{Era: s.era, Version: version}
	}
	select {
	case err := <-s.next:
		return Rows{Position: at(after + 1), Rows: []Row{{Key: "changed"}}}, err
	case <-time.After(wait):
		return Rows{Position: at(after)}, nil
	case <-ctx.Done():
		return Rows{}, ctx.Err()
	}
}

func (s *fakeSource) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *fakeSource) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *fakeSource) setEra(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = number
}

func (s *fakeSource) count() (reads int, waits []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.waits
}

// runFollower runs a follower under the fake clock and calls act with its
// source.
func runFollower(t *testing.T, set func(f *Follower), act func(s *fakeSource, f *Follower, got func() []string)) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		var mu sync.Mutex
		var keys []string
		record := func(rows []Row) {
			mu.Lock()
			defer mu.Unlock()
			for _, row := range rows {
				keys = append(keys, row.Key)
			}
		}
		replace := func(rows Rows) { record(rows.Rows) }
		f := New(source, "t", replace, record, slog.New(slog.DiscardHandler))
		start := time.Now()
		f.Clock = func() time.Duration { return time.Since(start) }
		f.MaxStartDelay = 0
		set(f)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		synctest.Wait()
		act(source, f, func() []string {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return keys
		})
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}
