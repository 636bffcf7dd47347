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

// history makes n changes and returns them with the snapshot of each version.
func history(t *testing.T, store *Store, n int) ([]*pb.DeploymentChange, []*Snapshot) {
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

// TestNeverReverts gives a follower changes and snapshots in any order, old,
// twice and with gaps. Its version only grows, and its content is always that
// of its version.
func TestNeverReverts(t *testing.T) {
	store := NewStore(standin.NewTable(&standin.Faults{}))
	changes, snapshots := history(t, store, 40)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		follower := newFollower(nil)
		for range 200 {
			before := follower.Current().Version
			from := random.IntN(len(changes))
			to := from + random.IntN(len(changes)-from) + 1
			if random.IntN(4) == 0 {
				follower.Take(nil, snapshots[from])
			} else {
				follower.Take(changes[from:to], nil)
			}
			now := follower.Current()
			require.GreaterOrEqual(t, now.Version, before, "seed %d", seed)
			require.Equal(t, snapshots[now.Version].Digest, now.Digest, "seed %d", seed)
		}
	}
}

// oldTable holds back the answer to one read of the head.
type oldTable struct {
	platform.Table
	held chan struct{}
}

func (o *oldTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := o.Table.Get(ctx, key)
	if key == headKey && o.held != nil {
		held := o.held
		o.held = nil
		<-held
	}
	return row, err
}

// TestReorderedRead lets a read of the head answer only after three changes
// have come from peers, as for a process that was frozen in between.
func TestReorderedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable(&standin.Faults{})
		changes, _ := history(t, NewStore(table), 1)
		held := make(chan struct{})
		follower := newFollower(&oldTable{table, held})
		done := make(chan error)
		go func() { done <- follower.readTable(t.Context()) }()
		synctest.Wait()
		more, snapshots := moreHistory(t, table, changes)
		follower.Apply(more)
		close(held)
		require.NoError(t, <-done)
		require.EqualValues(t, 4, follower.Current().Version)
		require.Equal(t, snapshots.Digest, follower.Current().Digest)
		require.True(t, follower.Confirmed().IsZero(), "an old read confirms nothing")
	})
}

// moreHistory makes three more changes and returns all.
func moreHistory(t *testing.T, table platform.Table, changes []*pb.DeploymentChange) ([]*pb.DeploymentChange, *Snapshot) {
	newest := Empty().Apply(changes[0])
	for i := range 3 {
		change, err := NewStore(table).Change(t.Context(), create(fmt.Sprintf("more-%d", i), fmt.Sprintf("m%d", i)))
		require.NoError(t, err)
		changes = append(changes, change)
		newest = newest.Apply(change)
	}
	return changes, newest
}

// TestPollDue is the table of when the head is read next.
func TestPollDue(t *testing.T) {
	last := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return last.Add(-d) }
	cases := []struct {
		name     string
		plan     pollPlan
		from, to time.Duration
	}{
		{"a source", pollPlan{source: true, confirmed: last}, 250 * time.Millisecond, 750 * time.Millisecond},
		{"a source, table away", pollPlan{source: true, failures: 9}, 500 * time.Millisecond, 1500 * time.Millisecond},
		{"confirmed just now", pollPlan{confirmed: last}, 1125 * time.Millisecond, 1875 * time.Millisecond},
		{"confirmed long ago", pollPlan{confirmed: ago(time.Minute)}, 250 * time.Millisecond, 750 * time.Millisecond},
		{"never confirmed", pollPlan{}, 250 * time.Millisecond, 750 * time.Millisecond},
		{"table away", pollPlan{failures: 9}, 2 * time.Second, 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for jitter, want := range map[float64]time.Duration{0: c.from, 1: c.to} {
				c.plan.last, c.plan.jitter = last, jitter
				require.Equal(t, want, c.plan.due().Sub(last))
			}
		})
	}
}

// TestReady says why a process without a configuration is not ready.
func TestReady(t *testing.T) {
	cases := []struct {
		name  string
		setUp func(t *testing.T, faults *standin.Faults, store *Store)
		ready bool
		want  string
	}{
		{"nothing created", func(*testing.T, *standin.Faults, *Store) {}, false, "no deployment has been created"},
		{"created", func(t *testing.T, _ *standin.Faults, store *Store) { history(t, store, 1) }, true, ""},
		{"table away, no peers", func(_ *testing.T, faults *standin.Faults, _ *Store) {
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
