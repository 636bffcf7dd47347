package demand

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/inventory"
)

// Total is the demand for a model summed over all nodes.
type Total struct {
	// Rate is in requests per second, TokenRate in prompt tokens per second.
	Rate      float64
	TokenRate float64
	// LateRate is the rate of requests that a slow engine made late.
	LateRate float64
	// CooldownRate is the rate of requests at nodes for which all engines that hold
	// the model are in cooldown, Cooldown the longest time left of these.
	CooldownRate float64
	Cooldown     time.Duration
	// Waiting is the number of requests that no engine can run now.
	Waiting int
	// WaitingAt is the number of further ones that need an engine of a software version,
	// by that version.
	WaitingAt map[string]int
	// Running is the number of running requests by engine id.
	Running map[string]int
}

// RunningSum returns the number of running requests on all engines.
func (t Total) RunningSum() int {
	n := 0
	for _, running := range t.Running {
		n += running
	}
	return n
}

// reportTTL is the time for which a node's last report is used.
const reportTTL = 4 * time.Second

// Aggregator aggregates the latest reports of all nodes. It has no other state,
// so a new owner knows the demand after one report from each node. Its methods
// are safe for concurrent use and do not read the clock.
type Aggregator struct {
	shares *fairshare.Aggregator

	mu    sync.Mutex
	nodes map[string]nodeReport
}

// nodeReport is a node's latest report and when it was received.
type nodeReport struct {
	report     Report
	receivedAt time.Time
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{shares: fairshare.NewAggregator(), nodes: map[string]nodeReport{}}
}

// Add records a node's report. urgent reports whether more requests wait for
// some model than in the node's previous report. known is false if the report is a change
// of one that is not known; it is not recorded then.
func (a *Aggregator) Add(report Report, now time.Time) (urgent, known bool) {
	a.shares.Add(report.Node, report.Uses, now)
	report.Uses = nil
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.nodes[report.Node]
	report, known = report.merge(last.report, now.Sub(last.receivedAt))
	if !known {
		return false, false
	}
	before := waiting(last.report)
	a.nodes[report.Node] = nodeReport{report: report, receivedAt: now}
	for key, n := range waiting(report) {
		urgent = urgent || n > before[key]
	}
	return urgent, true
}

// Leads returns the teams that are ahead of their fair share while others wait.
func (a *Aggregator) Leads(now time.Time) []fairshare.Lead {
	return a.shares.Leads(now)
}

// waitingKey identifies requests that wait for the same: a model, on an engine that meets
// a requirement.
type waitingKey struct {
	model    ModelKey
	required inventory.Requirement
}

// waiting returns the numbers of waiting requests.
func waiting(report Report) map[waitingKey]int {
	out := map[waitingKey]int{}
	for _, m := range report.Models {
		key := ModelKey{m.Service, m.Model}
		if m.Waiting > 0 {
			out[waitingKey{model: key}] = m.Waiting
		}
		for version, n := range m.WaitingAt {
			out[waitingKey{key, inventory.OnlyVersion(version)}] = n
		}
	}
	return out
}

// Nodes returns the sorted addresses of the nodes whose reports have not
// expired.
func (a *Aggregator) Nodes(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpired(now)
	return slices.Sorted(maps.Keys(a.nodes))
}

// dropExpired drops expired reports. The caller holds mu.
func (a *Aggregator) dropExpired(now time.Time) {
	maps.DeleteFunc(a.nodes, func(_ string, node nodeReport) bool { return now.Sub(node.receivedAt) > reportTTL })
}

// Totals is the sum of the reports of all nodes.
type Totals struct {
	Models map[ModelKey]Total
	// Used holds the adapters in use.
	Used map[AdapterUse]bool
	// reach is, by engine id, the number of nodes that reach the engine minus the
	// number of nodes that do not.
	reach map[string]int
}

// Unreachable reports whether more nodes fail to connect to an engine than
// succeed.
func (t Totals) Unreachable(engine string) bool {
	return t.reach[engine] < 0
}

// Totals returns the demand now.
func (a *Aggregator) Totals(now time.Time) Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	totals := Totals{Models: map[ModelKey]Total{}, Used: map[AdapterUse]bool{}, reach: map[string]int{}}
	a.dropExpired(now)
	for _, node := range a.nodes {
		totals.add(node.report, now.Sub(node.receivedAt))
	}
	return totals
}

// add adds a node's report that was received some time ago.
func (t Totals) add(report Report, age time.Duration) {
	for _, m := range report.Models {
		key := ModelKey{m.Service, m.Model}
		total := t.Models[key]
		if total.Running == nil {
			total.Running = map[string]int{}
			total.WaitingAt = map[string]int{}
		}
		total.Rate += m.Rate
		total.TokenRate += m.TokenRate
		total.LateRate += m.LateRate
		total.Waiting += m.Waiting
		if left := time.Duration(m.CooldownMS)*time.Millisecond - age; left > 0 {
			total.CooldownRate += m.Rate
			total.Cooldown = max(total.Cooldown, left)
		}
		for version, n := range m.WaitingAt {
			total.WaitingAt[version] += n
		}
		for engine, n := range m.Running {
			total.Running[engine] += n
		}
		t.Models[key] = total
	}
	for _, use := range report.Adapters {
		t.Used[use] = true
	}
	for _, engine := range report.Reached {
		t.reach[engine]++
	}
	for _, engine := range report.Unreachable {
		t.reach[engine]--
	}
}
