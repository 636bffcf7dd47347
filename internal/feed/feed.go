// Package feed keeps up with a table of an outside store: it reads the table
// whole, follows its changes, and reads it anew after an outage or when the
// store no longer knows what has changed.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"chestnutgauge/internal/pause"
)

// ErrHistoryGone means that the changes after a version are no longer kept.
var ErrHistoryGone = errors.New("feed: history gone")

// Row is a row of a table.
type Row struct {
	Key   string
	Value []byte
	// Version is that of the change that wrote or removed the row.
	Version int64
	// Removed marks a row that was dropped.
	Removed bool
}

// Rows is what a source returns.
type Rows struct {
	Rows []Row
	// Version is that of the newest change.
	Version int64
}

// Source is a table of an outside store.
type Source interface {
	// Read returns the whole table.
	Read(ctx context.Context) (Rows, error)
	// Changes waits for changes after a version, at most for a time. It returns
	// ErrHistoryGone if they are no longer known.
	Changes(ctx context.Context, after int64, wait time.Duration) (Rows, error)
}

// Times of a follower.
const (
	// changesWait is short, because after the store dropped its history a feed
	// may hear nothing until its wait ends.
	changesWait     = time.Second
	changesWaitTold = 20 * time.Second
	changesSlack    = 2 * time.Second
	readLimit       = 1500 * time.Millisecond
	// backoffMin doubles with each failure up to backoffMax.
	backoffMin = 100 * time.Millisecond
	backoffMax = 600 * time.Millisecond
	// idlePause is the time between looks whether another source is followed.
	idlePause = 100 * time.Millisecond
	// gatherPause gathers changes into one answer, ownerPause does so at the
	// node that acts on them.
	gatherPause = 200 * time.Millisecond
	ownerPause  = 15 * time.Millisecond
)

// Follower keeps up with one table. Functions that are nil count as false.
type Follower struct {
	Source Source
	// Name names the table in the log.
	Name string
	Log  *slog.Logger
	// All takes the whole table, Change some rows of it.
	All    func(rows []Row)
	Change func(rows []Row)
	// Idle tells that another source is followed, so that the table is not.
	Idle func() bool
	// Told tells that another node says at once when the table has changed, so
	// that the changes may be waited for longer.
	Told func() bool
	// IsOwner tells that this node acts on the changes.
	IsOwner func() bool

	// poke has the table read anew.
	poke chan struct{}
	// lost is set while the store does not answer, from lostAt on.
	lost     bool
	lostAt   atomic.Int64
	returned atomic.Int64
}

// New returns a follower of a table whose rows go to all and change.
func New(source Source, name string, all, change func(rows []Row), log *slog.Logger) *Follower {
	return &Follower{Source: source, Name: name, All: all, Change: change, Log: log, poke: make(chan struct{}, 1)}
}

// OutageDuration returns how long the store has not answered, 0 if it does.
func (f *Follower) OutageDuration() time.Duration {
	return since(&f.lostAt)
}

// SinceRecovery returns how long ago the store came back after an outage, 0 if
// there was none.
func (f *Follower) SinceRecovery() time.Duration {
	return since(&f.returned)
}

func since(nanoseconds *atomic.Int64) time.Duration {
	at := nanoseconds.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}

// Poke has the table read anew at once.
func (f *Follower) Poke() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

func is(condition func() bool) bool {
	return condition != nil && condition()
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	version := int64(-1)
	backoff := backoffMin
	for ctx.Err() == nil {
		if is(f.Idle) {
			version = -1
			pause.For(ctx, idlePause)
			continue
		}
		next, err := f.step(ctx, version)
		switch {
		case err == nil:
			version = next
			backoff = backoffMin
			f.noteRegained()
		case errors.Is(err, ErrHistoryGone):
			f.Log.Info("store history gone, table read anew", "table", f.Name, "after", version)
			version = -1
		default:
			f.noteLost(err)
			pause.For(ctx, backoff)
			backoff = min(2*backoff, backoffMax)
		}
	}
	return ctx.Err()
}

func (f *Follower) noteLost(err error) {
	if f.lost {
		return
	}
	f.lost = true
	f.lostAt.Store(time.Now().UnixNano())
	f.Log.Warn("store lost", "table", f.Name, "error", err)
}

func (f *Follower) noteRegained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.lostAt.Store(0)
	f.Log.Info("store regained", "table", f.Name)
}

// step reads the table, or what changed in it after a version.
func (f *Follower) step(ctx context.Context, version int64) (int64, error) {
	if version < 0 || f.lost {
		return f.readAll(ctx)
	}
	wait := changesWait
	if is(f.Told) {
		wait = changesWaitTold
	}
	limited, cancel := context.WithTimeout(ctx, wait+changesSlack)
	defer cancel()
	poked := f.cancelOnPoke(limited, cancel)
	rows, err := f.Source.Changes(limited, version, wait)
	if poked() {
		return f.readAll(ctx)
	}
	if err != nil {
		return 0, err
	}
	if len(rows.Rows) > 0 {
		f.Change(rows.Rows)
		pause.For(ctx, f.gather())
	}
	return rows.Version, nil
}

// gather returns how long changes are gathered.
func (f *Follower) gather() time.Duration {
	if is(f.IsOwner) {
		return ownerPause
	}
	return gatherPause
}

// cancelOnPoke cancels a wait when the table is to be read anew. The result
// ends that and tells whether it happened.
func (f *Follower) cancelOnPoke(ctx context.Context, cancel context.CancelFunc) func() bool {
	done := make(chan bool, 1)
	go func() {
		select {
		case <-f.poke:
			cancel()
			done <- true
		case <-ctx.Done():
			done <- false
		}
	}()
	return func() bool {
		cancel()
		return <-done
	}
}

func (f *Follower) readAll(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	rows, err := f.Source.Read(ctx)
	if err != nil {
		return 0, err
	}
	if f.lost {
		f.returned.Store(time.Now().UnixNano())
	}
	f.All(rows.Rows)
	return rows.Version, nil
}
