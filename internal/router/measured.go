package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"chestnutgauge/internal/engine"
)

// measuredEngine records measurements of requests to an engine: its speed, the
// load that its responses report, and its failures.
type measuredEngine struct {
	engine.Engine
	address string
	router  *Router
}

// Run implements engine.Engine.
func (m *measuredEngine) Run(ctx context.Context, req engine.Request) (engine.Stream, error) {
	startTime := time.Now()
	stream, err := m.Engine.Run(ctx, req)
	if err != nil {
		m.failed(ctx, err)
		return nil, err
	}
	return &measuredStream{Stream: stream, engine: m, ctx: ctx, req: req, startTime: startTime}, nil
}

// failed ejects the engine after a failure. A disconnected caller or a passed
// deadline is not a failure of the engine.
func (m *measuredEngine) failed(ctx context.Context, err error) {
	now := time.Now()
	switch {
	case ctx.Err() != nil, errors.Is(err, engine.ErrBadRequest):
	case errors.Is(err, engine.ErrBusy), errors.Is(err, engine.ErrNotLoaded):
		m.router.loads.Busy(m.address, now)
	default:
		m.router.loads.Failed(m.address, now, rand.Float64())
	}
}

// measuredStream measures one response.
type measuredStream struct {
	engine.Stream
	engine    *measuredEngine
	ctx       context.Context
	req       engine.Request
	startTime time.Time
	first     time.Time
	tokens    int
}

// Next implements engine.Stream.
func (s *measuredStream) Next() (engine.Chunk, error) {
	chunk, err := s.Stream.Next()
	if err != nil {
		if !errors.Is(err, io.EOF) {
			s.engine.failed(s.ctx, err)
		}
		return chunk, err
	}
	if chunk.Load == nil && !chunk.Done && !s.first.IsZero() {
		s.tokens += chunk.Tokens
		return chunk, nil
	}
	s.record(chunk, time.Now())
	return chunk, nil
}

// record records the measurements of the first and the last chunk.
func (s *measuredStream) record(chunk engine.Chunk, now time.Time) {
	r := s.engine.router
	if s.first.IsZero() {
		s.first = now
	}
	s.tokens += chunk.Tokens
	if chunk.Load != nil {
		r.loads.Report(s.engine.address, chunk.Load.Running, chunk.Load.Queued, now)
	}
	if chunk.Done {
		first, rest := s.first.Sub(s.startTime), now.Sub(s.first)
		r.loads.Answered(s.engine.address, first, s.tokens, rest)
		r.scheduler.recordRun(servedName(s.req), first, s.tokens, rest)
	}
}

// servedName returns the name by which callers request the model or adapter of
// req.
func servedName(req engine.Request) string {
	if req.Adapter != "" {
		return req.Adapter
	}
	return req.Model
}
