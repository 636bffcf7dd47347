package contract

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/engine/httpengine"
	"chestnutgauge/internal/settings"
	"chestnutgauge/internal/standin"
)

// engineUnderTest is an implementation of engine.Engine and the stand-in that
// serves it.
type engineUnderTest struct {
	engine.Engine
	standIn *standin.StandIn
}

// forEachEngine runs a test against each implementation.
func forEachEngine(t *testing.T, test func(t *testing.T, e engineUnderTest)) {
	s := standin.Defaults()
	s.Weights.BytesPerSecond = 1e12
	s.Engines = []standin.EngineEntry{{
		Name: "e", Listen: "e:1", MemoryBytes: 100, ChecksFences: true, TokensPerSecond: 1000,
		FirstToken: settings.Duration(time.Millisecond), MaxRunning: 2, MaxQueued: 1,
		RestartTime: settings.Duration(time.Millisecond),
	}}
	t.Run("in memory", func(t *testing.T) {
		standIn := standin.New(s)
		test(t, engineUnderTest{standIn.Engines["e"], standIn})
	})
	t.Run("http", func(t *testing.T) {
		standIn := standin.New(s)
		server := httptest.NewServer(standIn.Engines["e"].Handler())
		t.Cleanup(server.Close)
		client := httpengine.New(strings.TrimPrefix(server.URL, "http://"), httpengine.DefaultSettings())
		test(t, engineUnderTest{client, standIn})
	})
}

// await watches the engine until its state satisfies test.
func (e engineUnderTest) await(t *testing.T, test func(engine.State) bool) engine.State {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	state, err := e.State(ctx)
	require.NoError(t, err)
	for !test(state) {
		state, err = e.Watch(ctx, state.Revision)
		require.NoError(t, err)
	}
	return state
}

// load orders the load of model m and waits until it is loaded.
func (e engineUnderTest) load(t *testing.T) engine.State {
	require.NoError(t, e.Order(t.Context(), engine.Order{ID: "o", Kind: engine.OrderLoad, Fence: 1, Model: "m", Version: "1", MemoryBytes: 40, CheckpointBytes: 1}))
	return e.await(t, func(s engine.State) bool { return len(s.Loaded) == 1 })
}

// read reads a stream to its end.
func read(stream engine.Stream) (string, int, error) {
	var text strings.Builder
	tokens := 0
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), tokens, nil
		}
		if err != nil {
			return text.String(), tokens, err
		}
		text.WriteString(chunk.Text)
		tokens += chunk.Tokens
	}
}

func TestLoadRunUnload(t *testing.T) {
	forEachEngine(t, func(t *testing.T, e engineUnderTest) {
		ctx := t.Context()
		_, err := e.Run(ctx, engine.Request{ID: "r0", Model: "m"})
		require.ErrorIs(t, err, engine.ErrNotLoaded)
		state := e.load(t)
		require.Equal(t, int64(40), state.MemoryUsed)
		require.Equal(t, int64(100), state.MemoryTotal)

		stream, err := e.Run(ctx, engine.Request{ID: "r1", Model: "m", Prompt: "p", MaxTokens: 6})
		require.NoError(t, err)
		text, tokens, err := read(stream)
		require.NoError(t, err)
		require.NoError(t, stream.Close())
		require.Equal(t, standin.AnswerText("m", "", "p", 6), text)
		require.Equal(t, 6, tokens)
		status, err := e.RunStatus(ctx, "r1")
		require.NoError(t, err)
		require.Equal(t, engine.RunDone, status.Phase)

		resumed, err := e.Resume(ctx, "r1", 4)
		require.NoError(t, err)
		text, _, err = read(resumed)
		require.NoError(t, err)
		require.Equal(t, strings.Join(standin.Answer("m", "", "p", 6)[4:], ""), text)

		require.NoError(t, e.Order(ctx, engine.Order{ID: "o2", Kind: engine.OrderUnload, Fence: 1, Model: "m"}))
		e.await(t, func(s engine.State) bool { return len(s.Loaded) == 0 && s.MemoryUsed == 0 })
	})
}

func TestEngineRefusals(t *testing.T) {
	tests := []struct {
		name string
		do   func(ctx context.Context, e engineUnderTest) error
		want error
	}{
		{"old fence", func(ctx context.Context, e engineUnderTest) error {
			_ = e.Order(ctx, engine.Order{ID: "a", Kind: engine.OrderRaiseFence, Fence: 9})
			return e.Order(ctx, engine.Order{ID: "b", Kind: engine.OrderUnload, Fence: 8, Model: "m"})
		}, engine.ErrOldFence},
		{"unknown order", func(ctx context.Context, e engineUnderTest) error {
			return e.Order(ctx, engine.Order{ID: "a", Kind: "dance", Fence: 9})
		}, engine.ErrBadRequest},
		{"adapter of a model not loaded", func(ctx context.Context, e engineUnderTest) error {
			return e.Order(ctx, engine.Order{ID: "a", Kind: engine.OrderLoadAdapter, Fence: 9, Model: "other", Adapter: "x"})
		}, engine.ErrNotLoaded},
		{"adapter not loaded", func(ctx context.Context, e engineUnderTest) error {
			_, err := e.Run(ctx, engine.Request{ID: "r", Model: "m", Adapter: "x"})
			return err
		}, engine.ErrNotLoaded},
		{"leaving", func(ctx context.Context, e engineUnderTest) error {
			_ = e.standIn.SetFault(standin.Fault{Kind: standin.FaultLeaving, Endpoint: "e"})
			_, err := e.Run(ctx, engine.Request{ID: "r", Model: "m"})
			return err
		}, engine.ErrLeaving},
		{"busy", func(ctx context.Context, e engineUnderTest) error {
			var err error
			for _, id := range []string{"r1", "r2", "r3", "r4"} {
				_, err = e.Run(ctx, engine.Request{ID: id, Model: "m", MaxTokens: 100000})
			}
			return err
		}, engine.ErrBusy},
		{"status of an unknown request", func(ctx context.Context, e engineUnderTest) error {
			_, err := e.RunStatus(ctx, "none")
			return err
		}, engine.ErrNoRequest},
		{"resume of an unknown request", func(ctx context.Context, e engineUnderTest) error {
			_, err := e.Resume(ctx, "none", 0)
			return err
		}, engine.ErrNoRequest},
		{"no KV cache", func(ctx context.Context, e engineUnderTest) error {
			_, err := e.ExportKV(ctx, "none")
			return err
		}, engine.ErrNoRequest},
		{"response to an order lost", func(ctx context.Context, e engineUnderTest) error {
			_ = e.standIn.SetFault(standin.Fault{Kind: standin.FaultOrderResponseLost, Endpoint: "e", Count: 1})
			return e.Order(ctx, engine.Order{ID: "a", Kind: engine.OrderUnload, Fence: 9, Model: "m"})
		}, engine.ErrUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachEngine(t, func(t *testing.T, e engineUnderTest) {
				e.load(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				require.ErrorIs(t, test.do(ctx, e), test.want)
			})
		})
	}
}

// TestStreamFaults checks that a truncated stream ends with an error, and that
// after each fault the request can be resumed from its start.
func TestStreamFaults(t *testing.T) {
	tests := []struct {
		name     string
		fault    standin.FaultKind
		complete bool
	}{
		{"crossed", standin.FaultForeignChunk, true},
		{"cut", standin.FaultTruncate, false},
		{"doubled", standin.FaultDuplicate, true},
		{"late", standin.FaultResponseDelay, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachEngine(t, func(t *testing.T, e engineUnderTest) {
				e.load(t)
				require.NoError(t, e.standIn.SetFault(standin.Fault{Kind: test.fault, Endpoint: "e", Milliseconds: 1, Count: 1}))
				stream, err := e.Run(t.Context(), engine.Request{ID: "r", Model: "m", Prompt: "p", MaxTokens: 20})
				require.NoError(t, err)
				_, _, err = read(stream)
				require.Equal(t, test.complete, err == nil, err)
				if err != nil {
					require.ErrorIs(t, err, engine.ErrUnknown)
				}
				resumed, err := e.Resume(t.Context(), "r", 0)
				require.NoError(t, err)
				text, _, err := read(resumed)
				require.NoError(t, err)
				require.Equal(t, standin.AnswerText("m", "", "p", 20), text)
			})
		})
	}
}

// TestCrash checks that a crash unloads all models, changes the engine's
// incarnation and ends its streams with an error.
func TestCrash(t *testing.T) {
	forEachEngine(t, func(t *testing.T, e engineUnderTest) {
		before := e.load(t)
		require.NoError(t, e.standIn.SetFault(standin.Fault{Kind: standin.FaultCrashOnRequest, Endpoint: "e", Marker: "poison", Count: 1}))
		stream, err := e.Run(t.Context(), engine.Request{ID: "r", Model: "m", Prompt: "poison", MaxTokens: 5})
		require.NoError(t, err)
		_, _, err = read(stream)
		require.ErrorIs(t, err, engine.ErrUnknown)
		require.Eventually(t, func() bool {
			state, err := e.State(t.Context())
			return err == nil && state.Incarnation != before.Incarnation && len(state.Loaded) == 0
		}, time.Minute, time.Millisecond)
	})
}
