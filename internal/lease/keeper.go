package lease

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/pause"
)

// Errors returned by a Store.
var (
	// ErrConflict means that the row has another version.
	ErrConflict = errors.New("lease: row changed")
)

// Row is the lease's row in the store.
type Row struct {
	Value   []byte
	Version int64
	Found   bool
	// NowMS is the store's clock.
	NowMS int64
	// Era is the era of the store's answer. It increases by one each time that
	// the store is restored from a copy that lacks its last writes; a store that
	// states no era is in era 0.
	Era int64
}

// Store stores the lease's row.
type Store interface {
	Read(ctx context.Context) (Row, error)
	// Write replaces the row if its version equals the given one, and returns the
	// new row. It returns ErrConflict if the version differs, or another error if
	// the outcome is unknown.
	Write(ctx context.Context, version int64, value []byte) (Row, error)
}

// Keeper acquires and renews the lease for one process.
type Keeper struct {
	// Self is the address of this machine, Peer the address of this process for
	// other nodes.
	Self     string
	Peer     string
	Settings Settings
	Store    Store
	Log      *slog.Logger
	// AcquireDelay is the delay before the process acquires a free lease. A
	// machine with more capacity has a shorter delay and thus gets the lease.
	AcquireDelay time.Duration
	// Now is a monotonic clock that continues during suspend; nil means
	// monotime.SinceBoot. If it returns an error, the process neither acquires
	// the lease nor acts on it.
	Now func() (time.Duration, error)
	// Alive reports whether the holder at a peer address responds. While it does,
	// the lease is not polled. Alive may be nil.
	Alive func(peer string) bool
	// Nodes returns the addresses of the processes that this one knows, which its records
	// name while it holds the lease. It may be nil.
	Nodes func() []string

	mu sync.Mutex
	// clock and position are those of the store's last answer. positionSeenAt is
	// when the position was first seen.
	clock          Clock
	position       position
	positionKnown  bool
	positionSeenAt time.Duration
	// record is the last record that was read or written, if found is set.
	record Record
	found  bool
	// holding, fence and validUntil describe this process's own grant.
	holding bool
	// first means that no process held the lease before this one.
	first      bool
	fence      int64
	validUntil time.Duration
	// everRead means that the row was read, neverHeld that the first read found none.
	everRead, neverHeld bool
	// renewals counts the renewals that were sent.
	renewals int64
	// retired prevents the process from acquiring the lease; released ends its
	// right to act.
	retired  bool
	released bool
	// aside makes the process only follow who holds the lease.
	aside bool
	// freeAt is when the lease at position freePosition of its row is free, if
	// freeKnown is set.
	freeKnown    bool
	freePosition position
	freeAt       time.Duration
	// loggedUnknown is the last position for which logUnknownHolder was called.
	loggedUnknown position
	// loggedNoClock reports that logNoClock was called.
	loggedNoClock bool
}

// Grant is the right of the lease's holder to act.
type Grant struct {
	// Fence is the fencing token.
	Fence int64
	// Left is the time until the grant expires.
	Left time.Duration
	// First means that no process held the lease before.
	First bool
}

// Grant returns the current grant, or false if this process must not act.
func (k *Keeper) Grant() (Grant, bool) {
	now, err := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil || !k.holding || k.released || now >= k.validUntil {
		return Grant{}, false
	}
	return Grant{Fence: k.fence, Left: k.validUntil - now, First: k.first}, true
}

// NeverHeld reports whether no process had held the lease when this one first read its row. known is
// false before.
func (k *Keeper) NeverHeld() (never, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.neverHeld, k.everRead
}

// Holder returns the peer address of the holder's process, or "" if it is not
// known.
func (k *Keeper) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.found && !k.record.Released {
		return k.record.Peer
	}
	return ""
}

func (k *Keeper) now() (time.Duration, error) {
	if k.Now != nil {
		return k.Now()
	}
	return monotime.SinceBoot()
}

// Intervals and timeouts of the control loop.
const (
	callTimeout   = 700 * time.Millisecond
	retryInterval = 150 * time.Millisecond
	pollInterval  = 500 * time.Millisecond
	pollJitter    = 200 * time.Millisecond
	startJitter   = 80 * time.Millisecond
	// unknownPollInterval is the longest time between two reads while the last
	// holder is unknown.
	unknownPollInterval = time.Second
	// tokenRangeInterval is the time between two reads while no fencing token can
	// be composed.
	tokenRangeInterval = 10 * time.Second
)

// Run acquires and renews the lease until ctx is done and returns its error. It
// starts after a random delay, so that processes that start together don't read
// the lease in the same instant.
func (k *Keeper) Run(ctx context.Context) error {
	pause.For(ctx, jitter(startJitter))
	for ctx.Err() == nil {
		pause.For(ctx, k.step(ctx))
	}
	return ctx.Err()
}

// step polls or renews the lease once and returns the time until the next step.
func (k *Keeper) step(ctx context.Context) time.Duration {
	k.mu.Lock()
	holding, retired, released := k.holding, k.retired, k.released
	peer := k.record.Peer
	known := k.found && !k.record.Released
	k.mu.Unlock()
	switch {
	case released:
		return pollInterval
	case holding:
		return k.renew(ctx)
	case retired:
		return pollInterval
	case known && peer != k.Peer && k.Alive != nil && k.Alive(peer):
		return pollInterval
	}
	return k.poll(ctx)
}

// poll reads the lease and acquires it if the rules allow that. It returns the
// time until the next step.
func (k *Keeper) poll(ctx context.Context) time.Duration {
	r, err := k.read(ctx)
	if err != nil {
		k.Log.Info("lease not read", "error", err)
		return pollInterval
	}
	k.recordFirstRead(r)
	k.recordHolder(r)
	if k.isAside() {
		return pollInterval
	}
	if r.clockErr != nil {
		k.logNoClock(r.clockErr)
		return pollInterval
	}
	delay := r.takeoverDelay(k.Self, k.seenFor(r.sentAt), k.Settings)
	freeFor := k.recordFree(r.position(), r.sentAt+delay, r.sentAt)
	ownLease := r.holderKnown() && r.record.Holder == k.Self
	switch {
	case delay > 0 && !r.holderKnown():
		k.logUnknownHolder(r, delay)
		return min(delay, unknownPollInterval) + k.AcquireDelay + jitter(pollJitter)
	case delay > 0:
		return delay + k.AcquireDelay + jitter(pollJitter)
	case freeFor < k.AcquireDelay && !ownLease:
		return k.AcquireDelay - freeFor
	}
	return k.acquire(ctx, r)
}

// recordFirstRead records whether the lease was ever held before this process first read it. A store
// that was restored may have lost the row.
func (k *Keeper) recordFirstRead(r reading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.everRead {
		k.everRead, k.neverHeld = true, r.neverHeld()
	}
}

// neverHeld reports whether no process has held the lease.
func (r reading) neverHeld() bool {
	return !r.row.Found && r.row.Era == 0
}

// seenFor returns how long ago the row was first seen as it is.
func (k *Keeper) seenFor(now time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now - k.positionSeenAt
}

// recordFree records when the lease at a position of its row is free to be
// acquired, as first computed, and returns how long it has been free.
func (k *Keeper) recordFree(at position, freeAt, now time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.freeKnown || k.freePosition != at {
		k.freeKnown, k.freePosition, k.freeAt = true, at, freeAt
	}
	return now - k.freeAt
}

// logNoClock logs, once, that the process does not acquire the lease because it
// could not tell when the lease expires.
func (k *Keeper) logNoClock(cause error) {
	k.mu.Lock()
	logged := k.loggedNoClock
	k.loggedNoClock = true
	k.mu.Unlock()
	if !logged {
		k.Log.Error("lease not acquired: no clock to time it", "error", cause)
	}
}

// recordHolder records the holder that a reading names. A record that later
// writes may have replaced names a holder only if none is known.
func (k *Keeper) recordHolder(r reading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !r.holderKnown() && (k.found || r.record.Peer == k.Peer) {
		return
	}
	k.record, k.found = r.record, r.row.Found
}

// acquire writes a record that grants the lease to this process over the row of
// a reading. It returns the time until the next step.
func (k *Keeper) acquire(ctx context.Context, r reading) time.Duration {
	sentAt, err := k.now()
	if err != nil {
		k.logNoClock(err)
		return pollInterval
	}
	if _, err := r.position().token(); err != nil {
		k.Log.Error("lease not acquired", "era", r.row.Era, "version", r.row.Version, "error", err)
		return tokenRangeInterval
	}
	k.mu.Lock()
	latest, _ := k.clock.LatestMS(sentAt)
	k.mu.Unlock()
	record := Record{Holder: k.Self, Peer: k.Peer, GrantID: uuid.NewString(), RenewedMS: latest, Era: r.row.Era}
	k.nameNodes(&record, r.record)
	fence, err := k.writeGrant(ctx, r.row.Version, record)
	if err != nil {
		k.Log.Info("lease not taken", "error", err)
		return jitter(pollJitter)
	}
	k.mu.Lock()
	k.record, k.found = record, true
	k.holding, k.fence = true, fence
	k.first = r.neverHeld()
	k.validUntil = sentAt + k.Settings.Term
	k.mu.Unlock()
	k.Log.Info("lease taken", "fence", fence, "era", record.Era, "before", string(r.row.Value))
	return k.Settings.Renew
}

// jitter returns a random duration below limit.
func jitter(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit)))
}
