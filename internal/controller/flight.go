package controller

import (
	"context"
	"sync"
	"time"

	"chestnutgauge/internal/peer/peerpb"
)

// flight is one load that several callers wait for.
type flight struct {
	done chan struct{}
	resp *peerpb.EnsureLoadedResponse
	err  error

	mu       sync.Mutex
	earliest time.Time
	latest   time.Time
}

// join adds a caller's deadline.
func (f *flight) join(deadline time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.earliest.IsZero() || deadline.Before(f.earliest) {
		f.earliest = deadline
	}
	if deadline.After(f.latest) {
		f.latest = deadline
	}
}

// latestDeadline returns the latest deadline of the callers.
func (f *flight) latestDeadline() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}

// timeLeft returns the time until the earliest deadline, or until the latest if
// the earliest has passed.
func (f *flight) timeLeft(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.earliest.After(now) {
		return f.earliest.Sub(now)
	}
	return f.latest.Sub(now)
}

// flights deduplicates concurrent loads of the same model.
type flights struct {
	mu     sync.Mutex
	active map[string]*flight
}

// do returns the result of run, or of the active flight with the same key. A
// flight continues when ctx ends.
func (g *flights) do(ctx context.Context, key string, deadline time.Time, run func(*flight) (*peerpb.EnsureLoadedResponse, error)) (*peerpb.EnsureLoadedResponse, error) {
	f := g.join(key, deadline, run)
	select {
	case <-f.done:
		return f.resp, f.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (g *flights) join(key string, deadline time.Time, run func(*flight) (*peerpb.EnsureLoadedResponse, error)) *flight {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f, ok := g.active[key]; ok {
		f.join(deadline)
		return f
	}
	f := &flight{done: make(chan struct{})}
	f.join(deadline)
	if g.active == nil {
		g.active = map[string]*flight{}
	}
	g.active[key] = f
	go func() {
		f.resp, f.err = run(f)
		g.mu.Lock()
		delete(g.active, key)
		g.mu.Unlock()
		close(f.done)
	}()
	return f
}
