package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func keyOf(team string) Key { return Key{Service: "s", Team: team} }

// TestShares checks the max-min fair parts of a capacity.
func TestShares(t *testing.T) {
	require.Equal(t, []float64{5, 1, 4}, Shares([]float64{100, 1, 4}, 10))
	require.Equal(t, []float64{5, 5}, Shares([]float64{100, 7}, 10))
	require.Equal(t, []float64{2, 3}, Shares([]float64{2, 3}, 10))
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 10).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 300).Draw(t, "capacity")
		shares := Shares(demands, capacity)
		sum, wanted, level := 0.0, 0.0, 0.0
		for i := range shares {
			require.LessOrEqual(t, shares[i], demands[i])
			sum += shares[i]
			wanted += demands[i]
			level = max(level, shares[i])
		}
		require.InDelta(t, min(capacity, wanted), sum, 1e-6)
		for i := range shares {
			require.True(t, shares[i] == demands[i] || shares[i] >= level-1e-6, "a team gets less than another without having asked for less")
		}
	})
}

// TestLeads guards against leads of teams while no others wait, and against leads of teams that wait.
func TestLeads(t *testing.T) {
	a := NewAggregator()
	a.Add("n1", []Use{{Key: keyOf("flood"), Served: 90, Refused: 100}}, at(0))
	require.Empty(t, a.Leads(at(0)), "no other team asks for anything")
	a.Add("n2", []Use{{Key: keyOf("calm"), Served: 10}}, at(100*time.Millisecond))
	require.Empty(t, a.Leads(at(100*time.Millisecond)), "no other team waits")
	a.Add("n2", []Use{{Key: keyOf("calm"), Waiting: 5}}, at(200*time.Millisecond))
	leads := a.Leads(at(200 * time.Millisecond))
	require.Len(t, leads, 1)
	require.Equal(t, keyOf("flood"), leads[0].Key)
	require.Positive(t, leads[0].Ahead)
	require.Positive(t, leads[0].PerSecond)
	other := Use{Key: Key{Service: "s", Priority: 1, Team: "calm"}, Waiting: 5}
	b := NewAggregator()
	b.Add("n1", []Use{{Key: keyOf("flood"), Served: 90, Refused: 100}, other}, at(0))
	require.Empty(t, b.Leads(at(0)), "the team that waits has another priority")
}

// TestWaitingOfLostNode guards against teams that are held back for requests of a node that is gone.
func TestWaitingOfLostNode(t *testing.T) {
	a := NewAggregator()
	a.Add("gone", []Use{{Key: keyOf("calm"), Served: 1, Waiting: 50}}, at(0))
	for ms := time.Duration(0); ms <= 4000; ms += 250 {
		a.Add("n1", []Use{{Key: keyOf("flood"), Served: 50, Refused: 50}}, at(ms*time.Millisecond))
		if ms == 0 {
			require.NotEmpty(t, a.Leads(at(0)))
		}
	}
	require.Empty(t, a.Leads(at(4*time.Second)))
	require.Empty(t, a.waiting)
}

// TestReport guards against reports that say something without use, and against use that is lost
// because a report has no room for it.
func TestReport(t *testing.T) {
	m := NewMeter()
	require.Empty(t, m.Report(at(0)))
	const teams = MaxEntries + 10
	for i := range teams {
		m.Served(keyOf(fmt.Sprint(i)), float64(1+i))
	}
	first, second := m.Report(at(0)), m.Report(at(0))
	require.Len(t, first, MaxEntries)
	require.Len(t, second, teams-MaxEntries)
	require.EqualValues(t, teams, first[0].Served, "the largest use comes first")
	require.Empty(t, m.Report(at(0)))
	m.AddWaiting(keyOf("w"), 3)
	require.Equal(t, []Use{{Key: keyOf("w"), Waiting: 3}}, m.Report(at(0)))
	require.Equal(t, []Use{{Key: keyOf("w"), Waiting: 3}}, m.Report(at(0)), "waiting requests are reported while they wait")
	m.AddWaiting(keyOf("w"), -3)
	require.Empty(t, m.Report(at(0)))
	require.Empty(t, m.Report(at(time.Minute)))
	require.Empty(t, m.teams, "the state of idle teams is kept")
	var none *Meter
	none.Served(keyOf("a"), 1)
	require.Empty(t, none.Report(at(0)))
	require.Empty(t, none.Holds([]Lead{{}}, at(0)))
}

// TestParts guards against limits of nodes that add up to more than the team's fair share.
func TestParts(t *testing.T) {
	a := NewAggregator()
	meters := map[string]*Meter{"n1": NewMeter(), "n2": NewMeter(), "n3": NewMeter()}
	meters["n1"].Served(keyOf("flood"), 60)
	meters["n1"].Refused(keyOf("flood"), 50)
	meters["n2"].Served(keyOf("flood"), 30)
	meters["n2"].AddWaiting(keyOf("flood"), 20)
	meters["n3"].AddWaiting(keyOf("calm"), 20)
	for _, name := range []string{"n1", "n2", "n3"} {
		a.Add(name, meters[name].Report(at(0)), at(0))
	}
	leads := a.Leads(at(0))
	require.Len(t, leads, 1)
	rate, ahead := 0.0, 0.0
	for _, m := range meters {
		for _, h := range m.Holds(leads, at(0)) {
			rate += h.PerSecond
			ahead += h.Ahead
		}
	}
	require.InDelta(t, leads[0].PerSecond, rate, 1e-9)
	require.InDelta(t, leads[0].Ahead, ahead, 1e-9)
	require.Empty(t, meters["n3"].Holds(leads, at(0)), "a node that has nothing of the team")
}

// TestScarce checks from which load on slots count as scarce.
func TestScarce(t *testing.T) {
	require.True(t, Scarce(10, 16))
	require.False(t, Scarce(9, 16))
	require.True(t, Scarce(0, 0), "slots that are not known")
}
