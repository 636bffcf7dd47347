package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/pause"
)

// defaultTokens is the number of generated tokens if a request sets no limit.
const defaultTokens = 16

// run is the execution of one request.
type run struct {
	req    engine.Request
	tokens []string
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	phase       engine.RunPhase
	generated   int
	loadAtStart engine.Load
	progressed  chan struct{}
	consumed    chan struct{}
}

// advance changes the run and wakes its streams.
func (r *run) advance(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.progressed)
	r.progressed = make(chan struct{})
}

// Run implements engine.Engine.
func (e *Engine) Run(ctx context.Context, req engine.Request) (engine.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(req); err != nil {
		return nil, err
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultTokens
	}
	if known, ok := e.runs[req.ID]; ok {
		return e.open(ctx, known, 0), nil
	}
	r := &run{
		req:        req,
		tokens:     Answer(req.Model, req.Adapter, req.Prompt, req.MaxTokens),
		phase:      engine.RunQueued,
		progressed: make(chan struct{}),
		consumed:   make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(e.lifetime)
	e.recordRun(r)
	e.loaded[req.Model].Running++
	e.queued = append(e.queued, r)
	slices.SortStableFunc(e.queued, func(a, b *run) int { return cmp.Compare(b.req.Priority, a.req.Priority) })
	e.startQueued()
	return e.open(ctx, r, 0), nil
}

// admit returns an error if a request can't run. The caller holds mu.
func (e *Engine) admit(req engine.Request) error {
	if e.stopped {
		return engine.ErrNotSent
	}
	if e.leaving {
		return engine.ErrLeaving
	}
	loaded, ok := e.loaded[req.Model]
	if !ok || (req.Adapter != "" && !hasAdapter(loaded, req.Adapter)) {
		return engine.ErrNotLoaded
	}
	if len(e.queued) >= e.settings.MaxQueued {
		return engine.ErrBusy
	}
	return nil
}

// recordRun stores a run and removes the oldest beyond maxRuns. The caller holds
// mu.
func (e *Engine) recordRun(r *run) {
	e.runs[r.req.ID] = r
	e.runOrder = append(e.runOrder, r.req.ID)
	if len(e.runOrder) > maxRuns {
		delete(e.runs, e.runOrder[0])
		e.runOrder = e.runOrder[1:]
	}
}

// startQueued starts queued requests while fewer than MaxRunning run. The caller
// holds mu.
func (e *Engine) startQueued() {
	for len(e.queued) > 0 && e.running < e.settings.MaxRunning {
		r := e.queued[0]
		e.queued = e.queued[1:]
		e.running++
		if loaded, ok := e.loaded[r.req.Model]; ok {
			loaded.Started++
		}
		load := e.freshLoad()
		r.advance(func() {
			r.phase = engine.RunRunning
			r.loadAtStart = load
		})
		e.journal.Add(e.entry(Entry{Kind: EntryRunStart, Model: r.req.Model, Adapter: r.req.Adapter, RequestID: r.req.ID, IdempotencyKey: r.req.IdempotencyKey}))
		go e.generate(e.lifetime, r)
	}
}

func (e *Engine) generate(lifetime context.Context, r *run) {
	complete := e.generateTokens(lifetime, r)
	e.mu.Lock()
	defer e.mu.Unlock()
	phase, outcome := engine.RunDone, outcomeOK
	if !complete {
		phase, outcome = engine.RunFailed, "cancelled"
	}
	r.advance(func() { r.phase = phase })
	if lifetime.Err() != nil {
		return
	}
	e.running--
	if loaded, ok := e.loaded[r.req.Model]; ok {
		loaded.Running--
	}
	e.storeKV(r.req)
	e.journal.Add(e.entry(Entry{Kind: EntryRunEnd, Model: r.req.Model, RequestID: r.req.ID, IdempotencyKey: r.req.IdempotencyKey, Outcome: outcome}))
	e.startQueued()
}

func (e *Engine) generateTokens(lifetime context.Context, r *run) bool {
	if _, ok := e.faults.consume(FaultCrashOnRequest, func(f Fault) bool {
		return (f.Endpoint == "" || f.Endpoint == e.settings.Name) && f.Marker != "" && strings.Contains(r.req.Prompt, f.Marker)
	}); ok {
		pause.For(lifetime, e.settings.FirstToken)
		e.Crash(r.req.ID, r.req.Model)
		return false
	}
	if !pause.For(r.ctx, e.settings.FirstToken) {
		return false
	}
	for range r.tokens {
		if !pause.For(r.ctx, e.tokenTime()) {
			return false
		}
		r.advance(func() { r.generated++ })
	}
	return true
}

// tokenTime returns the time per token at the current batch size.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowdown := 1 + batchSlowdown*float64(max(0, e.running-1))
	return time.Duration(float64(time.Second) / e.settings.TokensPerSecond * slowdown)
}

// storeKV stores the KV cache of the request's session and records a cache event.
// The caller holds mu.
func (e *Engine) storeKV(req engine.Request) {
	if req.Session == "" {
		return
	}
	e.kv[req.Session] = []byte(req.Model + "\x00" + req.Prompt)
	e.eventSeq++
	e.events = append(e.events, engine.CacheEvent{Sequence: e.eventSeq, Session: req.Session, Model: req.Model})
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
}

// Resume implements engine.Engine.
func (e *Engine) Resume(ctx context.Context, requestID string, offset int) (engine.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return nil, engine.ErrNotSent
	}
	r, ok := e.runs[requestID]
	if !ok || offset < 0 || offset > len(r.tokens) {
		return nil, engine.ErrNoRequest
	}
	return e.open(ctx, r, offset), nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(_ context.Context, requestID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return engine.ErrNotSent
	}
	r, ok := e.runs[requestID]
	if !ok {
		return engine.ErrNoRequest
	}
	r.cancel()
	if i := slices.Index(e.queued, r); i >= 0 {
		e.queued = slices.Delete(e.queued, i, i+1)
		if loaded, ok := e.loaded[r.req.Model]; ok {
			loaded.Running--
		}
		r.advance(func() { r.phase = engine.RunFailed })
	}
	return nil
}

// RunStatus implements engine.Engine.
func (e *Engine) RunStatus(_ context.Context, requestID string) (engine.RunStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return engine.RunStatus{}, engine.ErrNotSent
	}
	r, ok := e.runs[requestID]
	if !ok {
		return engine.RunStatus{}, engine.ErrNoRequest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return engine.RunStatus{ID: requestID, Phase: r.phase, Tokens: r.generated, Incarnation: e.incarnation}, nil
}
