package swap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
)

var now = time.Unix(1000, 0)

// models returns models of 60 GB each; an engine fits three.
func models(names ...string) map[string]catalog.Model {
	out := map[string]catalog.Model{}
	for _, name := range names {
		out[name] = catalog.Model{
			Name:       name,
			WeightsMB:  60000,
			StoreLoad:  6 * time.Second,
			DiskLoad:   800 * time.Millisecond,
			MemoryLoad: 400 * time.Millisecond,
		}
	}
	return out
}

// engineWith returns an engine that loaded models a minute ago.
func engineWith(id string, names ...string) Engine {
	e := Engine{ID: id, MemoryMB: 200000, Copies: map[string]Copy{}, Ready: true}
	for _, name := range names {
		e.Copies[name] = Copy{Since: now.Add(-time.Minute)}
	}
	return e
}

// onDisk returns an engine that has checkpoints on its disk.
func onDisk(e Engine, names ...string) Engine {
	e.OnDisk = names
	return e
}

// TestPlan checks the plan for each pattern of demand.
func TestPlan(t *testing.T) {
	inMemory := func(e Engine, names ...string) Engine {
		e.InMemory = names
		return e
	}
	cases := []struct {
		name       string
		engines    []Engine
		demand     map[string]Demand
		storeLoads int
		want       []Step
	}{
		{
			name:    "request waits for a rare model: loaded on the engine that caches it in memory",
			engines: []Engine{onDisk(engineWith("a"), "r"), inMemory(engineWith("b"), "r")},
			demand:  map[string]Demand{"r": {Waiting: 1}},
			want:    []Step{{Engine: "b", Model: "r", Target: "r", LoadTime: 400 * time.Millisecond}},
		},
		{
			name:    "full engine: the model with the least demand is evicted",
			engines: []Engine{onDisk(engineWith("a", "x", "y", "z"), "r")},
			demand:  map[string]Demand{"r": {Waiting: 1}, "x": {Rate: 1}, "y": {Rate: 0.1}, "z": {Rate: 2}},
			want:    []Step{{Engine: "a", Unload: true, Model: "y", Target: "r"}},
		},
		{
			name:    "a busy engine that caches the weights is preferred to the store",
			engines: []Engine{engineWith("a"), func() Engine { e := onDisk(engineWith("b"), "r"); e.Ready = false; return e }()},
			demand:  map[string]Demand{"r": {Waiting: 1}}, storeLoads: 4,
		},
		{
			name: "more copies missing than engines that cache the weights: also loaded from the store",
			engines: []Engine{
				engineWith("a", "hot"),
				func() Engine { e := onDisk(engineWith("b"), "hot"); e.Ready = false; return e }(),
				engineWith("c"),
			},
			demand: map[string]Demand{"hot": {Rate: 10, Running: 40}}, storeLoads: 1,
			want: []Step{{Engine: "c", Model: "hot", Target: "hot", FromStore: true, LoadTime: 6 * time.Second}},
		},
		{
			name:    "weights cached on no engine: loaded from the store",
			engines: []Engine{engineWith("a")},
			demand:  map[string]Demand{"r": {Waiting: 1}}, storeLoads: 4,
			want: []Step{{Engine: "a", Model: "r", Target: "r", FromStore: true, LoadTime: 6 * time.Second}},
		},
		{
			name:    "limit of store loads reached: nothing is unloaded for a load that can't start",
			engines: []Engine{engineWith("a", "x", "y", "z")},
			demand:  map[string]Demand{"r": {Waiting: 1}},
		},
		{
			name: "the last store load is reserved for an engine that is being drained for it",
			engines: []Engine{
				func() Engine { e := engineWith("a", "x", "y", "z"); e.DrainedFor = "r"; e.Ready = false; return e }(),
				engineWith("b", "x", "y", "z"),
			},
			demand: map[string]Demand{"r": {Waiting: 1}, "s": {Waiting: 1}}, storeLoads: 1,
		},
		{
			name:    "limit of store loads reached: no load",
			engines: []Engine{engineWith("a")},
			demand:  map[string]Demand{"r": {Waiting: 1}},
		},
		{
			name: "copies on a leaving engine do not count",
			engines: []Engine{
				func() Engine { e := engineWith("a", "hot"); e.Leaving = true; return e }(),
				onDisk(engineWith("b"), "hot"),
			},
			demand: map[string]Demand{"hot": {Rate: 30, Waiting: 20}},
			want:   []Step{{Engine: "b", Model: "hot", Target: "hot", LoadTime: 800 * time.Millisecond}},
		},
		{
			name: "the only copy is on an engine that leaves: loaded elsewhere before a request waits",
			engines: []Engine{
				func() Engine {
					e := engineWith("a", "hot")
					e.Leaving = true
					e.Draining = []string{"hot", "x"}
					return e
				}(),
				onDisk(engineWith("b", "x", "y", "z"), "hot"),
			},
			demand: map[string]Demand{"hot": {Rate: 0.1}, "x": {Rate: 1}, "y": {Rate: 0.1}, "z": {Rate: 2}},
			want:   []Step{{Engine: "b", Unload: true, Model: "y", Target: "hot"}},
		},
		{
			name: "another copy remains: nothing is loaded for an engine that leaves",
			engines: []Engine{
				func() Engine { e := engineWith("a", "hot"); e.Leaving = true; e.Draining = []string{"hot"}; return e }(),
				onDisk(engineWith("b"), "hot"), engineWith("c", "hot"),
			},
			demand: map[string]Demand{"hot": {Rate: 0.1}},
		},
		{
			name:    "the engine of the only copy is in cooldown: another copy, since it serves requests meanwhile",
			engines: []Engine{engineWith("a", "hot"), onDisk(engineWith("b", "x", "y", "z"), "hot")},
			demand: map[string]Demand{
				"hot": {Rate: 0.5, CooldownRate: 0.5, Cooldown: 3 * time.Second},
				"x":   {Rate: 1}, "y": {Rate: 0.1}, "z": {Rate: 2},
			},
			want: []Step{{Engine: "b", Unload: true, Model: "y", Target: "hot"}},
		},
		{
			name:    "a cooldown that ends before the load from the store does is no reason for another copy",
			engines: []Engine{engineWith("a", "hot"), engineWith("b")},
			demand:  map[string]Demand{"hot": {Rate: 1, CooldownRate: 1, Cooldown: 6500 * time.Millisecond}}, storeLoads: 4,
		},
		{
			name:    "a cooldown is no reason for a third copy",
			engines: []Engine{engineWith("a", "hot"), engineWith("b", "hot"), onDisk(engineWith("c"), "hot")},
			demand:  map[string]Demand{"hot": {Rate: 0.5, CooldownRate: 0.5, Cooldown: time.Minute}},
		},
		{
			name: "a cooldown is no reason for a second copy while one is being loaded",
			engines: []Engine{
				engineWith("a", "hot"),
				func() Engine { e := engineWith("b"); e.Loading = "hot"; e.Ready = false; return e }(),
				onDisk(engineWith("c"), "hot"),
			},
			demand: map[string]Demand{"hot": {Rate: 0.5, CooldownRate: 0.5, Cooldown: time.Minute}},
		},
		{
			name:    "demand shifts to one model: more copies",
			engines: []Engine{engineWith("a", "hot"), onDisk(engineWith("b"), "hot")},
			demand:  map[string]Demand{"hot": {Rate: 10, Running: 40}},
			want:    []Step{{Engine: "b", Model: "hot", Target: "hot", LoadTime: 800 * time.Millisecond}},
		},
		{
			name:    "slow engine makes a model's requests late: another copy, also at a low rate",
			engines: []Engine{engineWith("a", "hot"), onDisk(engineWith("b"), "hot")},
			demand:  map[string]Demand{"hot": {Rate: 1.5, LateRate: 0.4, Running: 2}},
			want:    []Step{{Engine: "b", Model: "hot", Target: "hot", LoadTime: 800 * time.Millisecond}},
		},
		{
			name:    "a single late request is no reason for another copy",
			engines: []Engine{engineWith("a", "hot"), onDisk(engineWith("b"), "hot")},
			demand:  map[string]Demand{"hot": {Rate: 0.1, LateRate: 0.08}},
		},
		{
			name:    "demand not known yet: the model that another engine holds too is evicted",
			engines: []Engine{onDisk(engineWith("a", "x", "y", "z"), "r"), func() Engine { e := engineWith("b", "z"); e.Ready = false; return e }()},
			demand:  map[string]Demand{"r": {Waiting: 1}},
			want:    []Step{{Engine: "a", Unload: true, Model: "z", Target: "r"}},
		},
		{
			name: "a model with running requests is not evicted",
			engines: []Engine{func() Engine {
				e := onDisk(engineWith("a", "x", "y", "z"), "r")
				for name, loaded := range e.Copies {
					loaded.Running = 1
					e.Copies[name] = loaded
				}
				return e
			}()},
			demand: map[string]Demand{"r": {Waiting: 1}},
		},
		{
			name: "an engine drained for a model loads it",
			engines: []Engine{func() Engine {
				e := onDisk(engineWith("a", "x", "y"), "r", "s")
				e.DrainedFor = "r"
				return e
			}()},
			demand: map[string]Demand{"r": {Waiting: 1}, "s": {Waiting: 5}},
			want:   []Step{{Engine: "a", Model: "r", Target: "r", LoadTime: 800 * time.Millisecond}},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := Plan(State{
				Now:        now,
				Models:     models("r", "s", "x", "y", "z", "hot"),
				Engines:    tc.engines,
				Demand:     tc.demand,
				StoreLoads: tc.storeLoads,
			})
			require.Equal(t, tc.want, got)
		})
	}
}
