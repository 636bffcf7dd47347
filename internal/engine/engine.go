// Package engine defines the interface between the system and a model engine.
// Adapters implement Engine.
package engine

import (
	"context"
	"errors"
	"time"
)

// Errors of an engine. Adapters convert the errors of their transport into
// these.
var (
	// ErrNotSent means that no connection could be made: nothing was executed.
	ErrNotSent = errors.New("engine: could not connect")
	// ErrUnknown means that the call was sent and its outcome is unknown.
	ErrUnknown = errors.New("engine: outcome unknown")
	// ErrOldFence means that the engine refused an order because it has seen
	// a higher fence.
	ErrOldFence = errors.New("engine: fence is old")
	// ErrNoMemory means that the engine refused a load for lack of memory.
	ErrNoMemory = errors.New("engine: not enough memory")
	// ErrNotLoaded means that the model or adapter is not loaded: the request
	// did not run.
	ErrNotLoaded = errors.New("engine: model not loaded")
	// ErrBusy means that the engine's queue is full: the request did not run.
	ErrBusy = errors.New("engine: busy")
	// ErrLeaving means that the engine accepts no new work: the request did not
	// run.
	ErrLeaving = errors.New("engine: leaving")
	// ErrNoRequest means that the engine has no record of the request.
	ErrNoRequest = errors.New("engine: no such request")
	// ErrBadRequest means that the engine refused the call as malformed.
	ErrBadRequest = errors.New("engine: bad request")
)

// Tier is where an engine holds a checkpoint.
type Tier string

// Tiers, from the fastest to load from to the slowest.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// Adapter is an adapter loaded with its model.
type Adapter struct {
	Name        string `json:"name"`
	Version     string `json:"version"`
	MemoryBytes int64  `json:"memory_bytes"`
}

// Loaded is a model that an engine has loaded.
type Loaded struct {
	Model       string    `json:"model"`
	Version     string    `json:"version"`
	MemoryBytes int64     `json:"memory_bytes"`
	Adapters    []Adapter `json:"adapters,omitempty"`
	// Running counts the requests that the engine has accepted, queued ones
	// included, and that have not ended.
	Running int `json:"running"`
	// Started counts the requests started since the model was loaded.
	Started int64 `json:"started"`
}

// Loading is a load in progress.
type Loading struct {
	OrderID     string    `json:"order_id"`
	Model       string    `json:"model"`
	Version     string    `json:"version"`
	Adapter     string    `json:"adapter,omitempty"`
	MemoryBytes int64     `json:"memory_bytes"`
	Tier        Tier      `json:"tier"`
	Started     time.Time `json:"started"`
}

// Cached is a checkpoint in the engine's own memory or on its disk.
type Cached struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Tier    Tier   `json:"tier"`
}

// State is what an engine reports about itself.
type State struct {
	// Incarnation changes when the engine restarts with empty memory.
	Incarnation string `json:"incarnation"`
	// Revision increases with every change of Loaded, Loading, Fence or
	// Leaving.
	Revision int64 `json:"revision"`
	// Fence is the highest fence that the engine has seen.
	Fence       int64     `json:"fence"`
	Role        string    `json:"role"`
	Leaving     bool      `json:"leaving"`
	MemoryTotal int64     `json:"memory_total"`
	MemoryUsed  int64     `json:"memory_used"`
	Loaded      []Loaded  `json:"loaded"`
	Loading     []Loading `json:"loading"`
	Cached      []Cached  `json:"cached"`
	// TokensPerSecond is the speed of one request running alone.
	TokensPerSecond float64 `json:"tokens_per_second"`
	MaxRunning      int     `json:"max_running"`
	// Load is a load report, which may be out of date.
	Load Load `json:"load"`
}

// Load is an engine's load report.
type Load struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	At      time.Time `json:"at"`
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
	// OrderRaiseFence only raises the fence: the engine then refuses lower
	// ones.
	OrderRaiseFence OrderKind = "raise_fence"
)

// Order changes what an engine holds. An engine answers an order to load as
// soon as the load starts; its state shows when the load has ended.
type Order struct {
	ID          string    `json:"id"`
	Kind        OrderKind `json:"kind"`
	Fence       int64     `json:"fence"`
	Model       string    `json:"model,omitempty"`
	Version     string    `json:"version,omitempty"`
	Adapter     string    `json:"adapter,omitempty"`
	MemoryBytes int64     `json:"memory_bytes,omitempty"`
	// CheckpointBytes is the size to fetch if the checkpoint is not cached.
	CheckpointBytes int64  `json:"checkpoint_bytes,omitempty"`
	Role            string `json:"role,omitempty"`
}

// Request is one request to a model.
type Request struct {
	// ID identifies one attempt. The engine echoes it on every chunk.
	ID string `json:"id"`
	// IdempotencyKey is the caller's key, for the engine's own records.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Model          string `json:"model"`
	Adapter        string `json:"adapter,omitempty"`
	Session        string `json:"session,omitempty"`
	// Priority orders the engine's queue, highest first.
	Priority int `json:"priority"`
	// Prompt holds the caller's messages as JSON.
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// Chunk is a part of a response.
type Chunk struct {
	RequestID string `json:"request_id"`
	// Offset is the number of tokens before this chunk.
	Offset int `json:"offset"`
	// Tokens is the number of tokens in Text.
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	// Done marks the last chunk. A response that ends without it is truncated.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// Load is the engine's load at the time of the chunk, set on the first and
	// the last chunk.
	Load *Load `json:"load,omitempty"`
}

// Stream is a response in progress.
type Stream interface {
	// Next returns the next chunk, io.EOF after the chunk marked Done, or
	// ErrUnknown if the connection was lost before.
	Next() (Chunk, error)
	// Close releases the stream. It does not cancel the request.
	Close() error
}

// RunPhase is the phase of a request.
type RunPhase string

// Phases of a request.
const (
	RunQueued  RunPhase = "queued"
	RunRunning RunPhase = "running"
	RunDone    RunPhase = "done"
	RunFailed  RunPhase = "failed"
)

// RunStatus is an engine's record of a request.
type RunStatus struct {
	ID     string   `json:"id"`
	Phase  RunPhase `json:"phase"`
	Tokens int      `json:"tokens"`
	// Incarnation is the incarnation of the engine that responds.
	Incarnation string `json:"incarnation"`
}

// CacheEvent reports that a prompt prefix entered or left an engine's cache.
// Events may be late, and some may be missing.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Session  string `json:"session"`
	Model    string `json:"model"`
	Evicted  bool   `json:"evicted"`
}

// Engine is one model engine.
type Engine interface {
	// State reads the engine's state.
	State(ctx context.Context) (State, error)
	// Watch returns the state once its revision differs from after, or after a
	// time-out chosen by the engine.
	Watch(ctx context.Context, after int64) (State, error)
	// Order sends an order. It returns ErrNotSent, ErrUnknown, ErrOldFence,
	// ErrNoMemory or ErrBadRequest.
	Order(ctx context.Context, order Order) error
	// Run starts a request. It returns ErrNotSent, ErrUnknown, ErrNotLoaded,
	// ErrBusy, ErrLeaving or ErrBadRequest.
	Run(ctx context.Context, req Request) (Stream, error)
	// Resume continues the response to a request after offset tokens. It returns
	// ErrNoRequest, ErrNotSent or ErrUnknown.
	Resume(ctx context.Context, requestID string, offset int) (Stream, error)
	// Cancel cancels a request. Cancelling an ended request is not an error.
	Cancel(ctx context.Context, requestID string) error
	// RunStatus returns the engine's record of a request. It returns
	// ErrNoRequest if there is none.
	RunStatus(ctx context.Context, requestID string) (RunStatus, error)
	// ExportKV reads the KV cache of a session. It returns ErrNoRequest if
	// there is none.
	ExportKV(ctx context.Context, session string) ([]byte, error)
	// ImportKV writes the KV cache of a session to the engine.
	ImportKV(ctx context.Context, session string, data []byte) error
	// CacheEvents returns events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
}
