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

// defaultTokens is the length of an answer whose request sets none.
const defaultTokens = 16

// run is one request at an engine.
type run struct {
	req    engine.Request
	tokens []string
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	phase  engine.RunPhase
	made   int
	first  engine.Load
	grown  chan struct{}
	gotten chan struct{}
}

// advance changes the run and wakes its streams.
func (r *run) advance(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.grown)
	r.grown = make(chan struct{})
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
		req:    req,
		tokens: Answer(req.Model, req.Adapter, req.Prompt, req.MaxTokens),
		phase:  engine.RunQueued,
		grown:  make(chan struct{}),
		gotten: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(e.alive)
	e.keep(r)
	e.loaded[req.Model].Running++
	e.queued = append(e.queued, r)
	slices.SortStableFunc(e.queued, func(a, b *run) int { return cmp.Compare(b.req.Priority, a.req.Priority) })
	e.startQueued()
	return e.open(ctx, r, 0), nil
}

// admit returns why a request can't run.
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

// keep records a run and forgets the oldest beyond the bound.
func (e *Engine) keep(r *run) {
	e.runs[r.req.ID] = r
	e.runOrder = append(e.runOrder, r.req.ID)
	if len(e.runOrder) > keptRuns {
		delete(e.runs, e.runOrder[0])
		e.runOrder = e.runOrder[1:]
	}
}

// startQueued starts waiting requests while there is room. The caller holds
// mu.
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
			r.first = load
		})
		e.journal.Add(e.entry(Entry{Kind: EntryRunStart, Model: r.req.Model, Adapter: r.req.Adapter, RequestID: r.req.ID, IdempotencyKey: r.req.IdempotencyKey}))
		go e.generate(e.alive, r)
	}
}

func (e *Engine) generate(alive context.Context, r *run) {
	whole := e.generateTokens(alive, r)
	e.mu.Lock()
	defer e.mu.Unlock()
	phase, outcome := engine.RunDone, outcomeOK
	if !whole {
		phase, outcome = engine.RunFailed, "cancelled"
	}
	r.advance(func() { r.phase = phase })
	if alive.Err() != nil {
		return
	}
	e.running--
	if loaded, ok := e.loaded[r.req.Model]; ok {
		loaded.Running--
	}
	e.remember(r.req)
	e.journal.Add(e.entry(Entry{Kind: EntryRunEnd, Model: r.req.Model, RequestID: r.req.ID, IdempotencyKey: r.req.IdempotencyKey, Outcome: outcome}))
	e.startQueued()
}

func (e *Engine) generateTokens(alive context.Context, r *run) bool {
	if _, ok := e.faults.strike(FaultCrashOnRequest, func(f Fault) bool {
		return (f.Endpoint == "" || f.Endpoint == e.settings.Name) && f.Marker != "" && strings.Contains(r.req.Prompt, f.Marker)
	}); ok {
		pause.For(alive, e.settings.FirstToken)
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
		r.advance(func() { r.made++ })
	}
	return true
}

// tokenTime is the time per token at the current batch size.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowdown := 1 + slowdownShare*float64(max(0, e.running-1))
	return time.Duration(float64(time.Second) / e.settings.TokensPerSecond * slowdown)
}

// remember keeps the session's KV cache and publishes the event.
func (e *Engine) remember(req engine.Request) {
	if req.Session == "" {
		return
	}
	e.kv[req.Session] = []byte(req.Model + "\x00" + req.Prompt)
	e.eventSeq++
	e.events = append(e.events, engine.CacheEvent{Sequence: e.eventSeq, Session: req.Session, Model: req.Model})
	if len(e.events) > keptEvents {
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
	return engine.RunStatus{ID: requestID, Phase: r.phase, Tokens: r.made, Incarnation: e.incarnation}, nil
}

// runStream reads a run's tokens. The faults of streams strike here.
type runStream struct {
	engine *Engine
	run    *run
	ctx    context.Context
	cancel context.CancelFunc
	alive  context.Context
	// silenced is the engine's count of silences when the stream opened.
	silenced int64
	next     int
	chunks   int
	pending  []engine.Chunk
	done     bool
	late     time.Duration
	crossed  bool
	cut      bool
	doubled  bool
}

// open returns a stream of a run. The caller holds mu.
func (e *Engine) open(ctx context.Context, r *run, offset int) *runStream {
	s := &runStream{engine: e, run: r, alive: e.alive, silenced: e.silenced, next: offset}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.late = e.faults.delay(FaultLate, e.settings.Name)
	_, s.crossed = e.faults.at(FaultCrossed, e.settings.Name)
	_, s.cut = e.faults.at(FaultCut, e.settings.Name)
	_, s.doubled = e.faults.at(FaultDoubled, e.settings.Name)
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
	if s.late > 0 && !pause.For(s.ctx, s.late) {
		return engine.Chunk{}, engine.ErrUnknown
	}
	s.late = 0
	chunk, err := s.await()
	if err != nil {
		return engine.Chunk{}, err
	}
	return s.disturb(chunk)
}

// await waits for the next tokens of the run.
func (s *runStream) await() (engine.Chunk, error) {
	for {
		s.run.mu.Lock()
		grown, made, phase := s.run.grown, s.run.made, s.run.phase
		s.run.mu.Unlock()
		switch {
		case s.silent():
			<-s.ctx.Done()
			return engine.Chunk{}, engine.ErrUnknown
		case s.alive.Err() != nil:
			return engine.Chunk{}, fmt.Errorf("%w: engine went away", engine.ErrUnknown)
		case made > s.next:
			return s.take(made), nil
		case phase == engine.RunDone:
			return s.take(made), nil
		case phase == engine.RunFailed:
			return engine.Chunk{}, fmt.Errorf("%w: request was ended", engine.ErrUnknown)
		}
		select {
		case <-grown:
		case <-s.ctx.Done():
			return engine.Chunk{}, engine.ErrUnknown
		case <-s.alive.Done():
		}
	}
}

func (s *runStream) silent() bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.engine.silenced > s.silenced
}

// take makes a chunk of the tokens up to made.
func (s *runStream) take(made int) engine.Chunk {
	r := s.run
	chunk := engine.Chunk{
		RequestID: r.req.ID,
		Offset:    s.next,
		Tokens:    made - s.next,
		Text:      strings.Join(r.tokens[s.next:made], ""),
	}
	if s.chunks == 0 {
		load := r.first
		chunk.Load = &load
	}
	s.chunks++
	s.next = made
	if made == len(r.tokens) {
		chunk.Done = true
		chunk.FinishReason = "stop"
		s.done = true
	}
	return chunk
}

// disturb applies the faults of the stream.
func (s *runStream) disturb(chunk engine.Chunk) (engine.Chunk, error) {
	if s.cut && s.chunks > 2 {
		return engine.Chunk{}, fmt.Errorf("%w: stream was cut", engine.ErrUnknown)
	}
	if s.doubled {
		s.pending = append(s.pending, chunk)
	}
	if s.crossed && s.chunks == 1 {
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
