package standin

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/pause"
)

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
