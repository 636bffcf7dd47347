package demand

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawReport draws the report of a node with a few models.
func drawReport(t *rapid.T) Report {
	report := Report{Node: "n"}
	for i := range 4 {
		if !rapid.Bool().Draw(t, "in use") {
			continue
		}
		m := Model{
			Service:   "s",
			Model:     fmt.Sprint("m", i),
			Rate:      rapid.Float64Range(0, 100).Draw(t, "rate"),
			TokenRate: rapid.Float64Range(0, 1e6).Draw(t, "tokens"),
			Waiting:   rapid.IntRange(0, 2).Draw(t, "waiting"),
			Running:   map[string]int{},
			WaitingAt: map[string]int{},
		}
		if n := rapid.IntRange(0, 2).Draw(t, "running"); n > 0 {
			m.Running["e"] = n
		}
		report.Models = append(report.Models, m)
		report.Adapters = append(report.Adapters, AdapterUse{"e", m.Model, "a"})
	}
	return report
}

// TestChangesGiveWholeReport guards against an owner whose totals differ from what nodes
// report, whichever reports and responses are lost and whenever it starts again.
func TestChangesGiveWholeReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aggregator, now := NewAggregator(), time.Unix(1000, 0)
		var sent *Sent
		for number := range int64(rapid.IntRange(1, 20).Draw(t, "reports")) {
			now = now.Add(time.Duration(rapid.IntRange(10, 2000).Draw(t, "passed_ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				aggregator = NewAggregator()
			}
			whole := drawReport(t)
			change, after := whole.Since(sent, number+1, now)
			sent = nil
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				continue
			}
			if _, known := aggregator.Add(change, now); !known {
				require.NotZero(t, change.Base, "a whole report is always known")
				continue
			}
			totals := aggregator.Totals(now)
			require.Len(t, totals.Models, len(whole.Models))
			for _, m := range whole.Models {
				total := totals.Models[m.key()]
				require.InEpsilon(t, 1+m.Rate, 1+total.Rate, 2*changeShare)
				require.InEpsilon(t, 1+m.TokenRate, 1+total.TokenRate, 2*changeShare)
				require.Equal(t, m.Waiting, total.Waiting)
				require.True(t, maps.Equal(m.Running, total.Running))
				require.True(t, totals.Used[AdapterUse{"e", m.Model, "a"}])
			}
			if rapid.IntRange(0, 4).Draw(t, "response lost") > 0 {
				sent = after
			}
		}
	})
}

// TestUnchangedReportIsShort guards against reports that list all models that a node has used
// lately, four times a second.
func TestUnchangedReportIsShort(t *testing.T) {
	now := time.Unix(1000, 0)
	whole := func() Report {
		return Report{Node: "n", Models: []Model{{Service: "s", Model: "m", Rate: 1.23456}, {Service: "s", Model: "idle", Rate: 2.5}}}
	}
	first, sent := whole().Since(nil, 1, now)
	require.Len(t, first.Models, 2)
	later := now.Add(250 * time.Millisecond)
	next := whole().decayed(250 * time.Millisecond)
	next.Models[0].Running = map[string]int{"e": 1}
	change, _ := next.Since(sent, 2, later)
	require.EqualValues(t, 1, change.Base)
	require.Len(t, change.Models, 1)
	require.Equal(t, "m", change.Models[0].Model)
}
