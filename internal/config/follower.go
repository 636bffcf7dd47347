package config

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/events"
)

var (
	headReads     = metrics.NewCounter("chestnut_config_head_reads_total")
	staleReads    = metrics.NewCounter("chestnut_config_old_reads_total")
	snapshotLoads = metrics.NewCounter("chestnut_config_snapshot_loads_total")
	peerChanges   = metrics.NewCounter("chestnut_config_peer_changes_total")
)

// Peers fetches changes from other processes of the data centre.
type Peers interface {
	// Fetch returns the newest configuration that peers have after a version:
	// changes without gaps, or a complete snapshot. Both are nil if no peer has
	// a newer version.
	Fetch(ctx context.Context, version int64) ([]*pb.DeploymentChange, *Snapshot, error)
}

// Follower follows the configuration in the table and at peers. The version of
// its current configuration never decreases.
type Follower struct {
	store  *Store
	events *events.Recorder
	log    *slog.Logger

	mu    sync.Mutex
	peers Peers
	// readsTable reports whether this process reads the table for its data
	// centre.
	readsTable func() bool
	current    *Snapshot
	recent     window
	changed    chan struct{}
	// confirmed is the last time at which the table is known to have contained
	// no version newer than current.
	confirmed time.Time
	// failure is the error of the latest poll, nil if it succeeded.
	failure error
}

// NewFollower returns a follower with an empty configuration. It reads the table
// itself until peers are set.
func NewFollower(store *Store, recorder *events.Recorder, log *slog.Logger) *Follower {
	return &Follower{
		store:      store,
		events:     recorder,
		log:        log,
		readsTable: func() bool { return true },
		current:    Empty(),
		changed:    make(chan struct{}),
	}
}

// UsePeers makes the follower fetch changes from peers and postpone polls of the
// table while peers confirm its version. readsTable reports whether this process
// is one of those that read the table for the data centre.
func (f *Follower) UsePeers(peers Peers, readsTable func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
	f.readsTable = readsTable
}

// Current returns the active configuration.
func (f *Follower) Current() *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Await waits until the active configuration has at least the given version. It
// returns the error of ctx if that ends first.
func (f *Follower) Await(ctx context.Context, version int64) error {
	for {
		f.mu.Lock()
		current, changed := f.current.Version, f.changed
		f.mu.Unlock()
		if current >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Apply applies the changes that follow the current version in sequence. It
// skips all others.
func (f *Follower) Apply(changes []*pb.DeploymentChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.current.Version
	for _, change := range changes {
		if change.GetVersion() != f.current.Version+1 {
			continue
		}
		f.current = f.current.Apply(change)
		f.recent.add(change)
	}
	if f.current.Version != before {
		f.notifyChanged()
	}
}

// Replace activates a complete configuration if it is newer than the current
// one.
func (f *Follower) Replace(next *Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Version > f.current.Version {
		f.replace(next)
	}
}

func (f *Follower) replace(next *Snapshot) {
	f.current = next
	f.recent.clear()
	f.notifyChanged()
}

// notifyChanged wakes the goroutines that wait for a change and records an
// event.
func (f *Follower) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
	f.events.Record(events.Event{Kind: events.ConfigApplied, ConfigVersion: f.current.Version})
}

// After returns the changes after a version. ok is false if they are no longer
// cached.
func (f *Follower) After(version int64) (changes []*pb.DeploymentChange, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version >= f.current.Version {
		return nil, true
	}
	return f.recent.after(version)
}

// Confirm records that version was the newest in the table at a time. It has no
// effect if the follower has not reached that version.
func (f *Follower) Confirm(version int64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.current.Version && at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Confirmed returns the last time at which the table is known to have contained
// no version newer than the current one, or the zero time if there is none.
func (f *Follower) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Ready reports whether a configuration is active. If not, it also returns the
// reason.
func (f *Follower) Ready() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.current.Version > 0:
		return true, ""
	case !f.confirmed.IsZero():
		return false, "no configuration: no deployment has been created"
	case f.failure != nil:
		return false, "no configuration: no peer has one and the table can't be read: " + f.failure.Error()
	}
	return false, "no configuration yet"
}

// Run follows the table and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for {
		if err := f.poll(ctx); err != nil {
			f.log.Debug("configuration poll failed", "error", err)
			failures++
		} else {
			failures = 0
		}
		if !f.sleepUntilDue(ctx, time.Now(), failures, rand.Float64()) {
			return ctx.Err()
		}
	}
}

// sleepUntilDue waits until the next poll is due. Confirmations by peers
// postpone it. It returns false if ctx ends first.
func (f *Follower) sleepUntilDue(ctx context.Context, last time.Time, failures int, jitter float64) bool {
	for {
		f.mu.Lock()
		schedule := pollSchedule{last: last, confirmed: f.confirmed, readsTable: f.readsTable(), failures: failures, jitter: jitter}
		f.mu.Unlock()
		wait := time.Until(schedule.due())
		if wait <= 0 {
			return true
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
}

// poll reads the head and applies new changes. If the table can't be read, it
// fetches changes from peers.
func (f *Follower) poll(ctx context.Context) error {
	err := f.readTable(ctx)
	if err != nil {
		f.fetch(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failure = err
	return err
}

func (f *Follower) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	at := time.Now()
	headReads.Inc()
	head, err := f.store.ReadHead(ctx)
	if err != nil {
		return err
	}
	if head.Version < f.Current().Version {
		staleReads.Inc()
		return nil
	}
	if err := f.catchUp(ctx, head); err != nil {
		return err
	}
	f.Confirm(head.Version, at)
	return f.verify(ctx, head)
}

// catchUp advances the follower to the version of the head.
func (f *Follower) catchUp(ctx context.Context, head Head) error {
	if head.Version-f.Current().Version > snapshotGap {
		f.fetch(ctx)
	}
	for {
		before := f.Current().Version
		if before >= head.Version {
			return nil
		}
		if head.Version-before > snapshotGap {
			return f.load(ctx)
		}
		changes, err := f.store.ChangesAfter(ctx, before)
		if errors.Is(err, ErrTrimmed) {
			return f.load(ctx)
		}
		if err != nil {
			return err
		}
		f.Apply(changes)
		if f.Current().Version == before {
			return errInconsistent
		}
	}
}

// verify reloads the configuration if the active one has the version of the head
// but a different digest.
func (f *Follower) verify(ctx context.Context, head Head) error {
	current := f.Current()
	if current.Version != head.Version || current.Digest == head.Digest {
		return nil
	}
	f.log.Error("configuration differs from the table", "config_version", head.Version)
	next, err := f.store.Load(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Version >= f.current.Version {
		f.replace(next)
	}
	return nil
}

// load reads the complete configuration from the table.
func (f *Follower) load(ctx context.Context) error {
	snapshotLoads.Inc()
	next, err := f.store.Load(ctx)
	if err != nil {
		return err
	}
	f.Replace(next)
	return nil
}

// fetch applies newer configurations of peers.
func (f *Follower) fetch(ctx context.Context) {
	f.mu.Lock()
	peers, version := f.peers, f.current.Version
	f.mu.Unlock()
	if peers == nil {
		return
	}
	changes, snapshot, err := peers.Fetch(ctx, version)
	if err != nil {
		f.log.Debug("no configuration from peers", "error", err)
		return
	}
	f.Merge(changes, snapshot)
}

// Merge applies changes or a complete snapshot received from a peer.
func (f *Follower) Merge(changes []*pb.DeploymentChange, snapshot *Snapshot) {
	before := f.Current().Version
	f.Apply(changes)
	if snapshot != nil {
		f.Replace(snapshot)
	}
	if f.Current().Version > before {
		peerChanges.Inc()
	}
}
