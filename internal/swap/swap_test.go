package swap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
)

var now = time.Unix(1000, 0)

// models of 60 GB each; an engine holds three.
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

// holding returns an engine that has held models for a while.
func holding(id string, names ...string) Engine {
	e := Engine{ID: id, MemoryMB: 200000, Copies: map[string]Copy{}, Ready: true}
	for _, name := range names {
		e.Copies[name] = Copy{Since: now.Add(-time.Minute)}
	}
	return e
}

// TestPlan has one row for each pattern of demand that the planner answers.
func TestPlan(t *testing.T) {
	onDisk := func(e Engine, names ...string) Engine {
		e.OnDisk = names
		return e
	}
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
			name:    "rare model waits: from the engine that has it in memory",
			engines: []Engine{onDisk(holding("a"), "r"), inMemory(holding("b"), "r")},
			demand:  map[string]Demand{"r": {Waiting: 1}},
			want:    []Step{{Engine: "b", Model: "r", For: "r", Takes: 400 * time.Millisecond}},
		},
		{
			name:    "full engine: the model with the least demand makes way",
			engines: []Engine{onDisk(holding("a", "x", "y", "z"), "r")},
			demand:  map[string]Demand{"r": {Waiting: 1}, "x": {Rate: 1}, "y": {Rate: 0.1}, "z": {Rate: 2}},
			want:    []Step{{Engine: "a", Unload: true, Model: "y", For: "r"}},
		},
		{
			name:    "an engine that has the weights is waited for, not the store",
			engines: []Engine{holding("a"), func() Engine { e := onDisk(holding("b"), "r"); e.Ready = false; return e }()},
			demand:  map[string]Demand{"r": {Waiting: 1}}, storeLoads: 4,
		},
		{
			name:    "weights on no engine: from the store",
			engines: []Engine{holding("a")},
			demand:  map[string]Demand{"r": {Waiting: 1}}, storeLoads: 4,
			want: []Step{{Engine: "a", Model: "r", For: "r", FromStore: true, Takes: 6 * time.Second}},
		},
		{
			name:    "the store's ceiling holds",
			engines: []Engine{holding("a")},
			demand:  map[string]Demand{"r": {Waiting: 1}},
		},
		{
			name: "an engine that does not answer holds nothing",
			engines: []Engine{
				func() Engine { e := holding("a", "hot"); e.Leaving = true; return e }(),
				onDisk(holding("b"), "hot"),
			},
			demand: map[string]Demand{"hot": {Rate: 30, Waiting: 20}},
			want:   []Step{{Engine: "b", Model: "hot", For: "hot", Takes: 800 * time.Millisecond}},
		},
		{
			name:    "demand shifts to one model: more copies",
			engines: []Engine{holding("a", "hot"), onDisk(holding("b"), "hot")},
			demand:  map[string]Demand{"hot": {Rate: 10, Running: 40}},
			want:    []Step{{Engine: "b", Model: "hot", For: "hot", Takes: 800 * time.Millisecond}},
		},
		{
			name: "a model with running requests does not make way",
			engines: []Engine{func() Engine {
				e := onDisk(holding("a", "x", "y", "z"), "r")
				for name, held := range e.Copies {
					held.Running = 1
					e.Copies[name] = held
				}
				return e
			}()},
			demand: map[string]Demand{"r": {Waiting: 1}},
		},
		{
			name: "an engine that was emptied for a model loads it",
			engines: []Engine{func() Engine {
				e := onDisk(holding("a", "x", "y"), "r", "s")
				e.EmptiedFor = "r"
				return e
			}()},
			demand: map[string]Demand{"r": {Waiting: 1}, "s": {Waiting: 5}},
			want:   []Step{{Engine: "a", Model: "r", For: "r", Takes: 800 * time.Millisecond}},
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
