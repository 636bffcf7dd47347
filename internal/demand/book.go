package demand

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Total is the demand for a model over all nodes.
type Total struct {
	Rate      float64
	TokenRate float64
	Waiting   int
	// Running counts requests at engines, by their ids.
	Running map[string]int
}

// RunningSum returns the requests at all engines.
func (t Total) RunningSum() int {
	n := 0
	for _, running := range t.Running {
		n += running
	}
	return n
}

// reportKeep is how long a node's last report counts.
const reportKeep = 4 * time.Second

// Book adds up the newest reports of all nodes. It keeps nothing else, so that
// a node that begins to own engines knows the demand after one report of each.
// Its methods are safe for concurrent use; times are passed in.
type Book struct {
	mu    sync.Mutex
	nodes map[string]nodeReport
}

type nodeReport struct {
	report Report
	at     time.Time
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{nodes: map[string]nodeReport{}}
}

// Add takes a node's report, and tells whether more requests wait than before.
func (b *Book) Add(report Report, now time.Time) (urgent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := waiting(b.nodes[report.Node].report)
	b.nodes[report.Node] = nodeReport{report: report, at: now}
	for key, n := range waiting(report) {
		urgent = urgent || n > before[key]
	}
	return urgent
}

// waiting returns the models that requests wait for.
func waiting(report Report) map[ModelKey]int {
	out := map[ModelKey]int{}
	for _, m := range report.Models {
		if m.Waiting > 0 {
			out[ModelKey{m.Service, m.Model}] = m.Waiting
		}
	}
	return out
}

// Nodes returns the addresses of the nodes that reported lately.
func (b *Book) Nodes() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.nodes))
}

// Totals is what all nodes together report.
type Totals struct {
	Models map[ModelKey]Total
	// Used are the adapters in use.
	Used map[AdapterUse]bool
	// reach counts, for each engine, the nodes that reach it less those that
	// do not.
	reach map[string]int
}

// Unreachable reports whether more nodes fail to reach an engine than reach it.
func (t Totals) Unreachable(engine string) bool {
	return t.reach[engine] < 0
}

// Totals returns the demand now.
func (b *Book) Totals(now time.Time) Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	totals := Totals{Models: map[ModelKey]Total{}, Used: map[AdapterUse]bool{}, reach: map[string]int{}}
	for name, node := range b.nodes {
		if now.Sub(node.at) > reportKeep {
			delete(b.nodes, name)
			continue
		}
		totals.add(node.report)
	}
	return totals
}

func (t Totals) add(report Report) {
	for _, m := range report.Models {
		key := ModelKey{m.Service, m.Model}
		total := t.Models[key]
		if total.Running == nil {
			total.Running = map[string]int{}
		}
		total.Rate += m.Rate
		total.TokenRate += m.TokenRate
		total.Waiting += m.Waiting
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
