package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelEngine is a model of an engine that loses responses and executes orders
// late. It checks the number of accepted orders when it executes one.
type modelEngine struct {
	accepted int64
	models   map[string][]string
	late     []lateOrder
}

// lateOrder is an order that the engine executes late.
type lateOrder struct {
	order    Order
	accepted int64
}

// capacity is the number of models that fit in an engine's memory.
const capacity = 3

// execute executes an order if the number of accepted orders matches, and
// reports whether it did.
func (e *modelEngine) execute(t *rapid.T, order Order, accepted int64) bool {
	if accepted != e.accepted {
		return false
	}
	e.accepted++
	if order.Unload {
		delete(e.models, order.Model)
	} else {
		e.models[order.Model] = nil
	}
	require.LessOrEqual(t, len(e.models), capacity, "an engine crashes when its memory is exceeded")
	return true
}

// fates are the possible outcomes of sending an order.
const (
	answered = iota
	responseLost
	executedLate
	lost
	fates
)

// send sends an order to the engine and simulates the given fate.
func (e *modelEngine) send(t *rapid.T, order Order, accepted int64, fate int) Result {
	switch fate {
	case responseLost:
		e.execute(t, order, accepted)
		return Unknown
	case executedLate:
		e.late = append(e.late, lateOrder{order, accepted})
		return Unknown
	case lost:
		return Unknown
	}
	if e.execute(t, order, accepted) {
		return Accepted
	}
	return Conflict
}

// TestMemoryNeverExceeded draws orders, fates, entries and reports. It checks
// that an owner that relies on the tracker never exceeds an engine's memory,
// and that the tracker becomes ready again in the end.
func TestMemoryNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := &modelEngine{models: map[string][]string{}}
		tracker := NewTracker(Engine{ID: "e"})
		now := start
		report := func() {
			tracker.CallInFlight = true
			tracker.Reported(Report{Accepted: engine.accepted, Models: engine.models}, now, now)
		}
		report()
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				if tracker.Ready() {
					sendRandomOrder(t, engine, tracker, now)
				}
			},
			"delayed execution": func(t *rapid.T) {
				if len(engine.late) > 0 {
					next := engine.late[0]
					engine.late = engine.late[1:]
					engine.execute(t, next.order, next.accepted)
				}
			},
			"entry": func(*rapid.T) { tracker.Observed(engine.models, now) },
			"time passes": func(*rapid.T) {
				now = now.Add(ReportLag)
				if tracker.NeedsReport(now) {
					report()
				}
			},
		})
		engine.late = nil
		for range 10 {
			now = now.Add(10 * time.Second)
			if tracker.NeedsReport(now) {
				report()
			}
		}
		require.True(t, tracker.Ready())
	})
}

// sendRandomOrder sends a random order that the tracker allows.
func sendRandomOrder(t *rapid.T, engine *modelEngine, tracker *Tracker, now time.Time) {
	order := Order{Model: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "model")}
	_, loaded := tracker.Models[order.Model]
	order.Unload = loaded
	if !loaded && used(tracker)+1 > capacity {
		return
	}
	tracker.Sent(order, now, time.Second)
	fate := rapid.IntRange(0, fates-1).Draw(t, "fate")
	tracker.Answered(order, engine.send(t, order, tracker.Accepted, fate), now)
}

// used returns the number of models whose memory counts as used.
func used(tracker *Tracker) int {
	n := len(tracker.Models)
	if reserved := tracker.Reserved(); reserved != "" && tracker.Models[reserved] == nil {
		n++
	}
	return n
}
