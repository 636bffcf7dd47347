package swap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// versioned returns an engine with a software version.
func versioned(e Engine, version string) Engine {
	e.Version = version
	return e
}

// TestPlanOfVersions guards against streams that can't go on since their model is held only
// by engines of another software version.
func TestPlanOfVersions(t *testing.T) {
	waitingAt1 := map[string]Demand{"r": {Rate: 0.5, WaitingAt: map[string]int{"1": 1}}}
	tests := []struct {
		name    string
		engines []Engine
		demand  map[string]Demand
		want    []Step
	}{
		{
			name:    "held at another version only: loaded at the needed one, though an engine of the other one caches it",
			engines: []Engine{versioned(engineWith("a"), "1"), versioned(engineWith("b", "r"), "2"), versioned(onDisk(engineWith("c"), "r"), "2")},
			demand:  waitingAt1,
			want:    []Step{{Engine: "a", Model: "r", Target: "r", FromStore: true, LoadTime: 6 * time.Second}},
		},
		{
			name:    "held at the needed version: not loaded",
			engines: []Engine{versioned(engineWith("a", "r"), "1"), versioned(engineWith("b"), "1")},
			demand:  waitingAt1,
		},
		{
			name:    "no engine of the needed version: not loaded",
			engines: []Engine{versioned(engineWith("a"), "2"), versioned(engineWith("b", "r"), "2")},
			demand:  waitingAt1,
		},
		{
			name:    "the last copy at a version that requests wait for is not unloaded",
			engines: []Engine{versioned(engineWith("a", "r", "x", "y"), "1"), versioned(engineWith("b", "r"), "2")},
			demand: map[string]Demand{"r": {WaitingAt: map[string]int{"1": 1}}, "x": {Rate: 9}, "y": {Rate: 9},
				"z": {WaitingAt: map[string]int{"1": 1}}},
			want: []Step{{Engine: "a", Unload: true, Model: "x", Target: "z"}},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := Plan(State{Now: now, Models: models("r", "x", "y", "z"), Engines: tc.engines, Demand: tc.demand, StoreLoads: 4})
			var atNeeded []Step
			for _, step := range got {
				if step.Target == "r" || step.Target == "z" {
					atNeeded = append(atNeeded, step)
				}
			}
			require.Equal(t, tc.want, atNeeded)
		})
	}
}
