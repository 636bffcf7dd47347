package controller

import (
	"context"
	"sync"
	"time"

	"chestnutgauge/internal/peer/peerpb"
)

// flight is one wake that several callers wait for.
type flight struct {
	done chan struct{}
	resp *peerpb.EnsureLoadedResponse
	err  error

	mu       sync.Mutex
	nearest  time.Time
	furthest time.Time
}

// join takes a caller's deadline into account.
func (f *flight) join(deadline time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nearest.IsZero() || deadline.Before(f.nearest) {
		f.nearest = deadline
	}
	if deadline.After(f.furthest) {
		f.furthest = deadline
	}
}

// last returns the furthest deadline of the callers.
func (f *flight) last() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.furthest
}

// urgency returns the time left to the nearest deadline that has not passed,
// else to the furthest.
func (f *flight) urgency(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nearest.After(now) {
		return f.nearest.Sub(now)
	}
	return f.furthest.Sub(now)
}

// flights joins callers that wait for the same thing.
type flights struct {
	mu     sync.Mutex
	active map[string]*flight
}

// do returns what run returns, or the active flight of the same key if there
// is one. The flight goes on when ctx ends.
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
