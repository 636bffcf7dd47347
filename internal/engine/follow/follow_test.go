package follow_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/engine/follow"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/standin"
)

const tokens = 12

// faultyEngine is an engine whose first stream is altered by a function of the
// chunk's number. Resumed streams are unaltered.
type faultyEngine struct {
	engine.Engine
	alter   func(int, engine.Chunk) (engine.Chunk, error)
	resumed int
}

type faultyStream struct {
	engine.Stream
	alter func(int, engine.Chunk) (engine.Chunk, error)
	count int
}

func (e *faultyEngine) Run(ctx context.Context, req engine.Request) (engine.Stream, error) {
	stream, err := e.Engine.Run(ctx, req)
	return &faultyStream{Stream: stream, alter: e.alter}, err
}

func (e *faultyEngine) Resume(ctx context.Context, id string, offset int) (engine.Stream, error) {
	e.resumed++
	return e.Engine.Resume(ctx, id, offset)
}

func (s *faultyStream) Next() (engine.Chunk, error) {
	chunk, err := s.Stream.Next()
	s.count++
	if err != nil || s.alter == nil {
		return chunk, err
	}
	return s.alter(s.count, chunk)
}

func newEngine(t *testing.T, faults *standin.Faults) *standin.Engine {
	weights := standin.NewWeights(platform.WeightLimits{FullSpeedLoads: 1}, 1e9, 0, faults)
	e := standin.NewEngine(standin.EngineSettings{
		Name: "e1", MemoryBytes: 100, TokensPerSecond: 20, FirstToken: 50 * time.Millisecond,
		MaxRunning: 4, MaxQueued: 4, RestartTime: time.Second,
	}, weights, faults, &standin.Journal{})
	require.NoError(t, e.Order(t.Context(), engine.Order{ID: "o", Kind: engine.OrderLoad, Model: "m", MemoryBytes: 1, CheckpointBytes: 1}))
	time.Sleep(time.Second)
	return e
}

// TestStream checks that each fault of a stream still gives the complete text,
// or an error, and never an early end without an error.
func TestStream(t *testing.T) {
	gap := func(n int, c engine.Chunk) (engine.Chunk, error) {
		if n == 3 {
			c.Offset++
		}
		return c, nil
	}
	overlap := func(n int, c engine.Chunk) (engine.Chunk, error) {
		if n == 3 {
			c.Offset--
			c.Tokens++
			c.Text = "again " + c.Text
		}
		return c, nil
	}
	falseEnd := func(n int, c engine.Chunk) (engine.Chunk, error) {
		if n == 3 {
			c.Offset += 2
			c.Done = true
		}
		return c, nil
	}
	cases := []struct {
		name  string
		fault standin.Fault
		alter func(int, engine.Chunk) (engine.Chunk, error)
		// during is called while the response is generated.
		during     func(*standin.Engine)
		incomplete bool
	}{
		{name: "whole"},
		{name: "crossed", fault: standin.Fault{Kind: standin.FaultForeignChunk}},
		{name: "late", fault: standin.Fault{Kind: standin.FaultResponseDelay, Milliseconds: 5000}},
		{name: "truncated once", fault: standin.Fault{Kind: standin.FaultTruncate, Count: 1}},
		{name: "truncated each time", fault: standin.Fault{Kind: standin.FaultTruncate}},
		{name: "doubled", fault: standin.Fault{Kind: standin.FaultDuplicate}},
		{name: "silent", during: (*standin.Engine).StallStreams},
		{name: "gap", alter: gap},
		{name: "overlap", alter: overlap},
		{name: "end beyond the offset", alter: falseEnd},
		{name: "crash", during: func(e *standin.Engine) { e.Crash("", "m") }, incomplete: true},
		{name: "stopped permanently", during: (*standin.Engine).Stop, incomplete: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := &standin.Faults{}
				e := newEngine(t, faults)
				if c.fault.Kind != "" {
					faults.Set(c.fault)
				}
				if c.during != nil {
					time.AfterFunc(200*time.Millisecond, func() { c.during(e) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				text, err := read(ctx, &faultyEngine{Engine: e, alter: c.alter})
				want := standin.AnswerText("m", "", "p", tokens)
				if c.incomplete {
					require.ErrorIs(t, err, follow.ErrIncomplete)
					require.True(t, strings.HasPrefix(want, text))
					require.NoError(t, ctx.Err())
					return
				}
				require.NoError(t, err)
				require.Equal(t, want, text)
			})
		})
	}
}

func read(ctx context.Context, e engine.Engine) (string, error) {
	req := engine.Request{ID: "r", Model: "m", Prompt: "p", MaxTokens: tokens}
	stream, err := follow.Run(ctx, e, req, follow.DefaultSettings())
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var text strings.Builder
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(chunk.Text)
	}
}
