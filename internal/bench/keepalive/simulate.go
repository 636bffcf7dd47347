package keepalive

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutgauge/internal/keepalive"
)

// serviceTime is the time that a request keeps its replica busy.
const serviceTime = 4 * time.Second

// policy determines the idle timeout of replicas.
type policy interface {
	// observe records an idle gap that ended with a burst of callers.
	observe(model int, gap time.Duration, callers int)
	// idleTimeout returns how long a replica that has become idle now stays loaded.
	// load is the duration of a load of the model.
	idleTimeout(model int, load time.Duration) time.Duration
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

// simulate runs a policy over the traces, with one replica per model. The arrivals
// of all models are processed in chronological order, so that a policy that learns
// from all models uses past arrivals only.
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
	// ready is the end of the latest load, busyUntil the end of the last request.
	ready     time.Duration
	busyUntil time.Duration
	// keepAlive is how long the replica stays loaded after busyUntil.
	keepAlive time.Duration
}

func (r *replica) arrive(model int, t trace, i int, p policy, result *outcome) {
	at := t.arrivals[i]
	gap := at - r.busyUntil
	if r.started && gap > 0 {
		result.idle += min(gap, r.keepAlive)
		p.observe(model, gap, burstSize(t.arrivals[i:]))
	}
	if !r.started || gap > r.keepAlive {
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
	r.busyUntil = max(r.busyUntil, at+wait+serviceTime)
	r.keepAlive = p.idleTimeout(model, t.load)
}

// burstSize returns the number of arrivals within burstWindow of the first.
func burstSize(arrivals []time.Duration) int {
	n := 0
	for n < len(arrivals) && arrivals[n]-arrivals[0] < burstWindow {
		n++
	}
	return n
}

// burstWindow is the time within which callers count as one burst.
const burstWindow = 2 * time.Second

// fixed is a fixed timeout.
type fixed time.Duration

func (fixed) observe(int, time.Duration, int) {}

func (f fixed) idleTimeout(int, time.Duration) time.Duration { return time.Duration(f) }

// breakEven is the ski-rental policy: the timeout equals the cost of a cold start.
type breakEven struct{ weight float64 }

func (breakEven) observe(int, time.Duration, int) {}

func (b breakEven) idleTimeout(_ int, load time.Duration) time.Duration {
	return keepalive.BreakEven(keepalive.Cost{ColdStart: load, Weight: b.weight})
}

// breakEvenCallers is the ski-rental policy with the cost of a cold start
// multiplied by the expected number of waiting callers.
type breakEvenCallers struct{ *histogram }

func (b breakEvenCallers) idleTimeout(model int, load time.Duration) time.Duration {
	return keepalive.BreakEven(keepalive.Cost{
		ColdStart: load, Weight: b.weight, Callers: b.perModel[model].Callers(),
	})
}

// histogram is the policy of least expected cost, from histograms of idle gaps.
type histogram struct {
	settings  keepalive.Settings
	weight    float64
	perModel  []keepalive.History
	allModels keepalive.History
}

func newHistogram(models int, weight float64) *histogram {
	return &histogram{settings: keepalive.DefaultSettings(), weight: weight, perModel: make([]keepalive.History, models)}
}

func (h *histogram) observe(model int, gap time.Duration, callers int) {
	h.perModel[model].Observe(h.settings, gap, callers)
	h.allModels.Observe(h.settings, gap, callers)
}

func (h *histogram) idleTimeout(model int, load time.Duration) time.Duration {
	return keepalive.IdleTimeout(h.settings, &h.perModel[model], &h.allModels, keepalive.Cost{
		ColdStart: load, Weight: h.weight, Callers: h.perModel[model].Callers(),
	})
}
