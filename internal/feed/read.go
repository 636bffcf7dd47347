package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/progress"
)

const (
	// maxReadTime bounds a call whose answer moves on.
	maxReadTime = 15 * time.Second
	// maxLateReads bounds the reads that have counted as failed and go on. With two, a store that takes
	// twice the timeout for an answer is read as often as one that answers within it.
	maxLateReads = 2
)

// readResult is the result of a read of the whole table.
type readResult struct {
	rows Rows
	err  error
}

// read reads the whole table. A read that makes no progress for ReadTimeout counts as failed, but goes on: a
// store that takes longer for each answer would else never be read.
func (f *Follower) read(ctx context.Context, sentAt time.Duration) (Rows, error) {
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	stalled := make(chan struct{})
	observed, stop := progress.OnStall(ctx, f.ReadTimeout, func() { close(stalled) })
	ended := make(chan readResult, 1)
	go func() {
		rows, err := f.Source.Read(observed)
		stop()
		ended <- readResult{rows, err}
	}()
	select {
	case result := <-ended:
		cancel()
		return result.rows, result.err
	case <-ctx.Done():
	case <-stalled:
		if f.late.Add(1) <= maxLateReads {
			go func() {
				defer cancel()
				defer f.late.Add(-1)
				f.endLate(<-ended, sentAt)
			}()
			return Rows{}, context.DeadlineExceeded
		}
		f.late.Add(-1)
	}
	cancel()
	<-ended
	return Rows{}, context.DeadlineExceeded
}

// errSuperseded means that the result of a read was not used, as another source may have brought newer rows
// meanwhile.
var errSuperseded = errors.New("feed: superseded by another source")

// superseded reports whether the result of a read that began at a time is not to be used. One that took no
// longer than its timeout is as new as what another source has of the store.
func (f *Follower) superseded(sentAt time.Duration) bool {
	return f.Superseded != nil && f.Clock()-sentAt > f.ReadTimeout && f.Superseded(sentAt)
}

// endLate passes on the result of a read that has counted as failed.
func (f *Follower) endLate(result readResult, sentAt time.Duration) {
	if result.err != nil || f.superseded(sentAt) {
		return
	}
	f.Log.Info("late answer of the store", "table", f.Name, "took_ms", (f.Clock() - sentAt).Milliseconds())
	f.recordConfirmed(sentAt, f.ReadTimeout)
	f.replace(result.rows, sentAt)
	f.attempts.end(false, failure{})
}

// replace passes on the result of a read of the whole table that began at a time, unless what has been
// passed on is newer.
func (f *Follower) replace(rows Rows, sentAt time.Duration) {
	f.passing.Lock()
	defer f.passing.Unlock()
	if !f.isOlder(rows.Position) {
		f.Replace(rows)
		f.applied.Store(&rows.Position)
	}
	f.advance(sentAt)
}

// update passes on changes that a call which began at a time has returned, unless what has been passed on is
// newer.
func (f *Follower) update(rows Rows, sentAt time.Duration) {
	f.passing.Lock()
	defer f.passing.Unlock()
	if !f.isOlder(rows.Position) {
		if len(rows.Rows) > 0 {
			f.Update(rows.Rows)
		}
		f.applied.Store(&rows.Position)
	}
	f.advance(sentAt)
}

// isOlder reports whether a position is older than what has been passed on. The caller holds passing.
func (f *Follower) isOlder(position era.Position) bool {
	applied := f.applied.Load()
	return applied != nil && applied.After(position)
}

// advance records that what was passed on is at least as new as a call that began at a time. The caller
// holds passing.
func (f *Follower) advance(sentAt time.Duration) {
	now := f.Clock()
	if age, known := f.appliedAt.Age(now); !known || now-age < sentAt {
		f.appliedAt.Set(sentAt)
	}
}

// awaitRestoreDelay waits for the random delay before the first read after the
// store was restored. Requests for a read that arrive meanwhile are met by it.
func (f *Follower) awaitRestoreDelay(ctx context.Context) {
	pause.For(ctx, rand.N(maxRestoreDelay))
	select {
	case <-f.notify:
	default:
	}
}

// readAll reads the whole table and passes it on.
func (f *Follower) readAll(ctx context.Context) (era.Position, error) {
	restored := f.restored.Swap(false)
	if restored {
		f.awaitRestoreDelay(ctx)
	}
	sentAt := f.Clock()
	rows, err := f.read(ctx, sentAt)
	if err != nil {
		if restored {
			f.restored.Store(true)
		}
		return era.Position{}, err
	}
	if f.superseded(sentAt) {
		if restored {
			f.restored.Store(true)
		}
		return era.Position{}, errSuperseded
	}
	f.recordConfirmed(sentAt, f.ReadTimeout)
	if f.lost {
		f.lastOutage.Store(int64(f.OutageDuration()))
		f.recoveredAt.Set(f.Clock())
	}
	f.replace(rows, sentAt)
	if restored && f.Restored != nil {
		f.Restored(rows.Position, len(rows.Rows))
	}
	return rows.Position, nil
}
