package standin

import (
	"context"
	"sync"
	"time"

	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/platform"
)

// Weights simulates the weight store: it determines how long a load takes.
type Weights struct {
	limits platform.WeightLimits
	// bytesPerSecond is the rate of each load while at most
	// limits.FullSpeedLoads run.
	bytesPerSecond float64
	adapterTime    time.Duration
	faults         *Faults

	mu       sync.Mutex
	loads    int
	adapters int
}

// NewWeights returns a weight store.
func NewWeights(limits platform.WeightLimits, bytesPerSecond float64, adapterTime time.Duration, faults *Faults) *Weights {
	return &Weights{limits: limits, bytesPerSecond: bytesPerSecond, adapterTime: adapterTime, faults: faults}
}

// Limits implements platform.Weights.
func (w *Weights) Limits(context.Context) (platform.WeightLimits, error) {
	return w.limits, nil
}

// maxFetchStep is the longest time for which a load runs at a constant speed
// before its speed is computed again from the number of loads.
const maxFetchStep = 50 * time.Millisecond

// fetch waits for the time that fetching a checkpoint takes. It returns false if
// ctx ends first.
func (w *Weights) fetch(ctx context.Context, bytes int64) bool {
	w.mu.Lock()
	w.loads++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.loads--
		w.mu.Unlock()
	}()
	for left := float64(bytes); left > 0; {
		speed := w.speed()
		step := min(maxFetchStep, time.Duration(left/speed*float64(time.Second))+time.Microsecond)
		if !pause.For(ctx, step) {
			return false
		}
		left -= speed * step.Seconds()
	}
	return true
}

// speed returns the current rate of each load in bytes per second.
func (w *Weights) speed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	speed := w.bytesPerSecond
	if w.loads > w.limits.FullSpeedLoads {
		speed *= float64(w.limits.FullSpeedLoads) / float64(w.loads)
	}
	if fault, ok := w.faults.consumeFor(FaultWeightsSlow, ""); ok && fault.Factor > 1 {
		speed /= fault.Factor
	}
	return speed
}

// fetchAdapter waits for the time that fetching an adapter takes. It returns false
// if ctx ends first.
func (w *Weights) fetchAdapter(ctx context.Context) bool {
	w.mu.Lock()
	w.adapters++
	d := w.adapterTime
	if w.adapters > w.limits.AdaptersInTransit {
		d = d * time.Duration(w.adapters) / time.Duration(w.limits.AdaptersInTransit)
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.adapters--
		w.mu.Unlock()
	}()
	return pause.For(ctx, d)
}
