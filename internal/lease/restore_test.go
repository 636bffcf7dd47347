package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// wait is how long a node that cannot know the last holder waits.
var wait = settings.Term + settings.Gap

// TestRestore restores the store from a copy in each state of the lease. The
// world checks after each event that no two grants are valid, that tokens don't
// go back, and that holders are the gap apart.
func TestRestore(t *testing.T) {
	cases := []struct {
		name string
		// before brings about the state of the lease; a holds it and b doesn't.
		// It returns the copy from which the store is restored.
		before func(w *world, a, b *machine) state
		// after runs from the restore on.
		after func(w *world, a, b *machine)
	}{
		{"the holder continues", func(w *world, a, b *machine) state {
			copied := w.copied()
			w.run(3 * time.Second)
			return copied
		}, func(w *world, a, b *machine) {
			token := a.keeper.fence
			requireHoldsFor(w, a, 10*time.Second)
			require.Equal(w.t, token, a.keeper.fence)
			require.Equal(w.t, w.era, w.stored().Era)
		}},
		{"the holder continues where the row is missing", func(w *world, a, b *machine) state {
			return state{}
		}, func(w *world, a, b *machine) {
			requireHoldsFor(w, a, 10*time.Second)
		}},
		{"a holder whose grant has just expired continues", func(w *world, a, b *machine) state {
			copied := w.copied()
			a.cut, b.cut = true, true
			w.run(settings.Term + settings.Gap - 1200*time.Millisecond)
			require.False(w.t, a.holds())
			return copied
		}, func(w *world, a, b *machine) {
			token := a.keeper.fence
			a.cut, b.cut = false, false
			w.run(200 * time.Millisecond)
			require.True(w.t, a.holds())
			require.Equal(w.t, token, a.keeper.fence)
			w.run(10 * time.Second)
			require.True(w.t, a.holds())
		}},
		{"a holder whose grant expired longer ago than the gap waits", func(w *world, a, b *machine) state {
			b.frozen, a.cut = true, true
			w.run(wait + time.Second)
			return w.copied()
		}, func(w *world, a, b *machine) {
			a.cut = false
			requireAcquiresAfterWait(w, nil, a)
		}},
		{"a holder that is frozen over it waits", func(w *world, a, b *machine) state {
			b.frozen, a.frozen = true, true
			w.run(wait)
			return w.copied()
		}, func(w *world, a, b *machine) {
			w.run(time.Second)
			a.frozen = false
			requireAcquiresAfterWait(w, nil, a)
		}},
		{"a takeover is lost, and the former holder returns", func(w *world, a, b *machine) state {
			copied := w.copied()
			a.cut = true
			w.run(10 * time.Second)
			require.True(w.t, b.holds())
			b.cut = true
			return copied
		}, func(w *world, a, b *machine) {
			a.cut = false
			requireAcquiresAfterWait(w, b, a)
		}},
		{"a takeover is lost, and the new holder continues", func(w *world, a, b *machine) state {
			copied := w.copied()
			a.cut = true
			w.run(10 * time.Second)
			return copied
		}, func(w *world, a, b *machine) {
			a.cut = false
			requireHoldsFor(w, b, 10*time.Second)
		}},
		{"a release is lost", func(w *world, a, b *machine) state {
			copied := w.copied()
			w.run(time.Second)
			a.keeper.Release(context.Background())
			a.frozen = true
			w.run(8 * time.Second)
			require.True(w.t, b.holds())
			b.frozen = true
			w.run(10 * time.Second)
			a.start()
			return copied
		}, func(w *world, a, b *machine) {
			a.frozen = false
			requireAcquiresAfterWait(w, nil, a)
		}},
		{"a process starts with nothing in memory", func(w *world, a, b *machine) state {
			copied := w.copied()
			a.frozen = true
			w.run(20 * time.Second)
			b.frozen = true
			return copied
		}, func(w *world, a, b *machine) {
			c := w.machine("c", 7*time.Hour)
			requireAcquiresAfterWait(w, b, c)
		}},
		{"a process restarts on the recorded holder's machine", func(w *world, a, b *machine) state {
			copied := w.copied()
			a.frozen = true
			w.run(10 * time.Second)
			require.True(w.t, b.holds())
			a.start()
			return copied
		}, func(w *world, a, b *machine) {
			b.cut, a.frozen = true, false
			requireAcquiresAfterWait(w, b, a)
		}},
		{"the row is missing and the holder is gone", func(w *world, a, b *machine) state {
			w.run(time.Second)
			a.frozen = true
			return state{}
		}, func(w *world, a, b *machine) {
			requireNoHolderBut(w, a, wait)
			w.run(wait + time.Second)
			require.True(w.t, b.holds())
		}},
		{"it is restored twice", func(w *world, a, b *machine) state {
			copied := w.copied()
			b.frozen, a.cut = true, true
			w.run(wait)
			a.cut = false
			w.restore(copied, -time.Minute)
			w.run(4 * time.Second)
			return copied
		}, func(w *world, a, b *machine) {
			requireNoHolder(w, wait-10*time.Millisecond)
			w.run(2 * time.Second)
			require.True(w.t, a.holds())
		}},
		{"it is restored twice and the holder continues", func(w *world, a, b *machine) state {
			copied := w.copied()
			w.run(time.Second)
			w.restore(copied, time.Minute)
			w.run(100 * time.Millisecond)
			return copied
		}, func(w *world, a, b *machine) {
			requireHoldsFor(w, a, 10*time.Second)
		}},
	}
	for _, tc := range cases {
		for _, step := range []time.Duration{0, -30 * time.Second, time.Hour} {
			t.Run(tc.name+", clock "+step.String(), func(t *testing.T) {
				w := newWorld(t)
				a, b := w.machine("a", time.Minute), w.machine("b", 3*time.Hour)
				b.next = time.Second
				w.run(time.Second)
				require.True(t, a.holds())
				copied := tc.before(w, a, b)
				w.restore(copied, step)
				tc.after(w, a, b)
			})
		}
	}
}

// stored returns the record in the store.
func (w *world) stored() Record {
	var record Record
	require.NoError(w.t, json.Unmarshal(w.row.Value, &record))
	return record
}

// requireNoHolder runs the processes for d and requires that none has a grant.
func requireNoHolder(w *world, d time.Duration) {
	requireNoHolderBut(w, nil, d)
}

// requireNoHolderBut runs the processes for d and requires that none but that of
// one machine has a grant.
func requireNoHolderBut(w *world, but *machine, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.run(10 * time.Millisecond)
		for _, m := range w.machines {
			require.True(w.t, m == but || !m.holds(), "%s holds the lease %s before the end of the wait", m.name, end-w.now)
		}
	}
}

// requireAcquiresAfterWait requires that none but the process of one machine, which
// may be nil, has a grant during the wait, and that next has one a second later.
func requireAcquiresAfterWait(w *world, but, next *machine) {
	requireNoHolderBut(w, but, wait)
	w.run(time.Second)
	require.True(w.t, next.holds(), "%s does not hold the lease after the wait", next.name)
}

// requireHoldsFor runs the processes for d and requires that one machine's process
// has a grant throughout.
func requireHoldsFor(w *world, m *machine, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.run(10 * time.Millisecond)
		require.True(w.t, m.holds(), "%s lost the lease %s before the end", m.name, end-w.now)
	}
}

// TestLateWriteAfterRestore has the store execute writes of an earlier era after
// a restore, where their condition holds by chance. None may grant the lease.
func TestLateWriteAfterRestore(t *testing.T) {
	t.Run("an acquisition over the present holder", func(t *testing.T) {
		w := newWorld(t)
		a, b := w.machine("a", 0), w.machine("b", time.Hour)
		b.frozen = true
		w.run(time.Second)
		copied := w.copied()
		a.frozen, b.frozen = true, false
		b.fate = func() fate { return executedLate }
		w.run(8 * time.Second)
		require.NotEmpty(t, w.late)
		b.fate = nil
		w.restore(copied, 0)
		require.True(t, w.execute(w.late[0]))
		a.frozen = true
		requireAcquiresAfterWait(w, nil, b)
	})
	t.Run("an acquisition over a new holder that continues", func(t *testing.T) {
		w := newWorld(t)
		a, b, c := w.machine("a", 0), w.machine("b", time.Hour), w.machine("c", 2*time.Hour)
		b.frozen, c.frozen = true, true
		w.run(time.Second)
		w.counter += 5
		copied := w.copied()
		w.counter++
		a.frozen, b.frozen = true, false
		w.run(8 * time.Second)
		require.True(t, b.holds())
		b.cut = true
		w.run(2 * time.Second)
		w.restore(copied, 0)
		b.frozen, c.frozen = true, false
		w.run(wait + time.Second)
		require.True(t, c.holds())
		late := sentWrite{w.row.Version, []byte(`{"holder":"b","peer":"b","tenure":"x","renewed_ms":1}`)}
		require.True(t, w.execute(late))
		a.start()
		a.frozen = false
		requireHoldsFor(w, c, 8*time.Second)
	})
	t.Run("a write that is executed after the era rose on its way", func(t *testing.T) {
		w := newWorld(t)
		a := w.machine("a", 0)
		calls := 0
		a.during = func() {
			calls++
			if calls == 3 {
				w.restore(w.copied(), 0)
			}
		}
		require.NotZero(t, a.step())
		require.EqualValues(t, 1, w.era)
		require.False(t, a.holds())
		a.during = nil
		requireNoHolder(w, wait)
	})
}

// TestReleaseOfExpiredGrant checks that a process whose grant expired before the
// store was restored can't release the lease, whether or not it knows of the
// restore: a later holder's record may be lost.
func TestReleaseOfExpiredGrant(t *testing.T) {
	for _, knows := range []bool{false, true} {
		t.Run(fmt.Sprintf("knows=%t", knows), func(t *testing.T) {
			w := newWorld(t)
			a, b := w.machine("a", 0), w.machine("b", time.Hour)
			b.frozen = true
			w.run(time.Second)
			copied := w.copied()
			a.cut, b.frozen = true, false
			w.run(8 * time.Second)
			require.True(t, b.holds())
			w.restore(copied, 0)
			b.cut, a.cut = true, false
			if knows {
				a.step()
				require.False(t, a.keeper.holding)
			}
			a.keeper.Release(context.Background())
			w.machine("c", 2*time.Hour)
			requireNoHolderBut(w, b, wait)
			w.run(2 * time.Second)
			require.True(t, w.machines[2].holds())
		})
	}
}

// TestStoreClockStepsBack checks that the lease of a dead holder is acquired
// though the store's clock starts anew in the same era.
func TestStoreClockStepsBack(t *testing.T) {
	w := newWorld(t)
	a, b := w.machine("a", 0), w.machine("b", time.Hour)
	b.frozen = true
	w.run(time.Second)
	a.frozen, b.frozen = true, false
	w.clock -= 50 * time.Minute
	w.run(wait + time.Second)
	require.True(t, b.holds())
}

// TestEqualRenewals guards against a renewal that was lost, but counts as made
// because an earlier one has the same time by a store's clock that was set back.
func TestEqualRenewals(t *testing.T) {
	w := newWorld(t)
	a, b := w.machine("a", 0), w.machine("b", time.Hour)
	const setBack = 7 * time.Second
	a.step()
	w.clock -= setBack
	b.step()
	a.fate = func() fate { return dropped }
	a.step()
	w.advance(setBack)
	a.step()
	require.False(t, a.holds())
	b.step()
	require.True(t, b.holds())
}

// TestAcquireDelayAfterRestore checks that a process with a longer delay doesn't
// count the time for which the lease was free at the same version of the row in
// an earlier era.
func TestAcquireDelayAfterRestore(t *testing.T) {
	w := newWorld(t)
	a := w.machine("a", 0)
	a.keeper.AcquireDelay = time.Second
	a.step()
	w.restore(state{}, 0)
	a.step()
	w.advance(wait + Margin + 10*time.Millisecond)
	a.step()
	require.False(t, a.holds())
	w.advance(time.Second)
	a.step()
	require.True(t, a.holds())
}

// TestHolderKnownOverRestore checks that a node that knows the holder doesn't
// take the holder in a copy for the present one.
func TestHolderKnownOverRestore(t *testing.T) {
	w := newWorld(t)
	a, b, c := w.machine("a", 0), w.machine("b", time.Hour), w.machine("c", 2*time.Hour)
	b.frozen, c.frozen = true, true
	w.run(time.Second)
	copied := w.copied()
	a.cut, b.frozen = true, false
	w.run(8 * time.Second)
	require.True(t, b.holds())
	c.frozen = false
	c.step()
	require.Equal(t, "b", c.keeper.Holder())
	w.restore(copied, 0)
	c.step()
	require.Equal(t, "b", c.keeper.Holder())
}
