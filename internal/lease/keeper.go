package lease

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sys/unix"

	"chestnutgauge/internal/pause"
)

// Errors of a Store.
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
}

// Store keeps the lease's row.
type Store interface {
	Read(ctx context.Context) (Row, error)
	// Write writes the row if it has a version. It returns ErrConflict, or
	// another error if the outcome is not known.
	Write(ctx context.Context, version int64, value []byte) (Row, error)
}

// BootTime returns a clock that also counts the time for which the machine was
// suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// Keeper takes and renews the lease for one process.
type Keeper struct {
	Self     string
	Peer     string
	Settings Settings
	Store    Store
	Log      *slog.Logger
	// Handicap is how much later than others the process takes a lease that
	// may be taken, so that a strong machine gets it.
	Handicap time.Duration
	// Now is a clock that never stands still; nil means BootTime.
	Now func() time.Duration
	// Alive reports whether the holder at a peer address answers. While it
	// does, the lease is not read.
	Alive func(peer string) bool

	mu      sync.Mutex
	clock   Clock
	record  Record
	version int64
	found   bool
	// Of the own tenure.
	holding    bool
	fence      int64
	validUntil time.Duration
	// retired processes take no lease, released ones no longer act.
	retired  bool
	released bool
	// looked tells that no lease was found before.
	looked bool
}

// Tenure is the right to act.
type Tenure struct {
	Fence int64
	// Left is the time until the right ends.
	Left time.Duration
}

// Tenure returns the right to act now. ok is false without it.
func (k *Keeper) Tenure() (Tenure, bool) {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.holding || k.released || now >= k.validUntil {
		return Tenure{}, false
	}
	return Tenure{Fence: k.fence, Left: k.validUntil - now}, true
}

// Holder returns where the holder's process is reached, as far as known.
func (k *Keeper) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.found && !k.record.Released {
		return k.record.Peer
	}
	return ""
}

func (k *Keeper) now() time.Duration {
	if k.Now != nil {
		return k.Now()
	}
	return BootTime()
}

// Times of the loop.
const (
	callTimeout = 700 * time.Millisecond
	retryPause  = 150 * time.Millisecond
	lookPause   = 500 * time.Millisecond
	lookJitter  = 200 * time.Millisecond
)

// Run keeps the lease until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, k.step(ctx))
	}
	return ctx.Err()
}

func (k *Keeper) step(ctx context.Context) time.Duration {
	k.mu.Lock()
	holding, retired, released := k.holding, k.retired, k.released
	peer := k.record.Peer
	known := k.found && !k.record.Released
	k.mu.Unlock()
	switch {
	case released:
		return lookPause
	case holding:
		return k.renew(ctx)
	case retired:
		return lookPause
	case known && peer != k.Peer && k.Alive != nil && k.Alive(peer):
		return lookPause
	}
	return k.look(ctx)
}

// look reads the lease and takes it if it may be taken.
func (k *Keeper) look(ctx context.Context) time.Duration {
	asked := k.now()
	row, err := k.read(ctx)
	if err != nil {
		k.Log.Info("lease not read", "error", err)
		return lookPause
	}
	record := k.took(row, asked)
	if in := TakeIn(record, row.Found, k.Self, row.NowMS, k.Settings); in > 0 {
		return in + k.Handicap + jitter(lookJitter)
	}
	if !row.Found && k.Handicap > 0 && k.first() {
		return k.Handicap
	}
	return k.take(ctx, row)
}

// first reports whether this is the first time that no lease was found.
func (k *Keeper) first() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := !k.looked
	k.looked = true
	return first
}

// took keeps what a read showed.
func (k *Keeper) took(row Row, asked time.Duration) Record {
	var record Record
	if row.Found {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			k.Log.Warn("lease can't be read, taken as lapsed", "error", err)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clock.Answered(row.NowMS, asked)
	k.record, k.found, k.version = record, row.Found, row.Version
	return record
}

// take writes a new tenure.
func (k *Keeper) take(ctx context.Context, row Row) time.Duration {
	asked := k.now()
	k.mu.Lock()
	latest, _ := k.clock.LatestMS(asked)
	k.mu.Unlock()
	record := Record{Holder: k.Self, Peer: k.Peer, Tenure: uuid.NewString(), RenewedMS: latest}
	written, err := k.write(ctx, row.Version, record)
	if err != nil && !errors.Is(err, ErrConflict) {
		written, err = k.recall(ctx, record)
	}
	if err != nil {
		k.Log.Info("lease not taken", "error", err)
		return jitter(lookJitter)
	}
	k.mu.Lock()
	k.record, k.found, k.version = record, true, written.Version
	k.holding, k.fence = true, written.Version
	k.validUntil = asked + k.Settings.Term
	k.mu.Unlock()
	k.Log.Info("lease taken", "fence", written.Version, "before", string(row.Value))
	return k.Settings.Renew
}

// recall reads back whether a write whose outcome is not known took effect.
func (k *Keeper) recall(ctx context.Context, record Record) (Row, error) {
	row, err := k.read(ctx)
	if err != nil {
		return Row{}, err
	}
	var found Record
	if row.Found && json.Unmarshal(row.Value, &found) == nil && found == record {
		return row, nil
	}
	return Row{}, ErrConflict
}

// renew extends the tenure. One whose term has ended goes on if no other node
// has taken the lease.
func (k *Keeper) renew(ctx context.Context) time.Duration {
	asked := k.now()
	k.mu.Lock()
	record, version := k.record, k.version
	latest, _ := k.clock.LatestMS(asked)
	k.mu.Unlock()
	record.RenewedMS = latest
	written, err := k.write(ctx, version, record)
	if err != nil {
		return k.renewFailed(ctx, err, record, asked)
	}
	k.renewed(record, written, asked)
	return k.Settings.Renew
}

// renewed keeps a renewal that was sent at a time.
func (k *Keeper) renewed(record Record, written Row, asked time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.record, k.version = record, written.Version
	k.clock.Answered(written.NowMS, asked)
	k.validUntil = asked + k.Settings.Term
}

// renewFailed reads the lease after a renewal that was sent at a time and got
// no answer, or a conflict. It may have taken effect; an earlier one may have
// taken effect late, which shows as the own tenure at another version.
func (k *Keeper) renewFailed(ctx context.Context, cause error, sent Record, asked time.Duration) time.Duration {
	k.Log.Info("lease not renewed", "error", cause)
	row, err := k.read(ctx)
	if err != nil {
		return retryPause
	}
	var found Record
	if !row.Found || json.Unmarshal(row.Value, &found) != nil || found.Tenure != sent.Tenure {
		k.lose("another node holds it")
		k.took(row, asked)
		return 0
	}
	if found == sent {
		k.renewed(sent, row, asked)
		return k.Settings.Renew
	}
	k.mu.Lock()
	k.version = row.Version
	k.mu.Unlock()
	return 0
}

func (k *Keeper) lose(reason string) {
	k.mu.Lock()
	k.holding = false
	fence := k.fence
	k.mu.Unlock()
	k.Log.Warn("lease lost", "fence", fence, "reason", reason)
}

// Retire has the process take no lease any more. One that it holds goes on.
func (k *Keeper) Retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
}

// Release stops acting at once and tells the store so.
func (k *Keeper) Release(ctx context.Context) {
	now := k.now()
	k.mu.Lock()
	holding := k.holding
	k.retired, k.released = true, true
	record, version := k.record, k.version
	latest, _ := k.clock.LatestMS(now)
	k.mu.Unlock()
	if !holding {
		return
	}
	record.Released, record.RenewedMS = true, latest
	_, err := k.write(ctx, version, record)
	k.Log.Info("lease released", "error", err)
}

func (k *Keeper) read(ctx context.Context) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Store.Read(ctx)
}

func (k *Keeper) write(ctx context.Context, version int64, record Record) (Row, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return Row{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Store.Write(ctx, version, value)
}

func jitter(most time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(most)))
}
