package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/ledger"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

func noSizes(string, string) int64 { return 0 }

func load(id, model string, bytes int64) ledger.Order {
	return ledger.Order{ID: id, Model: model, Version: "1", Bytes: bytes}
}

func loaded(model string, bytes int64) engine.Loaded {
	return engine.Loaded{Model: model, Version: "1", MemoryBytes: bytes}
}

func TestUsed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		do    func(l *ledger.Ledger)
		state engine.State
		sizes ledger.Sizes
		want  int64
	}{
		{name: "reported total above the listed sum", state: engine.State{MemoryUsed: 9, Loaded: []engine.Loaded{loaded("m", 5)}}, want: 9},
		{name: "listed sum above the reported total", state: engine.State{MemoryUsed: 3, Loaded: []engine.Loaded{loaded("m", 5)}}, want: 5},
		{
			name: "configured sizes, which include KV cache, above the reported", state: engine.State{MemoryUsed: 5, Loaded: []engine.Loaded{loaded("m", 5)}},
			sizes: func(string, string) int64 { return 8 }, want: 8,
		},
		{
			name: "adapters count",
			state: engine.State{MemoryUsed: 5, Loaded: []engine.Loaded{{
				Model: "m", MemoryBytes: 5, Adapters: []engine.Adapter{{Name: "a", MemoryBytes: 2}},
			}}},
			want: 7,
		},
		{name: "loading counts", state: engine.State{Loading: []engine.Loading{{Model: "m", MemoryBytes: 4}}}, want: 4},
		{
			name: "an order that was sent counts", want: 4,
			do: func(l *ledger.Ledger) { l.Add(load("1", "m", 4)) },
		},
		{
			name: "memory stays reserved after a lost response while the order may arrive", want: 4,
			do: func(l *ledger.Ledger) {
				l.Add(load("1", "m", 4))
				l.MarkUnknown("1", at(5))
				l.Observe(engine.State{}, at(5))
			},
		},
		{
			name: "a later state settles an order without a response", want: 0,
			do: func(l *ledger.Ledger) {
				l.Add(load("1", "m", 4))
				l.MarkUnknown("1", at(5))
				l.Observe(engine.State{}, at(6))
			},
		},
		{
			name: "a state requested before the response does not settle an accepted load", want: 4,
			do: func(l *ledger.Ledger) {
				l.Add(load("1", "m", 4))
				l.Accept("1", at(2))
				l.Observe(engine.State{}, at(1))
			},
		},
		{
			name: "a load that the state shows is counted once", want: 4,
			state: engine.State{MemoryUsed: 4, Loading: []engine.Loading{{OrderID: "1", Model: "m", MemoryBytes: 4}}},
			do: func(l *ledger.Ledger) {
				l.Add(load("1", "m", 4))
				l.Accept("1", at(2))
				l.Observe(engine.State{Loading: []engine.Loading{{OrderID: "1", Model: "m"}}}, at(1))
			},
		},
		{
			name: "the old version does not settle the load of the new one", want: 4,
			do: func(l *ledger.Ledger) {
				l.Add(ledger.Order{ID: "1", Model: "m", Version: "2", Bytes: 4})
				l.Accept("1", at(2))
				l.Observe(engine.State{Loaded: []engine.Loaded{loaded("m", 4)}}, at(1))
			},
		},
		{
			name: "a rejected order reserves nothing", want: 0,
			do: func(l *ledger.Ledger) {
				l.Add(load("1", "m", 4))
				l.Remove("1")
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l ledger.Ledger
			if tc.do != nil {
				tc.do(&l)
			}
			if tc.sizes == nil {
				tc.sizes = noSizes
			}
			require.Equal(t, tc.want, l.Used(tc.state, tc.sizes))
		})
	}
}

func TestVictims(t *testing.T) {
	for _, tc := range []struct {
		name string
		have []ledger.Candidate
		need int64
		want []string
		ok   bool
	}{
		{name: "nothing needed", need: 0, ok: true},
		{name: "all candidates free too little", have: []ledger.Candidate{{Model: "a", Bytes: 3}}, need: 4},
		{
			name: "least value per byte first, not least value", ok: true, need: 4, want: []string{"large"},
			have: []ledger.Candidate{{Model: "small", Bytes: 1, Value: 1}, {Model: "large", Bytes: 8, Value: 2}},
		},
		{
			name: "a victim that later victims make unnecessary is kept", ok: true, need: 8, want: []string{"large"},
			have: []ledger.Candidate{{Model: "small", Bytes: 1, Value: 0.1}, {Model: "large", Bytes: 8, Value: 2}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			victims, ok := ledger.Victims(tc.have, tc.need)
			require.Equal(t, tc.ok, ok)
			var names []string
			for _, victim := range victims {
				names = append(names, victim.Model)
			}
			require.Equal(t, tc.want, names)
		})
	}
}

// TestUsedNeverBelowEngine simulates an engine whose responses to orders are
// lost, rejected or late. It checks that the ledger never counts less memory
// than the engine uses or may still come to use.
func TestUsedNeverBelowEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTransit = 5
		var l ledger.Ledger
		held := map[string]int64{}         // bytes by loaded model
		inTransit := map[string][2]int64{} // bytes and latest arrival by order
		read, readAt := engine.State{}, 0  // the last state that the owner read, and when
		for now := 1; now < 40; now++ {
			for id, order := range inTransit {
				if rapid.Bool().Draw(t, "arrives") || int64(now) >= order[1] {
					held[id] = order[0]
					delete(inTransit, id)
				}
			}
			id := fmt.Sprint(now)
			bytes := int64(rapid.IntRange(1, 9).Draw(t, "bytes"))
			switch rapid.SampledFrom([]string{"accepted", "lost", "flying", "refused", "read", "none"}).Draw(t, "step") {
			case "accepted":
				l.Add(load(id, id, bytes))
				held[id] = bytes
				l.Accept(id, at(now))
			case "lost":
				l.Add(load(id, id, bytes))
				l.MarkUnknown(id, at(now+maxTransit))
			case "flying":
				l.Add(load(id, id, bytes))
				inTransit[id] = [2]int64{bytes, int64(now + maxTransit)}
				l.MarkUnknown(id, at(now+maxTransit))
			case "refused":
				l.Add(load(id, id, bytes))
				l.Remove(id)
			case "read":
				read, readAt = engine.State{}, now
				for model, bytes := range held {
					read.Loaded = append(read.Loaded, loaded(model, bytes))
				}
				l.Observe(read, at(readAt))
			}
			var engineMax int64
			for _, bytes := range held {
				engineMax += bytes
			}
			for _, order := range inTransit {
				engineMax += order[0]
			}
			require.GreaterOrEqual(t, l.Used(read, noSizes), engineMax)
		}
	})
}
