package keepalive

import (
	"fmt"
	"time"

	"chestnutgauge/internal/bench/report"
)

// User is a customer profile: its demand and the weight of waiting.
type User struct {
	Name   string
	Models int
	// Weight is the cost of one second of a caller's wait, in seconds of idle
	// accelerator time.
	Weight float64
}

// timeouts are the fixed timeouts with which the policies are compared.
var timeouts = []time.Duration{
	0, 10 * time.Second, 20 * time.Second, 30 * time.Second, 45 * time.Second, time.Minute, 90 * time.Second,
	2 * time.Minute, 3 * time.Minute, 4 * time.Minute, 5 * time.Minute, 7 * time.Minute, 10 * time.Minute,
	15 * time.Minute, 20 * time.Minute, 30 * time.Minute, 45 * time.Minute, time.Hour, 90 * time.Minute,
	2 * time.Hour, 3 * time.Hour, 4 * time.Hour, 6 * time.Hour, 8 * time.Hour, 12 * time.Hour, 24 * time.Hour,
}

// Run simulates all policies for one user.
func Run(d Demand, user User) report.Table {
	d.Models = user.Models
	traces := generate(d)
	table := report.Table{
		Title:   fmt.Sprintf("%s: %d models, weight %g, %d days, seed %d", user.Name, user.Models, user.Weight, d.Days, d.Seed),
		Columns: []string{"policy", "idle hours", "loads", "p50", "p95", "p99", "cost (hours)", "best fixed timeout of the same p99", "its idle hours", "idle hours saved"},
	}
	var baseline []outcome
	for _, timeout := range timeouts {
		baseline = append(baseline, simulate(traces, fixed(timeout)))
	}
	best := 0
	for i := range baseline {
		if baseline[i].cost(user.Weight) < baseline[best].cost(user.Weight) {
			best = i
		}
	}
	addRow(&table, "fixed "+timeouts[best].String()+" (least cost)", baseline[best], user, baseline)
	for _, i := range []int{5, 12, 17} {
		addRow(&table, "fixed "+timeouts[i].String(), baseline[i], user, baseline)
	}
	addRow(&table, "break-even", simulate(traces, breakEven{user.Weight}), user, baseline)
	addRow(&table, "break-even, callers counted", simulate(traces, breakEvenCallers{newHistogram(user.Models, user.Weight)}), user, baseline)
	addRow(&table, "histogram", simulate(traces, newHistogram(user.Models, user.Weight)), user, baseline)
	return table
}

// cost returns the idle time plus the weighted sum of waits.
func (o *outcome) cost(weight float64) time.Duration {
	waits := o.waits.Mean() * float64(o.waits.TotalCount())
	return o.idle + time.Duration(weight*waits*float64(time.Millisecond))
}

func addRow(table *report.Table, name string, o outcome, user User, baseline []outcome) {
	match, matched := "none", ""
	saved := ""
	if i, ok := matchingTimeout(o, baseline); ok && baseline[i].idle > 0 {
		match = timeouts[i].String()
		matched = fmt.Sprintf("%.1f", baseline[i].idle.Hours())
		saved = fmt.Sprintf("%.0f%%", 100*(1-o.idle.Hours()/baseline[i].idle.Hours()))
	}
	table.Add(name, fmt.Sprintf("%.1f", o.idle.Hours()), o.loads, o.at(50), o.at(95), o.at(99),
		fmt.Sprintf("%.1f", o.cost(user.Weight).Hours()), match, matched, saved)
}

// matchingTimeout returns the index of the shortest fixed timeout whose p99 wait
// is at most that of o.
func matchingTimeout(o outcome, baseline []outcome) (int, bool) {
	for i := range baseline {
		if baseline[i].at(99) <= o.at(99) {
			return i, true
		}
	}
	return 0, false
}
