package membership

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/platform"
)

// TestSuspect checks which observations, at seconds before now, make a process
// a suspect.
func TestSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(reporter string, ago float64, answered bool) Evidence {
		when := now.Add(-time.Duration(ago * float64(time.Second)))
		return Evidence{Member: "x", Reporter: reporter, Sequence: when.UnixMicro(), At: when, Answered: answered}
	}
	cases := []struct {
		name     string
		evidence []Evidence
		want     bool
	}{
		{"nothing known", nil, false},
		{"answers me", []Evidence{at("me", 1, true)}, false},
		{"does not answer me", []Evidence{at("me", 5, true), at("me", 1, false)}, true},
		{"one other fails, it may be disconnected itself", []Evidence{at("b", 1, false)}, false},
		{"one other fails three times", []Evidence{at("b", 3, false), at("b", 2, false), at("b", 1, false)}, false},
		{"two others fail", []Evidence{at("b", 3, false), at("c", 4, false)}, true},
		{"two others failed, a third got an answer since", []Evidence{at("b", 6, false), at("c", 7, false), at("d", 3, true)}, false},
		{"answered again just now", []Evidence{at("b", 1, false), at("c", 1.5, false), at("d", 0.5, true)}, true},
		{"answers others but not me", []Evidence{at("me", 3, false), at("b", 1, true)}, true},
		{"did not answer me, long ago", []Evidence{at("me", 11, false)}, false},
		{"flapping", []Evidence{at("me", 3, true), at("me", 2.5, false), at("me", 2, true), at("me", 1.5, false), at("me", 1, true)}, true},
		{"late, out of order", []Evidence{at("me", 1, true), at("me", 5, false)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &record{}
			for _, e := range c.evidence {
				r.add(e, "me")
			}
			require.Equal(t, c.want, r.suspect(now))
		})
	}
}

// TestRepeatedEvidenceExpires relays a third process's failure between two
// processes for a minute. Each relay makes it look newer by the transit time;
// it must expire nevertheless.
func TestRepeatedEvidenceExpires(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := &record{}, &record{}
	a.add(Evidence{Member: "x", Reporter: "c", Sequence: 1, At: start}, "a")
	for i := range 150 {
		from, to, self := a, b, "b"
		if i%2 == 1 {
			from, to, self = b, a, "a"
		}
		for _, e := range from.observations() {
			e.At = e.At.Add(400 * time.Millisecond)
			to.add(e, self)
		}
	}
	require.False(t, a.recentlyFailed(start.Add(time.Minute)))
	require.False(t, b.recentlyFailed(start.Add(time.Minute)))
}

// fixedList is a membership list that can be made unavailable.
type fixedList struct {
	vms         []platform.VM
	unavailable bool
}

func (l *fixedList) List(context.Context) ([]platform.VM, error) {
	if l.unavailable {
		return nil, platform.ErrUnavailable
	}
	return l.vms, nil
}

func vm(id, dataCentre string, state platform.VMState) platform.VM {
	return platform.VM{ID: id, Kind: platform.EntryVM, DataCentre: dataCentre, State: state, Processes: map[string]string{"router": id + ":1"}}
}

// TestJoinedView checks the resulting view when the list and the heartbeats
// disagree.
func TestJoinedView(t *testing.T) {
	other := Member{VM: "vm-2", Role: RoleRouter, DataCentre: "a", Address: "vm-2:1"}
	failed := func(tracker *Tracker, at time.Time) {
		tracker.Observe(Evidence{Member: other.Name(), Reporter: "router@vm-1", Sequence: at.UnixMicro(), At: at})
	}
	cases := []struct {
		name           string
		state          platform.VMState
		act            func(tracker *Tracker, list *fixedList)
		members, alive int
	}{
		{"live, no heartbeat yet", platform.VMLive, func(*Tracker, *fixedList) {}, 2, 2},
		{"live, does not answer", platform.VMLive, func(tr *Tracker, _ *fixedList) { failed(tr, time.Now()) }, 2, 1},
		{"leaving, answers", platform.VMLeaving, func(tr *Tracker, _ *fixedList) { tr.RecordHeartbeat(other, "") }, 2, 1},
		{"live, says that it drains", platform.VMLive, func(tr *Tracker, _ *fixedList) {
			draining := other
			draining.Leaving = true
			tr.RecordHeartbeat(draining, "")
		}, 2, 1},
		{"absent, answers", "", func(tr *Tracker, _ *fixedList) { tr.RecordHeartbeat(other, "") }, 2, 2},
		{"absent, no heartbeats for long", "", func(tr *Tracker, _ *fixedList) {
			tr.RecordHeartbeat(other, "")
			time.Sleep(2 * expiryTime)
		}, 1, 1},
		{"absent, in another data centre", "", func(tr *Tracker, _ *fixedList) {
			tr.RecordHeartbeat(Member{VM: "vm-3", Role: RoleRouter, DataCentre: "b"}, "")
		}, 1, 1},
		{"list unavailable", platform.VMLive, func(_ *Tracker, list *fixedList) {
			list.unavailable = true
			time.Sleep(time.Hour)
		}, 2, 2},
		{"list unavailable, does not answer", platform.VMLive, func(tr *Tracker, list *fixedList) {
			list.unavailable = true
			time.Sleep(time.Hour)
			failed(tr, time.Now())
		}, 2, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := &fixedList{vms: []platform.VM{vm("vm-1", "a", platform.VMLive)}}
				if c.state != "" {
					list.vms = append(list.vms, vm("vm-2", "a", c.state))
				}
				tracker := NewTracker(list, slog.New(slog.NewTextHandler(io.Discard, nil)))
				tracker.Identify(Member{VM: "vm-1", Role: RoleRouter, DataCentre: "a"})
				tracker.poll(t.Context())
				c.act(tracker, list)
				tracker.poll(t.Context())
				require.Len(t, tracker.Members(RoleRouter, "a"), c.members)
				require.Len(t, tracker.Alive(RoleRouter, "a"), c.alive)
			})
		})
	}
}
