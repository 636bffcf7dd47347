// Package feed follows a table of an external store: it reads the whole table,
// then its changes, and reads the whole table again after an outage or when the
// store no longer has the history of changes.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/progress"
)

// ErrHistoryGone means that the store no longer has the changes after a
// version.
var ErrHistoryGone = errors.New("feed: history gone")

// Row is a row of a table.
type Row struct {
	Key   string
	Value []byte
	// Position is that of the change that wrote or removed the row.
	Position era.Position
	// Removed means that the row was deleted.
	Removed bool
}

// Rows is the result of a read.
type Rows struct {
	Rows []Row
	// Position is that of the newest change.
	Position era.Position
}

// Source is a table of an external store.
type Source interface {
	// Read returns all rows.
	Read(ctx context.Context) (Rows, error)
	// Changes waits for changes after a version, for at most wait. It returns
	// ErrHistoryGone if the store no longer has them.
	Changes(ctx context.Context, after int64, wait time.Duration) (Rows, error)
}

// Timeouts and intervals of a follower.
const (
	// changesWait is the wait of one call of Changes. It is short, because
	// after the store has dropped its history a call may see no changes until
	// its wait ends.
	changesWait = time.Second
	// changesSlack is the time that a call of Changes may take beyond its wait.
	changesSlack = 400 * time.Millisecond
	// defaultReadTimeout is the default of Follower.ReadTimeout.
	defaultReadTimeout = 1500 * time.Millisecond
	// maxStartDelay is the default of Follower.MaxStartDelay.
	maxStartDelay = 100 * time.Millisecond
	// backoffMin is the delay after the first failure. It doubles with each
	// further one, up to backoffMax.
	backoffMin = 100 * time.Millisecond
	backoffMax = 600 * time.Millisecond
	// maxRestoreDelay is the maximum of the random delay before a read of the whole
	// table after the store was restored, which all processes see at once.
	maxRestoreDelay = 200 * time.Millisecond
	// idlePollInterval is the time between two checks of Idle.
	idlePollInterval = 100 * time.Millisecond
	// batchInterval is the pause after a change, so that further changes are
	// read together. ownerBatchInterval replaces it on the node that acts on
	// them. The others read the changes themselves only while no node acts on
	// them, and then few matter at once.
	batchInterval      = 600 * time.Millisecond
	ownerBatchInterval = 15 * time.Millisecond
)

// Follower follows one table. Functions that are nil count as returning false.
type Follower struct {
	Source Source
	// Name is the name of the table in the log.
	Name string
	Log  *slog.Logger
	// Replace receives all rows, Update the changed ones.
	Replace func(rows Rows)
	Update  func(rows []Row)
	// Idle reports whether another source is used, so that the table is read
	// only when Notify is called.
	Idle func() bool
	// MaxStartDelay is the maximum of the random delay before the first read, so
	// that processes that start together don't read the store in the same
	// instant.
	MaxStartDelay time.Duration
	// IsOwner reports whether this node acts on the changes.
	IsOwner func() bool
	// Clock measures ages and outages.
	Clock monotime.Clock
	// Wait returns the wait of one call of Changes, at most changesWait. It may be nil.
	Wait func() time.Duration
	// ReadTimeout is how long a read of the whole table may make no progress before it counts as failed.
	ReadTimeout time.Duration

	// Superseded reports whether another source has brought rows since a time, which may then be newer than
	// those of a read that began before it. It may be nil, if older rows do no harm.
	Superseded func(since time.Duration) bool

	// Restored, which may be nil, is called after the whole table was read because
	// the store was restored, with the position and the number of rows.
	Restored func(at era.Position, rows int)

	// notify requests a read of the whole table.
	notify chan struct{}
	// restored is set until the whole table is read after the store was restored.
	restored atomic.Bool
	// lost is set while the store is unavailable. lostAt is the start of the
	// outage, recoveredAt the end of the last one.
	lost        bool
	lostAt      monotime.Mark
	recoveredAt monotime.Mark
	// lastOutage is the duration of the last outage, in nanoseconds.
	lastOutage atomic.Int64
	// confirmedAt is when the store last answered a read or a call of Changes.
	confirmedAt monotime.Mark
	// appliedAt is the start of the last call whose result has been passed on.
	appliedAt monotime.Mark
	// applied is the position up to which all changes have been passed on, or nil.
	applied atomic.Pointer[era.Position]
	// attempts are the calls that have ended.
	attempts attempts
	// late is the number of reads that have counted as failed and go on.
	late atomic.Int64
	// passing is held while rows are passed on.
	passing sync.Mutex
}

// New returns a follower of a table that passes all rows to replace and changed
// rows to update.
func New(source Source, name string, replace func(rows Rows), update func(rows []Row), log *slog.Logger) *Follower {
	return &Follower{
		Source:  source,
		Name:    name,
		Replace: replace,
		Update:  update,
		Log:     log,
		notify:  make(chan struct{}, 1),
		Clock:   monotime.Now,

		MaxStartDelay: maxStartDelay,
		ReadTimeout:   defaultReadTimeout,
	}
}

// Notify requests an immediate read of the whole table.
func (f *Follower) Notify() {
	select {
	case f.notify <- struct{}{}:
	default:
	}
}

// NotifyRestored requests a read of the whole table after the store was restored,
// after a random delay.
func (f *Follower) NotifyRestored() {
	f.restored.Store(true)
	f.Notify()
}

func isTrue(condition func() bool) bool {
	return condition != nil && condition()
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	if f.MaxStartDelay > 0 {
		pause.For(ctx, rand.N(f.MaxStartDelay))
	}
	var last *era.Position
	backoff := backoffMin
	for ctx.Err() == nil {
		if isTrue(f.Idle) {
			last = nil
			if !f.awaitNotify(ctx, idlePollInterval) {
				continue
			}
		}
		begun := f.Clock()
		next, err := f.step(ctx, last)
		f.recordAttempt(begun, err)
		switch {
		case err == nil:
			last = &next
			backoff = backoffMin
			f.recordRecovered()
		case errors.Is(err, errSuperseded):
			last = nil
		case errors.Is(err, ErrHistoryGone):
			f.Log.Info("store history gone; reading the whole table", "table", f.Name, "after", last)
			last = nil
		case errors.Is(err, era.ErrOlder):
			f.Log.Info("store answer of an older era; reading the whole table", "table", f.Name, "after", last)
			last = nil
			f.backOff(ctx, backoff)
			backoff = min(2*backoff, backoffMax)
		default:
			if f.recordLost(err) {
				continue
			}
			f.backOff(ctx, backoff)
			backoff = min(2*backoff, backoffMax)
		}
	}
	return ctx.Err()
}

// awaitNotify waits for a call of Notify, for at most limit, and reports whether
// there was one.
func (f *Follower) awaitNotify(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-f.notify:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// step reads the whole table if last is nil or the store was lost or restored,
// and otherwise its changes after last. It returns the position read.
func (f *Follower) step(ctx context.Context, last *era.Position) (era.Position, error) {
	if last == nil || f.lost || f.restored.Load() {
		return f.readAll(ctx)
	}
	wait := f.wait()
	limited, cancel := progress.WithTimeout(ctx, wait+changesSlack, maxReadTime)
	defer cancel()
	var arriving atomic.Bool
	limited = progress.Observe(limited, func() { arriving.Store(true) })
	notified := f.cancelOnNotify(limited, cancel, &arriving)
	sentAt := f.Clock()
	rows, err := f.Source.Changes(limited, last.Version, wait)
	requested := notified()
	if requested && (err != nil || len(rows.Rows) == 0) {
		return f.readAll(ctx)
	}
	if err != nil {
		return era.Position{}, err
	}
	if rows.Position.Era != last.Era {
		f.restored.Store(true)
		return f.readAll(ctx)
	}
	f.recordConfirmed(sentAt, wait+changesSlack)
	f.update(rows, sentAt)
	// Whoever has requested a read looks at once whether these rows are new enough.
	if len(rows.Rows) > 0 && !requested && f.awaitNotify(ctx, f.batchPause()) {
		return f.readAll(ctx)
	}
	return rows.Position, nil
}

// wait returns the wait of one call of Changes.
func (f *Follower) wait() time.Duration {
	if f.Wait == nil {
		return changesWait
	}
	return min(f.Wait(), changesWait)
}

// batchPause returns the pause after a change.
func (f *Follower) batchPause() time.Duration {
	if isTrue(f.IsOwner) {
		return ownerBatchInterval
	}
	return batchInterval
}

// cancelOnNotify calls cancel when a read of the whole table is requested, unless an answer is arriving
// already. The returned function stops that and reports whether it was requested.
func (f *Follower) cancelOnNotify(ctx context.Context, cancel context.CancelFunc, arriving *atomic.Bool) func() bool {
	done := make(chan bool, 1)
	go func() {
		select {
		case <-f.notify:
			if !arriving.Load() {
				cancel()
			}
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
