package router

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/peer/peerpb"
)

// memoryEngine responds at once with chunks of one token.
type memoryEngine struct {
	engine.Engine
	tokens int
}

// Run implements engine.Engine.
func (e memoryEngine) Run(_ context.Context, req engine.Request) (engine.Stream, error) {
	return &memoryStream{id: req.ID, tokens: e.tokens}, nil
}

type memoryStream struct {
	id     string
	tokens int
	next   int
}

// Next implements engine.Stream.
func (s *memoryStream) Next() (engine.Chunk, error) {
	if s.next == s.tokens {
		return engine.Chunk{}, io.EOF
	}
	chunk := engine.Chunk{RequestID: s.id, Offset: s.next, Tokens: 1, Text: "word "}
	s.next++
	if s.next == s.tokens {
		chunk.Done, chunk.FinishReason = true, "stop"
	}
	return chunk, nil
}

// Close implements engine.Stream.
func (s *memoryStream) Close() error { return nil }

// discardWriter is a caller that discards the response.
type discardWriter struct {
	header http.Header
	status int
	bytes  int
}

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return len(data), nil
}

// Flush implements http.Flusher.
func (w *discardWriter) Flush() {}

// speedEndpoints is the number of endpoints of a data centre at the design
// size, speedReplicas the number that hold the model.
const (
	speedEndpoints = 612
	speedReplicas  = 4
)

// newSpeedRouter returns a router in front of in-memory endpoints.
func newSpeedRouter(b *testing.B, tokens int) *Router {
	deployment := &pb.Deployment{
		Name:     "speed",
		Services: []*pb.Service{{Name: "assistants", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
		Models:   []*pb.Model{{Name: "model", Version: "1", Services: []string{"assistants"}, MaxReplicas: speedReplicas}},
	}
	for i := range speedEndpoints {
		name := fmt.Sprintf("e%d", i)
		deployment.Endpoints = append(deployment.Endpoints, &pb.Endpoint{Name: name, Service: "assistants", Address: name + ":1", DataCentre: "a"})
	}
	r := newTestRouter(b, deployment, func(deps *Dependencies) {
		deps.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
		deps.Events = events.NewRecorder("router@vm", 1024, deps.Log)
		deps.Connect = func(string) engine.Engine { return memoryEngine{tokens: tokens} }
	})
	for i := range speedEndpoints {
		state := &peerpb.EndpointState{Name: fmt.Sprintf("e%d", i), Reachable: true, TokensPerSecond: 100}
		if i < speedReplicas {
			state.Loaded = []*peerpb.Replica{{Model: "model", Version: "1"}}
		}
		r.Directory.Put("controller@vm", state)
	}
	return r
}

// serveOne sends one request to the router's handler.
func serveOne(b testing.TB, handler http.Handler, tokens int, stream bool) {
	body := fmt.Sprintf(`{"model":"model","messages":[{"role":"user","content":"hello"}],"max_tokens":%d,"stream":%t}`, tokens, stream)
	req, err := http.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	require.NoError(b, err)
	w := &discardWriter{header: http.Header{}}
	handler.ServeHTTP(w, req)
	require.Equal(b, http.StatusOK, w.status)
}

// BenchmarkRequest measures a request with a response of one token.
func BenchmarkRequest(b *testing.B) {
	handler := newSpeedRouter(b, 1).Handler()
	b.ReportAllocs()
	for b.Loop() {
		serveOne(b, handler, 1, false)
	}
}

// BenchmarkStream measures streamed responses of different lengths.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			handler := newSpeedRouter(b, tokens).Handler()
			b.ReportAllocs()
			for b.Loop() {
				serveOne(b, handler, tokens, true)
			}
			perToken := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / float64(tokens)
			b.ReportMetric(perToken, "ns/token")
		})
	}
}
