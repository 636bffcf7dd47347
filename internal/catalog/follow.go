package catalog

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/monotime"
)

// notifyInterval is the shortest time between two reads of the store for the same
// announced version.
const notifyInterval = 250 * time.Millisecond

// Decode decodes a configuration from a row. It returns nil for a row that is
// not a configuration.
type Decode func(row feed.Row) (*Catalog, error)

// Follower follows an external store and keeps its latest configuration active.
type Follower struct {
	Current
	feed   *feed.Follower
	decode Decode
	log    *slog.Logger
	clock  monotime.Clock
	// MaxAge returns the age of its last confirmation up to which the configuration is recent.
	MaxAge func() time.Duration
	// MaxKeyAge returns the age up to which keys are accepted by it, or false if there is no limit. It
	// may be nil.
	MaxKeyAge func() (time.Duration, bool)
	// AskOthers asks some other nodes for the configuration that they have in force, if it is newer
	// than a version, and calls a function with each answer. It may be nil.
	AskOthers func(ctx context.Context, newerThan int64, answer func(Copy))
	// Nodes are the other nodes. It may be nil.
	Nodes Nodes
	// OwnerNode returns the address of another node that owns the engines, which announces versions, or "".
	// It may be nil.
	OwnerNode func() string

	asking    asking
	transfers transfers
	// urgent has the process ask at once.
	urgent chan struct{}
	// byOwner and byNode are the latest times as of which the owner and another node have confirmed
	// the configuration in force.
	byOwner, byNode monotime.Mark

	mu     sync.Mutex
	dating dating
	// held is the latest configuration that was read and may not be used yet. It
	// is nil once one is in force.
	held    *Catalog
	heldRow feed.Row
	// rows are those of the configuration in force and some before.
	rows rows
	// told is the latest confirmation of a version that is not in force.
	told told

	// notifiedAt is when a version was last announced that led to a read,
	// notifiedVersion that version.
	notifiedAt      monotime.Mark
	notifiedVersion int64
}

// NewFollower returns a follower of the configuration in source. notified
// reports whether new versions are currently announced through NotifyVersion.
// While they are, the source is read only after an announcement. datingPeriod is how
// long a process without a configuration waits, after its first read of a store that
// was restored, for a sign of how old the stored one is: within it operators write
// theirs again, and other nodes announce what they have in force.
func NewFollower(source feed.Source, decode Decode, notified func() bool, datingPeriod time.Duration, log *slog.Logger) *Follower {
	f := &Follower{decode: decode, log: log, clock: monotime.Now, urgent: make(chan struct{}, 1), dating: dating{period: datingPeriod}}
	f.transfers.added = make(chan struct{}, 1)
	f.MaxAge = func() time.Duration { return DefaultMaxAge }
	f.feed = feed.New(source, "configuration", f.replace, f.apply, log)
	f.feed.Idle = func() bool {
		return f.Get() != nil && !f.confirmationDue() && (notified() || f.othersConfirm())
	}
	f.feed.Wait = f.changesWait
	f.feed.ReadTimeout = readTimeout
	return f
}

// othersConfirm reports whether the store does not answer, and the configuration is confirmed by other
// nodes. The store is then called now and then, but by the owner, which others rely on, at once.
func (f *Follower) othersConfirm() bool {
	owns := f.feed.IsOwner != nil && f.feed.IsOwner()
	return !owns && f.feed.Unavailable()
}

// SetClock has times measured by a clock. It must be called before Run.
func (f *Follower) SetClock(clock monotime.Clock) {
	f.clock = clock
	f.feed.Clock = clock
}

// Feed returns the follower of the table.
func (f *Follower) Feed() *feed.Follower {
	return f.feed
}

// NotifyVersion announces a version that is in force at another node, 0 if it has
// none. If it is newer than the active one, it is fetched from the owner, or the store is read at once.
func (f *Follower) NotifyVersion(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dating.recordAnnounced(version)
	f.useHeld()
	if f.Version() >= version {
		return
	}
	now := f.clock()
	age, notified := f.notifiedAt.Age(now)
	if notified && f.notifiedVersion == version && age < notifyInterval {
		return
	}
	f.notifiedVersion = version
	f.notifiedAt.Set(now)
	if f.OwnerNode == nil || !f.addSource(f.OwnerNode(), Copy{Version: version}) {
		f.feed.Notify()
	}
}

// StoreAge returns the time since the store last confirmed the configuration, or
// false if it never did.
func (f *Follower) StoreAge() (time.Duration, bool) {
	return f.feed.Age()
}

// Run follows the configuration until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	workers, ctx := errgroup.WithContext(ctx)
	workers.Go(func() error { return f.feed.Run(ctx) })
	workers.Go(func() error { return f.ask(ctx) })
	workers.Go(func() error { return f.fetch(ctx) })
	return workers.Wait()
}

// replace handles a read of the whole table.
func (f *Follower) replace(rows feed.Rows) {
	f.mu.Lock()
	f.dating.recordRead(rows.Position, f.clock())
	f.mu.Unlock()
	f.apply(rows.Rows)
}

// apply activates the latest configuration among the rows, if it is newer than
// the active one.
func (f *Follower) apply(rows []feed.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range rows {
		if row.Removed {
			continue
		}
		c, err := f.decode(row)
		if err != nil {
			f.log.Error("configuration cannot be decoded; keeping the previous one", "store_position", row.Position, "error", err)
			continue
		}
		if c != nil {
			f.offer(c, row)
		}
	}
}

// offer activates a configuration, or holds it if none is active and this one may
// be older than one that was acknowledged. The caller holds mu.
func (f *Follower) offer(c *Catalog, row feed.Row) {
	if f.Get() == nil && !f.dating.usable(c.Version, row.Position, f.clock()) {
		f.hold(c, row)
		return
	}
	f.held = nil
	if c.Version <= f.Version() {
		return
	}
	f.recordDelay()
	// Those that are told of the change ask for the row at once.
	f.rows.add(c.Version, row)
	f.Update(c)
	f.log.Info("configuration in force", "config_version", c.Version, "store_position", row.Position, "bytes", len(row.Value))
	f.logCaughtUp(c.Version)
}

// inForceSeconds is an upper bound of the time from the acknowledgement of a version until it is in
// force: the time since the one before was confirmed to be the one in the store.
var inForceSeconds = metrics.NewHistogram(`chestnut_config_in_force_seconds`)

// recordDelay records how long a version that comes into force may have been in the store.
func (f *Follower) recordDelay() {
	if age, known := f.ConfirmedAge(); known && f.Version() > 0 {
		inForceSeconds.Update(age.Seconds())
	}
}

// hold keeps a configuration until it may be used, and requests a read at the end
// of the dating period. The caller holds mu.
func (f *Follower) hold(c *Catalog, row feed.Row) {
	if f.held == nil || row.Position.Era != f.heldRow.Position.Era {
		f.log.Warn("configuration held: the store was restored, and nothing shows how old it is",
			"config_version", c.Version, "store_position", row.Position, "announced", f.dating.announced)
		time.AfterFunc(f.dating.period, f.feed.Notify)
	}
	f.held, f.heldRow = c, row
}

// useHeld activates the held configuration if it may be used now. The caller
// holds mu.
func (f *Follower) useHeld() {
	if f.held != nil {
		f.offer(f.held, f.heldRow)
	}
}
