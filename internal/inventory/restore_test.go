package inventory

import (
	"fmt"
	"log/slog"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chestnutgauge/internal/era"
)

func noOutage() (sinceRecovery, duration time.Duration) { return 0, 0 }

// newRestoreGrace returns a grace on the test's clock.
func newRestoreGrace() (*Inventory, *Grace) {
	inventory := New()
	grace := NewGrace(inventory, heartbeat, noOutage, slog.New(slog.DiscardHandler))
	start := time.Now()
	grace.clock = func() time.Duration { return time.Since(start) }
	return inventory, grace
}

// entryAt returns an entry written at a position.
func entryAt(id string, number, version int64, change func(*Endpoint)) *Endpoint {
	e := &Endpoint{ID: id, Service: "s", StartedAtMS: 5, Entry: era.Position{Era: number, Version: version}}
	if change != nil {
		change(e)
	}
	return e
}

func leaving(e *Endpoint) { e.Leaving = true }

func holding(model string) func(*Endpoint) {
	return func(e *Endpoint) { e.Models = map[string][]string{model: nil} }
}

// TestRestoredEntries has one case for each way in which an entry of the copy can
// differ from what was known: what is published just after the restore, and what
// when the entry wasn't written again within the grace period.
func TestRestoredEntries(t *testing.T) {
	newer := func(e *Endpoint) { e.StartedAtMS = 9 }
	old := entryAt("i", 0, 10, nil)
	cases := []struct {
		name              string
		known             *Endpoint
		removed           bool
		read              *Endpoint
		justAfter, settle *Endpoint
	}{
		{"missing", old, false, nil, old, nil},
		{"the same", old, false, entryAt("i", 1, 8, nil), entryAt("i", 1, 8, nil), entryAt("i", 1, 8, nil)},
		{"other models", entryAt("i", 0, 10, holding("m")), false, entryAt("i", 1, 8, nil), entryAt("i", 0, 10, holding("m")), entryAt("i", 1, 8, nil)},
		{"written after the first read", entryAt("i", 0, 30, holding("m")), false, entryAt("i", 1, 21, nil), entryAt("i", 1, 21, nil), entryAt("i", 1, 21, nil)},
		{"removed before", old, true, entryAt("i", 1, 8, nil), nil, nil},
		{"removed before, and started again", old, true, entryAt("i", 1, 8, newer), entryAt("i", 1, 8, newer), entryAt("i", 1, 8, newer)},
		{"removed before, an earlier incarnation", entryAt("i", 0, 10, newer), true, entryAt("i", 1, 8, nil), nil, nil},
		{"leaving before", entryAt("i", 0, 10, leaving), false, entryAt("i", 1, 8, nil), entryAt("i", 0, 10, leaving), nil},
		{"an earlier incarnation", entryAt("i", 0, 10, newer), false, entryAt("i", 1, 8, nil), entryAt("i", 0, 10, newer), nil},
		{"a later incarnation", old, false, entryAt("i", 1, 8, newer), entryAt("i", 1, 8, newer), entryAt("i", 1, 8, newer)},
		{"not known", nil, false, entryAt("i", 1, 8, nil), entryAt("i", 1, 8, nil), entryAt("i", 1, 8, nil)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inventory, grace := newRestoreGrace()
				var known, read []*Endpoint
				if tc.known != nil {
					known = append(known, tc.known)
				}
				if tc.read != nil {
					read = append(read, tc.read)
				}
				grace.Replace(era.Position{Version: 15}, known)
				if tc.removed {
					grace.Change(nil, []string{"i"})
				}
				first := read
				if tc.read != nil && tc.read.Entry.Version > 20 {
					first = nil
				}
				grace.Replace(era.Position{Era: 1, Version: 20}, first)
				grace.Replace(era.Position{Era: 1, Version: 21}, read)
				require.Equal(t, tc.justAfter, inventory.Current().Endpoint("i"))
				time.Sleep(gracePeriod)
				synctest.Wait()
				require.Equal(t, tc.settle, inventory.Current().Endpoint("i"))
				grace.Replace(era.Position{Era: 1, Version: 21}, read)
				require.Equal(t, tc.settle, inventory.Current().Endpoint("i"), "read again")
			})
		})
	}
}

// TestWrittenAgain checks that an endpoint whose entry of the copy isn't used is
// used as soon as it is written again.
func TestWrittenAgain(t *testing.T) {
	for _, known := range []*Endpoint{nil, entryAt("i", 0, 10, leaving)} {
		inventory, grace := newRestoreGrace()
		grace.Replace(era.Position{}, []*Endpoint{entryAt("i", 0, 9, nil)})
		grace.Change(nil, []string{"i"})
		if known != nil {
			grace.Change([]*Endpoint{known}, nil)
		}
		grace.Replace(era.Position{Era: 1, Version: 5}, []*Endpoint{entryAt("i", 1, 4, nil)})
		require.Equal(t, known, inventory.Current().Endpoint("i"))
		again := entryAt("i", 1, 6, nil)
		grace.Change([]*Endpoint{again}, nil)
		require.Equal(t, again, inventory.Current().Endpoint("i"))
	}
}

// TestSecondRestore checks that what was decided after a first restore does not
// take effect within the grace period of a second one.
func TestSecondRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inventory, grace := newRestoreGrace()
		a, b := entryAt("a", 0, 10, nil), entryAt("b", 0, 11, holding("m"))
		grace.Replace(era.Position{Version: 15}, []*Endpoint{a, b})
		grace.Replace(era.Position{Era: 1, Version: 9}, []*Endpoint{entryAt("b", 1, 9, nil)})
		time.Sleep(gracePeriod - time.Millisecond)
		grace.Replace(era.Position{Era: 2, Version: 8}, nil)
		time.Sleep(gracePeriod - time.Millisecond)
		synctest.Wait()
		require.Equal(t, a, inventory.Current().Endpoint("a"))
		require.Equal(t, b, inventory.Current().Endpoint("b"))
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		require.Zero(t, inventory.Current().Len())
	})
}

// TestDrainMarkAfterRestore checks that an endpoint that is marked as leaving stays
// known and marked if the copy has its entry as it was.
func TestDrainMarkAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inventory, grace := newRestoreGrace()
		grace.Replace(era.Position{Version: 15}, []*Endpoint{entryAt("i", 0, 10, nil)})
		recorder := Recorder{Inventory: inventory, Log: slog.New(slog.DiscardHandler)}
		recorder.Record(SourceResponse, []DrainMark{{ID: "i", StartedAtMS: 5}}, time.Now())
		grace.Replace(era.Position{Era: 1, Version: 12}, []*Endpoint{entryAt("i", 1, 10, nil)})
		time.Sleep(gracePeriod)
		synctest.Wait()
		require.NotNil(t, inventory.Current().Endpoint("i"))
		require.True(t, inventory.Current().Endpoint("i").Leaving)
	})
}

// TestIncomplete checks that only a node that knew no endpoint at its first read
// after a restore counts its endpoints as incomplete, until the grace period ends.
func TestIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fresh := newRestoreGrace()
		fresh.Replace(era.Position{Era: 1, Version: 9}, []*Endpoint{entryAt("a", 1, 9, nil)})
		require.True(t, fresh.Incomplete())
		time.Sleep(gracePeriod)
		require.False(t, fresh.Incomplete())
		_, running := newRestoreGrace()
		running.Replace(era.Position{Version: 9}, []*Endpoint{entryAt("a", 0, 9, nil)})
		require.False(t, running.Incomplete())
		running.Replace(era.Position{Era: 1, Version: 9}, nil)
		require.False(t, running.Incomplete())
	})
}

// TestRemovalsAreBounded checks that only the latest removals are remembered.
func TestRemovalsAreBounded(t *testing.T) {
	inventory := New()
	for n := range maxRemovals + 10 {
		id := fmt.Sprint(n)
		inventory.Change([]*Endpoint{{ID: id, StartedAtMS: int64(n)}}, nil)
		inventory.Change(nil, []string{id})
	}
	_, removed := inventory.Removed("0")
	require.False(t, removed)
	startedAtMS, removed := inventory.Removed(fmt.Sprint(maxRemovals))
	require.True(t, removed)
	require.EqualValues(t, maxRemovals, startedAtMS)
	require.LessOrEqual(t, len(inventory.removed.last), maxRemovals)
}

// TestRemovedTwice guards against an endpoint that is forgotten as removed when only
// the first of its two removals has become old.
func TestRemovedTwice(t *testing.T) {
	inventory := New()
	remove := func(id string) {
		inventory.Change([]*Endpoint{{ID: id, StartedAtMS: 7}}, nil)
		inventory.Change(nil, []string{id})
	}
	remove("twice")
	remove("twice")
	for n := range maxRemovals - 1 {
		remove(fmt.Sprint(n))
	}
	_, removed := inventory.Removed("twice")
	require.True(t, removed)
	remove("another")
	_, removed = inventory.Removed("twice")
	require.False(t, removed)
}

// restorable is a store with entries that can be copied and restored, and a node
// that reads it.
type restorable struct {
	at era.Position
	// writes counts the writes of entries.
	writes    int
	rows      map[string]stored
	copies    []copied
	inventory *Inventory
	grace     *Grace
	// connected is false while the node gets no changes. It then reads all entries
	// when it is connected again.
	connected bool
	// goneSeen has the number of writes when the node last saw an endpoint leave or
	// removed. An endpoint that the node has seen written since is not in it.
	goneSeen map[string]int
	// now is the node's clock, and timers are its pending calls.
	now    time.Duration
	timers []timer
}

type timer struct {
	due  time.Duration
	call func()
}

// newRestorable returns a store without entries and a node on its clock.
func newRestorable() *restorable {
	s := &restorable{rows: map[string]stored{}, connected: true, goneSeen: map[string]int{}, inventory: New()}
	s.grace = NewGrace(s.inventory, heartbeat, noOutage, slog.New(slog.DiscardHandler))
	s.grace.clock = func() time.Duration { return s.now }
	s.grace.after = func(delay time.Duration, call func()) { s.timers = append(s.timers, timer{s.now + delay, call}) }
	s.read()
	return s
}

// wait advances the clock and makes the calls that are due.
func (s *restorable) wait(duration time.Duration) {
	s.now += duration
	pending := s.timers
	s.timers = nil
	for _, next := range pending {
		if next.due > s.now {
			s.timers = append(s.timers, next)
			continue
		}
		next.call()
	}
}

// stored is an entry in the store. write is the number of the write.
type stored struct {
	entry *Endpoint
	write int
}

type copied struct {
	version int64
	rows    map[string]stored
}

func (s *restorable) read() {
	entries := make([]*Endpoint, 0, len(s.rows))
	for id, row := range s.rows {
		e := *row.entry
		e.Entry.Era = s.at.Era
		entries = append(entries, &e)
		if row.write > s.goneSeen[id] {
			delete(s.goneSeen, id)
		}
	}
	s.grace.Replace(s.at, entries)
}

func (s *restorable) write(id string, change func(*Endpoint)) {
	s.at.Version++
	s.writes++
	e := entryAt(id, s.at.Era, s.at.Version, change)
	s.rows[id] = stored{e, s.writes}
	if !s.connected {
		return
	}
	s.grace.Change([]*Endpoint{e}, nil)
	delete(s.goneSeen, id)
	if e.Leaving {
		s.goneSeen[id] = s.writes
	}
}

func (s *restorable) remove(id string) {
	if _, found := s.rows[id]; !found {
		return
	}
	s.at.Version++
	delete(s.rows, id)
	if !s.connected {
		return
	}
	s.grace.Change(nil, []string{id})
	if s.inventory.Current().Endpoint(id) == nil {
		s.goneSeen[id] = s.writes
	}
}

func (s *restorable) backup() {
	s.copies = append(s.copies, copied{s.at.Version, maps.Clone(s.rows)})
}

func (s *restorable) restore(from copied) {
	s.at = era.Position{Era: s.at.Era + 1, Version: from.version}
	s.rows = maps.Clone(from.rows)
	if s.connected {
		s.read()
	}
}

// TestRestores runs any sequence of writes, removals, copies, restores and cuts of
// the node. An endpoint that the node saw leave or removed must get no requests
// until it is written again, and one that never was must not vanish within the
// grace period of a restore.
func TestRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRestorable()
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		model := rapid.SampledFrom([]string{"m", "n"})
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(t *rapid.T) { s.write(id.Draw(t, "id"), holding(model.Draw(t, "model"))) },
			"leave":  func(t *rapid.T) { s.write(id.Draw(t, "id"), leaving) },
			"remove": func(t *rapid.T) { s.remove(id.Draw(t, "id")) },
			"copy":   func(*rapid.T) { s.backup() },
			"restore": func(t *rapid.T) {
				if len(s.copies) == 0 {
					return
				}
				before := s.inventory.Current()
				s.restore(rapid.SampledFrom(s.copies).Draw(t, "copy"))
				before.Each(func(e *Endpoint) {
					require.NotNil(t, s.inventory.Current().Endpoint(e.ID), "%s vanished at the restore", e.ID)
				})
			},
			"cut": func(*rapid.T) { s.connected = false },
			"join": func(*rapid.T) {
				if !s.connected {
					s.connected = true
					s.read()
				}
			},
			"wait": func(t *rapid.T) {
				s.wait(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for id := range s.goneSeen {
					e := s.inventory.Current().Endpoint(id)
					require.False(t, e != nil && !e.Leaving, "%s gets requests though it was seen gone", id)
				}
			},
		})
	})
}
