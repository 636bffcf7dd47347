package endpoints_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/peer/peerpb"
)

func endpointState() *peerpb.EndpointState {
	return &peerpb.EndpointState{
		Name: "e1", Owner: "vm-1", Fence: 3, Revision: 7, Reachable: true,
		Loaded:     []*peerpb.Replica{{Model: "m1", Version: "1", Running: 2, Adapters: []string{"m1-x"}}},
		Bound:      []string{"m1", "m2"},
		MemoryUsed: 10 << 30, MemoryTotal: 24 << 30, Running: 2, TokensPerSecond: 100, ReportAgeMs: 100,
		CachedDisk: []string{"m1"},
	}
}

func TestDiff(t *testing.T) {
	cases := []struct {
		name   string
		change func(*peerpb.EndpointState)
		// sent and sentWithLoad report whether a change is sent without and
		// with load.
		sent, sentWithLoad bool
	}{
		{"nothing", func(*peerpb.EndpointState) {}, false, false},
		{"only the revision and the age", func(s *peerpb.EndpointState) { s.Revision, s.ReportAgeMs = 9, 400 }, false, false},
		{"the load", func(s *peerpb.EndpointState) { s.Running = 3 }, false, true},
		{"a replica's load", func(s *peerpb.EndpointState) { s.Loaded[0].Running = 3 }, false, true},
		{"a few bytes of memory", func(s *peerpb.EndpointState) { s.MemoryUsed -= 1 << 20 }, false, false},
		{"a model unloaded", func(s *peerpb.EndpointState) { s.Loaded = nil }, true, true},
		{"an adapter loaded", func(s *peerpb.EndpointState) { s.Loaded[0].Adapters = append(s.Loaded[0].Adapters, "m1-y") }, true, true},
		{"unreachable", func(s *peerpb.EndpointState) { s.Reachable = false }, true, true},
		{"leaving", func(s *peerpb.EndpointState) { s.Leaving = true }, true, true},
		{"a slot bound", func(s *peerpb.EndpointState) { s.Bound = append(s.Bound, "m3") }, true, true},
		{"a load begun", func(s *peerpb.EndpointState) { s.Loading = []string{"m3"} }, true, true},
		{"a checkpoint cached", func(s *peerpb.EndpointState) { s.CachedDisk = append(s.CachedDisk, "m3") }, true, true},
		{"another owner", func(s *peerpb.EndpointState) { s.Owner, s.Fence = "vm-2", 4 }, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			before, after := endpointState(), endpointState()
			tc.change(after)
			a, b := endpoints.Compact(before, true), endpoints.Compact(after, true)
			require.Equal(t, tc.sent, endpoints.Diff(1, a, b, false) != nil)
			change := endpoints.Diff(1, a, b, true)
			require.Equal(t, tc.sentWithLoad, change != nil)
			if change != nil {
				require.True(t, proto.Equal(b, endpoints.Merge(a, change)))
			}
		})
	}
}

// TestReceiverConverges sends random sequences of states as deltas and checks
// that the receiver ends with the last one, in compact form.
func TestReceiverConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var receiver endpoints.Receiver
		var sent *peerpb.EndpointState
		for i := range rapid.IntRange(1, 8).Draw(t, "states") {
			after := endpoints.Compact(drawState(t, int64(i)), false)
			delta := &peerpb.EndpointDelta{Snapshot: i == 0}
			if change := endpoints.Diff(1, sent, after, true); change != nil {
				delta.Changed = append(delta.Changed, roundTrip(t, change))
				sent = endpoints.Merge(sent, change)
			}
			for _, got := range receiver.Decode(delta) {
				want := endpoints.Expand(after)
				if !proto.Equal(want, got) {
					t.Fatalf("want %v, got %v", want, got)
				}
			}
		}
	})
}

func drawState(t *rapid.T, revision int64) *peerpb.EndpointState {
	state := &peerpb.EndpointState{
		Name: "e1", Owner: "vm-1", Revision: revision,
		Reachable: rapid.Bool().Draw(t, "reachable"),
		Leaving:   rapid.Bool().Draw(t, "leaving"),
		Running:   rapid.Int32Range(0, 100).Draw(t, "running"),
		Bound:     rapid.SliceOfN(rapid.StringMatching("m[0-9]"), 0, 3).Draw(t, "bound"),
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "loaded") {
		state.Loaded = append(state.Loaded, &peerpb.Replica{Model: fmt.Sprint("m", i), Running: rapid.Int32Range(0, 20).Draw(t, "replica")})
	}
	return state
}

func roundTrip(t *rapid.T, change *peerpb.EndpointChange) *peerpb.EndpointChange {
	data, err := proto.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	out := &peerpb.EndpointChange{}
	if err := proto.Unmarshal(data, out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestLoadInterval(t *testing.T) {
	cases := []struct {
		endpoints, peers int
		from, to         time.Duration
	}{
		{0, 0, 250 * time.Millisecond, 250 * time.Millisecond},
		{3, 9, 250 * time.Millisecond, 250 * time.Millisecond},
		{14, 88, 3 * time.Second, 5 * time.Second},
		{612, 88, 10 * time.Second, 10 * time.Second},
	}
	for _, tc := range cases {
		got := endpoints.LoadInterval(tc.endpoints, tc.peers)
		require.GreaterOrEqual(t, got, tc.from)
		require.LessOrEqual(t, got, tc.to)
	}
}
