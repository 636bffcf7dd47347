package config

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/standin"
)

func newFollower(table platform.Table) *Follower {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return NewFollower(NewStore(table), events.NewRecorder("test", 16, log), log)
}

// makeChanges makes n changes and returns them with the snapshot of each
// version.
func makeChanges(t *testing.T, store *Store, n int) ([]*pb.DeploymentChange, []*Snapshot) {
	changes := []*pb.DeploymentChange{}
	snapshots := []*Snapshot{Empty()}
	bases := map[string]int64{}
	for i := range n {
		name := fmt.Sprintf("d%d", i%5)
		edit := update(fmt.Sprintf("op-%d", i), name, int32(i), bases[name])
		if i%7 == 6 && bases[name] > 0 {
			edit.Deployment = nil
		}
		change, err := store.Change(t.Context(), edit)
		require.NoError(t, err)
		bases[name] = change.GetDeployment().GetVersion()
		changes = append(changes, change)
		snapshots = append(snapshots, snapshots[i].Apply(change))
	}
	return changes, snapshots
}

// TestVersionNeverDecreases applies changes and snapshots to a follower in
// random order, with duplicates, gaps and outdated ones. The follower's version
// must never decrease and its digest must match its version.
func TestVersionNeverDecreases(t *testing.T) {
	store := NewStore(standin.NewTable(&standin.Faults{}))
	changes, snapshots := makeChanges(t, store, 40)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		follower := newFollower(nil)
		for range 200 {
			before := follower.Current().Version
			from := random.IntN(len(changes))
			to := from + random.IntN(len(changes)-from) + 1
			if random.IntN(4) == 0 {
				follower.Merge(nil, snapshots[from])
			} else {
				follower.Merge(changes[from:to], nil)
			}
			now := follower.Current()
			require.GreaterOrEqual(t, now.Version, before, "seed %d", seed)
			require.Equal(t, snapshots[now.Version].Digest, now.Digest, "seed %d", seed)
		}
	}
}

// delayedReadTable delays the result of one read of the head until release is
// closed.
type delayedReadTable struct {
	platform.Table
	release chan struct{}
}

func (d *delayedReadTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := d.Table.Get(ctx, key)
	if key == headKey && d.release != nil {
		release := d.release
		d.release = nil
		<-release
	}
	return row, err
}

// TestReorderedRead delays a read of the head until three changes have arrived
// from peers, as happens in a process that is suspended in between. The outdated
// result must neither revert nor confirm the configuration.
func TestReorderedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable(&standin.Faults{})
		changes, _ := makeChanges(t, NewStore(table), 1)
		release := make(chan struct{})
		follower := newFollower(&delayedReadTable{table, release})
		done := make(chan error)
		go func() { done <- follower.readTable(t.Context()) }()
		synctest.Wait()
		all, newest := makeMoreChanges(t, table, changes)
		follower.Apply(all)
		close(release)
		require.NoError(t, <-done)
		require.EqualValues(t, 4, follower.Current().Version)
		require.Equal(t, newest.Digest, follower.Current().Digest)
		require.True(t, follower.Confirmed().IsZero(), "a stale read confirms nothing")
	})
}

// makeMoreChanges makes three more changes and returns all changes with the
// newest snapshot.
func makeMoreChanges(t *testing.T, table platform.Table, changes []*pb.DeploymentChange) ([]*pb.DeploymentChange, *Snapshot) {
	newest := Empty().Apply(changes[0])
	for i := range 3 {
		change, err := NewStore(table).Change(t.Context(), create(fmt.Sprintf("more-%d", i), fmt.Sprintf("m%d", i)))
		require.NoError(t, err)
		changes = append(changes, change)
		newest = newest.Apply(change)
	}
	return changes, newest
}

// TestPollDue checks the bounds of the time of the next poll for jitter 0 and 1.
func TestPollDue(t *testing.T) {
	last := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return last.Add(-d) }
	cases := []struct {
		name     string
		schedule pollSchedule
		from, to time.Duration
	}{
		{"table reader", pollSchedule{readsTable: true, confirmed: last}, 250 * time.Millisecond, 750 * time.Millisecond},
		{"table reader, table unavailable", pollSchedule{readsTable: true, failures: 9}, 500 * time.Millisecond, 1500 * time.Millisecond},
		{"confirmed just now", pollSchedule{confirmed: last}, 1125 * time.Millisecond, 1875 * time.Millisecond},
		{"confirmed long ago", pollSchedule{confirmed: ago(time.Minute)}, 250 * time.Millisecond, 750 * time.Millisecond},
		{"never confirmed", pollSchedule{}, 250 * time.Millisecond, 750 * time.Millisecond},
		{"table unavailable", pollSchedule{failures: 9}, 2 * time.Second, 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for jitter, want := range map[float64]time.Duration{0: c.from, 1: c.to} {
				c.schedule.last, c.schedule.jitter = last, jitter
				require.Equal(t, want, c.schedule.due().Sub(last))
			}
		})
	}
}

// TestReady checks the reason for which a process without a configuration is not
// ready.
func TestReady(t *testing.T) {
	cases := []struct {
		name  string
		setUp func(t *testing.T, faults *standin.Faults, store *Store)
		ready bool
		want  string
	}{
		{"nothing created", func(*testing.T, *standin.Faults, *Store) {}, false, "no deployment has been created"},
		{"created", func(t *testing.T, _ *standin.Faults, store *Store) { makeChanges(t, store, 1) }, true, ""},
		{"table unavailable, no peers", func(_ *testing.T, faults *standin.Faults, _ *Store) {
			faults.Set(standin.Fault{Kind: standin.FaultTableDown})
		}, false, "no peer has one and the table can't be read"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults := &standin.Faults{}
			table := standin.NewTable(faults)
			c.setUp(t, faults, NewStore(table))
			follower := newFollower(table)
			_ = follower.poll(t.Context())
			ok, reason := follower.Ready()
			require.Equal(t, c.ready, ok)
			require.Contains(t, reason, c.want)
		})
	}
}
