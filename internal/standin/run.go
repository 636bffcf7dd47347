package standin

import (
	"cmp"
	"context"
	"fmt"
	"io"
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

// runStream streams a run's tokens and injects the faults of streams.
type runStream struct {
	engine   *Engine
	run      *run
	ctx      context.Context
	cancel   context.CancelFunc
	lifetime context.Context
	// stalls is the engine's stall count when the stream was opened.
	stalls       int64
	next         int
	chunks       int
	pending      []engine.Chunk
	done         bool
	startDelay   time.Duration
	foreignChunk bool
	truncate     bool
	duplicate    bool
}

// open returns a stream of a run from a token offset. The caller holds mu.
func (e *Engine) open(ctx context.Context, r *run, offset int) *runStream {
	s := &runStream{engine: e, run: r, lifetime: e.lifetime, stalls: e.stalls, next: offset}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.startDelay = e.faults.delay(FaultResponseDelay, e.settings.Name)
	_, s.foreignChunk = e.faults.consumeFor(FaultForeignChunk, e.settings.Name)
	_, s.truncate = e.faults.consumeFor(FaultTruncate, e.settings.Name)
	_, s.duplicate = e.faults.consumeFor(FaultDuplicate, e.settings.Name)
	return s
}

// Next implements engine.Stream.
func (s *runStream) Next() (engine.Chunk, error) {
	if len(s.pending) > 0 {
		chunk := s.pending[0]
		s.pending = s.pending[1:]
		return chunk, nil
	}
	if s.done {
		return engine.Chunk{}, io.EOF
	}
	if s.startDelay > 0 && !pause.For(s.ctx, s.startDelay) {
		return engine.Chunk{}, engine.ErrUnknown
	}
	s.startDelay = 0
	chunk, err := s.await()
	if err != nil {
		return engine.Chunk{}, err
	}
	return s.injectFault(chunk)
}

// await waits until the run has new tokens or has ended.
func (s *runStream) await() (engine.Chunk, error) {
	for {
		s.run.mu.Lock()
		progressed, generated, phase := s.run.progressed, s.run.generated, s.run.phase
		s.run.mu.Unlock()
		switch {
		case s.stalled():
			<-s.ctx.Done()
			return engine.Chunk{}, engine.ErrUnknown
		case s.lifetime.Err() != nil:
			return engine.Chunk{}, fmt.Errorf("%w: engine stopped", engine.ErrUnknown)
		case generated > s.next:
			return s.nextChunk(generated), nil
		case phase == engine.RunDone:
			return s.nextChunk(generated), nil
		case phase == engine.RunFailed:
			return engine.Chunk{}, fmt.Errorf("%w: request was cancelled", engine.ErrUnknown)
		}
		select {
		case <-progressed:
		case <-s.ctx.Done():
			return engine.Chunk{}, engine.ErrUnknown
		case <-s.lifetime.Done():
		}
	}
}

func (s *runStream) stalled() bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.engine.stalls > s.stalls
}

// nextChunk returns a chunk of the tokens up to generated.
func (s *runStream) nextChunk(generated int) engine.Chunk {
	r := s.run
	chunk := engine.Chunk{
		RequestID: r.req.ID,
		Offset:    s.next,
		Tokens:    generated - s.next,
		Text:      strings.Join(r.tokens[s.next:generated], ""),
	}
	if s.chunks == 0 {
		load := r.loadAtStart
		chunk.Load = &load
	}
	s.chunks++
	s.next = generated
	if generated == len(r.tokens) {
		chunk.Done = true
		chunk.FinishReason = "stop"
		s.done = true
	}
	return chunk
}

// injectFault applies the stream's faults to a chunk.
func (s *runStream) injectFault(chunk engine.Chunk) (engine.Chunk, error) {
	if s.truncate && s.chunks > 2 {
		return engine.Chunk{}, fmt.Errorf("%w: stream truncated by a fault", engine.ErrUnknown)
	}
	if s.duplicate {
		s.pending = append(s.pending, chunk)
	}
	if s.foreignChunk && s.chunks == 1 {
		other := chunk
		other.RequestID = "other"
		other.Text = "text of another caller"
		s.pending = append(s.pending, chunk)
		return other, nil
	}
	return chunk, nil
}

// Close implements engine.Stream.
func (s *runStream) Close() error {
	s.cancel()
	return nil
}
