package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/events"
)

// pollInterval is the mean time between two reads of the head row.
const pollInterval = 500 * time.Millisecond

// keptChanges bounds the changes that a follower can pass on to peers.
const keptChanges = 1024

// Follower keeps the newest configuration that the process has seen. Its
// version never goes back.
type Follower struct {
	store  *Store
	events *events.Recorder
	log    *slog.Logger

	mu      sync.Mutex
	current *Snapshot
	recent  []*pb.DeploymentChange
	changed chan struct{}
}

// NewFollower returns a follower with an empty configuration.
func NewFollower(store *Store, recorder *events.Recorder, log *slog.Logger) *Follower {
	return &Follower{
		store:   store,
		events:  recorder,
		log:     log,
		current: Empty(),
		changed: make(chan struct{}),
	}
}

// Current returns the configuration in force.
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

// Await waits until a version, or a newer one, is in force.
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

// Apply puts changes in force that follow the current version. Others are
// left out.
func (f *Follower) Apply(changes []*pb.DeploymentChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.current.Version
	for _, change := range changes {
		if change.GetVersion() != f.current.Version+1 {
			continue
		}
		f.current = f.current.Apply(change)
		f.recent = append(f.recent, change)
	}
	if extra := len(f.recent) - keptChanges; extra > 0 {
		f.recent = append([]*pb.DeploymentChange(nil), f.recent[extra:]...)
	}
	if f.current.Version == before {
		return
	}
	close(f.changed)
	f.changed = make(chan struct{})
	f.events.Record(events.Event{Kind: events.ConfigApplied, ConfigVersion: f.current.Version})
}

// After returns the changes after a version. ok is false if they are no
// longer kept.
func (f *Follower) After(version int64) (changes []*pb.DeploymentChange, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version >= f.current.Version {
		return nil, true
	}
	for i, change := range f.recent {
		if change.GetVersion() == version+1 {
			return append(changes, f.recent[i:]...), true
		}
	}
	return nil, false
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		if err := f.poll(ctx); err != nil {
			f.log.Debug("configuration poll failed", "error", err)
		}
		wait := pollInterval/2 + rand.N(pollInterval)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// poll reads the head and applies what is new.
func (f *Follower) poll(ctx context.Context) error {
	version, err := f.store.Head(ctx)
	if err != nil {
		return err
	}
	for f.Current().Version < version {
		before := f.Current().Version
		changes, err := f.store.ChangesAfter(ctx, before)
		if err != nil {
			return err
		}
		f.Apply(changes)
		if f.Current().Version == before {
			return nil
		}
	}
	return nil
}
