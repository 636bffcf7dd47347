package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// trackerOf returns the tracker of an engine that has accepted a number of
// orders and has models loaded.
func trackerOf(accepted int64, models ...string) *Tracker {
	tracker := NewTracker(Engine{ID: "e", StartedAtMS: 1})
	loaded := map[string][]string{}
	for _, model := range models {
		loaded[model] = nil
	}
	tracker.CallInFlight = true
	tracker.Reported(Report{StartedAtMS: 1, Accepted: accepted, Models: loaded}, start, start)
	return tracker
}

// TestEntryBeforeAnswer checks that an order counts once if the engine's entry
// shows it as executed before the response to the order arrives.
func TestEntryBeforeAnswer(t *testing.T) {
	tracker := trackerOf(3, "m")
	order := Order{Unload: true, Model: "m"}
	tracker.Sent(order, start, 0)
	tracker.Observed(map[string][]string{}, start)
	tracker.Answered(order, Accepted, start)
	require.EqualValues(t, 4, tracker.Accepted, "the order counts once")
	tracker.Observed(map[string][]string{}, start)
	require.True(t, tracker.Ready())
	require.Empty(t, tracker.Models)
}

// TestLostOrderReservesMemory checks that the memory of an order without a
// response stays reserved until the engine can no longer execute the order.
func TestLostOrderReservesMemory(t *testing.T) {
	tracker := trackerOf(3)
	order := Order{Model: "m"}
	tracker.Sent(order, start, time.Second)
	tracker.Answered(order, Unknown, start)
	require.Equal(t, "m", tracker.Reserved(), "the engine may still execute it")
	require.True(t, tracker.Ready(), "the next order states the same number of accepted orders")

	later := start.Add(time.Second)
	tracker.CallInFlight = true
	tracker.Reported(Report{StartedAtMS: 1, Accepted: 3}, later, later)
	require.Equal(t, "m", tracker.Reserved(), "the engine may still execute it")

	next := Order{Model: "n"}
	tracker.Sent(next, later, time.Second)
	tracker.Answered(next, Accepted, later)
	require.Equal(t, "n", tracker.Reserved(), "the engine checks the number of accepted orders")
}

// TestStaleReport checks that a report from before an order does not revert it.
func TestStaleReport(t *testing.T) {
	tracker := trackerOf(3)
	order := Order{Model: "m", Adapter: "a"}
	tracker.Sent(order, start, 0)
	tracker.Answered(order, Accepted, start)
	tracker.CallInFlight = true
	tracker.Reported(Report{StartedAtMS: 1, Accepted: 3}, start.Add(ReportLag/4), start.Add(ReportLag/4))
	require.EqualValues(t, 4, tracker.Accepted)
}

// TestConflictRequestsReport checks that a conflict leads to a new report, and
// that the tracker adopts the engine's number of accepted orders.
func TestConflictRequestsReport(t *testing.T) {
	tracker := trackerOf(3)
	order := Order{Model: "m"}
	tracker.Sent(order, start, 0)
	tracker.Answered(order, Conflict, start)
	require.False(t, tracker.Ready())
	require.False(t, tracker.NeedsReport(start), "a report from before the conflict would be stale")
	later := start.Add(2 * ReportLag)
	require.True(t, tracker.NeedsReport(later))
	tracker.CallInFlight = true
	tracker.Reported(Report{StartedAtMS: 1, Accepted: 7}, later, later)
	require.True(t, tracker.Ready())
	require.EqualValues(t, 7, tracker.Accepted)
}

// TestLoadedBefore checks that models in an engine's first report count as
// loaded long ago, since a new owner can't know when they were loaded, and that
// a model in a later report counts as loaded then.
func TestLoadedBefore(t *testing.T) {
	tracker := trackerOf(3, "m")
	require.Zero(t, tracker.Models["m"].Since)
	later := start.Add(2 * ReportLag)
	tracker.CallInFlight = true
	tracker.Reported(Report{StartedAtMS: 1, Accepted: 4, Models: map[string][]string{"m": nil, "n": nil}}, later, later)
	require.Zero(t, tracker.Models["m"].Since)
	require.Equal(t, later, tracker.Models["n"].Since)
}
