package keepalive

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutgauge/internal/keepalive"
)

// serviceTime is the time that a request keeps its replica busy.
const serviceTime = 4 * time.Second

// policy decides how long a replica that has just fallen idle stays loaded.
type policy interface {
	// observe takes an idle gap that ended with a number of callers.
	observe(model int, gap time.Duration, callers int)
	keepFor(model int, load time.Duration) time.Duration
}

// outcome is the result of one policy.
type outcome struct {
	idle  time.Duration
	waits *hdrhistogram.Histogram
	loads int
}

func newOutcome() outcome {
	return outcome{waits: hdrhistogram.New(1, 10*time.Minute.Milliseconds(), 3)}
}

func (o *outcome) at(quantile float64) time.Duration {
	return time.Duration(o.waits.ValueAtQuantile(quantile)) * time.Millisecond
}

// simulate runs a policy over the traces, one replica a model. The arrivals of
// all models are taken in the order of time, so that a policy learns from all
// models only what is past.
func simulate(traces []trace, p policy) outcome {
	result := newOutcome()
	replicas := make([]replica, len(traces))
	queue := newArrivals(traces)
	for {
		model, i, ok := queue.next()
		if !ok {
			break
		}
		replicas[model].arrive(model, traces[model], i, p, &result)
	}
	return result
}

// replica is one model's replica.
type replica struct {
	started bool
	// ready is when the newest load ended or ends, and busyTo when the last
	// request ends.
	ready  time.Duration
	busyTo time.Duration
	// keep is how long it stays loaded after busyTo.
	keep time.Duration
}

func (r *replica) arrive(model int, t trace, i int, p policy, result *outcome) {
	at := t.arrivals[i]
	gap := at - r.busyTo
	if r.started && gap > 0 {
		result.idle += min(gap, r.keep)
		p.observe(model, gap, together(t.arrivals[i:]))
	}
	if !r.started || gap > r.keep {
		load := t.load
		if t.remote[i] {
			load = time.Duration(float64(load) * remoteFactor)
		}
		r.ready = at + load
		result.loads++
	}
	r.started = true
	wait := max(0, r.ready-at)
	_ = result.waits.RecordValue(wait.Milliseconds())
	r.busyTo = max(r.busyTo, at+wait+serviceTime)
	r.keep = p.keepFor(model, t.load)
}

// together returns the number of arrivals within burstWindow of the first.
func together(arrivals []time.Duration) int {
	n := 0
	for n < len(arrivals) && arrivals[n]-arrivals[0] < burstWindow {
		n++
	}
	return n
}

// burstWindow is the time in which callers count as having come together.
const burstWindow = 2 * time.Second

// fixed is a fixed timeout.
type fixed time.Duration

func (fixed) observe(int, time.Duration, int) {}

func (f fixed) keepFor(int, time.Duration) time.Duration { return time.Duration(f) }

// breakEven is the ski rental policy.
type breakEven struct{ weight float64 }

func (breakEven) observe(int, time.Duration, int) {}

func (b breakEven) keepFor(_ int, load time.Duration) time.Duration {
	return keepalive.BreakEven(keepalive.Cost{ColdStart: load, Weight: b.weight})
}

// breakEvenCallers is the ski rental policy that counts the callers who are
// expected to wait together.
type breakEvenCallers struct{ *histogram }

func (b breakEvenCallers) keepFor(model int, load time.Duration) time.Duration {
	return keepalive.BreakEven(keepalive.Cost{
		ColdStart: load, Weight: b.weight, Callers: b.own[model].Callers(),
	})
}

// histogram is the policy of least expected cost.
type histogram struct {
	settings keepalive.Settings
	weight   float64
	own      []keepalive.History
	all      keepalive.History
}

func newHistogram(models int, weight float64) *histogram {
	return &histogram{settings: keepalive.DefaultSettings(), weight: weight, own: make([]keepalive.History, models)}
}

func (h *histogram) observe(model int, gap time.Duration, callers int) {
	h.own[model].Observe(h.settings, gap, callers)
	h.all.Observe(h.settings, gap, callers)
}

func (h *histogram) keepFor(model int, load time.Duration) time.Duration {
	return keepalive.KeepFor(h.settings, &h.own[model], &h.all, keepalive.Cost{
		ColdStart: load, Weight: h.weight, Callers: h.own[model].Callers(),
	})
}
