package demand

import (
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

// Nodes returns the number of nodes that reported lately.
func (b *Book) Nodes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.nodes)
}

// Totals returns the demand now, and the adapters in use.
func (b *Book) Totals(now time.Time) (map[ModelKey]Total, map[AdapterUse]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	totals := map[ModelKey]Total{}
	used := map[AdapterUse]bool{}
	for name, node := range b.nodes {
		if now.Sub(node.at) > reportKeep {
			delete(b.nodes, name)
			continue
		}
		addNode(totals, used, node.report)
	}
	return totals, used
}

func addNode(totals map[ModelKey]Total, used map[AdapterUse]bool, report Report) {
	for _, m := range report.Models {
		key := ModelKey{m.Service, m.Model}
		total := totals[key]
		if total.Running == nil {
			total.Running = map[string]int{}
		}
		total.Rate += m.Rate
		total.TokenRate += m.TokenRate
		total.Waiting += m.Waiting
		for engine, n := range m.Running {
			total.Running[engine] += n
		}
		totals[key] = total
	}
	for _, use := range report.Adapters {
		used[use] = true
	}
}
