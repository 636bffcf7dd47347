package demand

import (
	"math"
	"sync"
	"time"
)

// Total is the demand for a model over all nodes.
type Total struct {
	// Rate is the number of requests a second, TokenRate that of prompt
	// tokens, both averaged over RateTime.
	Rate      float64
	TokenRate float64
	Waiting   int
	// Running counts requests at engines, by their ids.
	Running map[string]int
	// LastSeen is when a request was last reported.
	LastSeen time.Time
}

// RateTime is the time constant of the averages.
const RateTime = 12 * time.Second

// reportKeep is how long a node's last report counts.
const reportKeep = 2 * time.Second

// Book adds up the reports of all nodes. Its methods are safe for concurrent
// use; times are passed in.
type Book struct {
	mu     sync.Mutex
	nodes  map[string]*nodeReport
	models map[ModelKey]*Total
	last   time.Time
}

type nodeReport struct {
	report Report
	at     time.Time
	counts map[ModelKey]Model
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{nodes: map[string]*nodeReport{}, models: map[ModelKey]*Total{}}
}

// Add takes a node's report, and tells whether requests wait that did not
// before. Counts of a node that was started anew count from zero.
func (b *Book) Add(report Report, now time.Time) (urgent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	node := b.nodes[report.Node]
	known := node != nil && node.report.Started == report.Started
	if !known {
		node = &nodeReport{counts: map[ModelKey]Model{}}
		b.nodes[report.Node] = node
	}
	for _, m := range report.Models {
		key := ModelKey{m.Service, m.Model}
		before := node.counts[key]
		if m.Arrived > before.Arrived {
			total := b.total(key)
			total.Rate += float64(m.Arrived-before.Arrived) / RateTime.Seconds()
			total.TokenRate += float64(m.Tokens-before.Tokens) / RateTime.Seconds()
			total.LastSeen = now
		}
		urgent = urgent || m.Waiting > before.Waiting
		node.counts[key] = m
	}
	node.report = report
	node.at = now
	return urgent
}

// Nodes returns the number of nodes that reported lately.
func (b *Book) Nodes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.nodes)
}

func (b *Book) total(key ModelKey) *Total {
	total, ok := b.models[key]
	if !ok {
		total = &Total{}
		b.models[key] = total
	}
	return total
}

// decay ages the averages to now.
func (b *Book) decay(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	factor := math.Exp(-now.Sub(b.last).Seconds() / RateTime.Seconds())
	for _, total := range b.models {
		total.Rate *= factor
		total.TokenRate *= factor
	}
	b.last = now
}

// Totals returns the demand now, and the adapters in use.
func (b *Book) Totals(now time.Time) (map[ModelKey]Total, map[AdapterUse]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	out := make(map[ModelKey]Total, len(b.models))
	for key, total := range b.models {
		copied := *total
		copied.Running = map[string]int{}
		out[key] = copied
	}
	used := map[AdapterUse]bool{}
	for name, node := range b.nodes {
		if now.Sub(node.at) > reportKeep {
			delete(b.nodes, name)
			continue
		}
		addNode(out, used, node.report)
	}
	return out, used
}

func addNode(out map[ModelKey]Total, used map[AdapterUse]bool, report Report) {
	for _, m := range report.Models {
		key := ModelKey{m.Service, m.Model}
		total := out[key]
		if total.Running == nil {
			total.Running = map[string]int{}
		}
		total.Waiting += m.Waiting
		for engine, n := range m.Running {
			total.Running[engine] += n
		}
		out[key] = total
	}
	for _, use := range report.Adapters {
		used[use] = true
	}
}
