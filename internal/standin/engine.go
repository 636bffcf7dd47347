package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"chestnutgauge/internal/engine"
)

// EngineSettings describe one stand-in engine.
type EngineSettings struct {
	Name         string
	MemoryBytes  int64
	ChecksFences bool
	// TokensPerSecond is the generation rate of a request that runs alone.
	TokensPerSecond float64
	// FirstToken is the time from the start of a run to its first token.
	FirstToken time.Duration
	MaxRunning int
	MaxQueued  int
	// ReportLag is the maximum age of load reports.
	ReportLag time.Duration
	// LocalLoad is the duration of a load from the engine's own disk.
	LocalLoad time.Duration
	// RestartTime is the time for which a crashed engine is unreachable.
	RestartTime time.Duration
}

// Limits of an engine. maxRuns and maxEvents bound the runs and cache events that
// it retains, watchTimeout the duration of Watch. Each additional running request
// increases the time per token by the share batchSlowdown.
const (
	maxRuns       = 4096
	maxEvents     = 1024
	watchTimeout  = time.Second
	batchSlowdown = 0.04
)

// Engine is a stand-in engine. It implements engine.Engine in memory.
type Engine struct {
	settings EngineSettings
	weights  *Weights
	faults   *Faults
	journal  *Journal

	mu          sync.Mutex
	incarnation string
	lifetime    context.Context
	endLifetime context.CancelFunc
	stopped     bool
	leaving     bool
	fence       int64
	revision    int64
	changed     chan struct{}
	role        string
	loaded      map[string]*engine.Loaded
	loading     map[string]engine.Loading
	cached      map[string]engine.Cached
	runs        map[string]*run
	runOrder    []string
	running     int
	queued      []*run
	kv          map[string][]byte
	events      []engine.CacheEvent
	eventSeq    int64
	report      engine.Load
	stalls      int64
}

var _ engine.Engine = (*Engine)(nil)

// NewEngine returns an engine without models or checkpoints.
func NewEngine(settings EngineSettings, weights *Weights, faults *Faults, journal *Journal) *Engine {
	e := &Engine{settings: settings, weights: weights, faults: faults, journal: journal}
	e.cached = map[string]engine.Cached{}
	e.reset()
	return e
}

// reset clears the engine's state as a restart does, except for the checkpoints
// on its disk. The caller holds mu or is the constructor.
func (e *Engine) reset() {
	if e.endLifetime != nil {
		e.endLifetime()
	}
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.incarnation = uuid.NewString()
	e.changed = make(chan struct{})
	e.loaded = map[string]*engine.Loaded{}
	e.loading = map[string]engine.Loading{}
	e.runs = map[string]*run{}
	e.runOrder = nil
	e.queued = nil
	e.running = 0
	e.fence = 0
	e.kv = map[string][]byte{}
	e.revision++
}

// Name returns the engine's name.
func (e *Engine) Name() string {
	return e.settings.Name
}

// Cache puts a checkpoint on the engine's disk.
func (e *Engine) Cache(model, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cached[model] = engine.Cached{Model: model, Version: version, Tier: engine.TierDisk}
}

// Crash ends all runs and loads. The engine is reachable again after its restart
// time, with empty memory, unless it is stopped meanwhile. requestID and model go
// into the journal entry.
func (e *Engine) Crash(requestID, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.journal.Add(e.entry(Entry{Kind: EntryCrash, RequestID: requestID, Model: model}))
	e.stopped = true
	close(e.changed)
	e.reset()
	crashed := e.incarnation
	time.AfterFunc(e.settings.RestartTime, func() { e.restart(crashed) })
}

// restart makes the engine reachable again after the crash that began the given
// incarnation. It does nothing if the engine was stopped or has crashed since.
func (e *Engine) restart(crashed string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == crashed {
		e.stopped = false
	}
}

// Stop makes the engine refuse connections until Start.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.journal.Add(e.entry(Entry{Kind: EntryCrash, Outcome: "stopped"}))
	e.stopped = true
	close(e.changed)
	e.reset()
}

// Start makes the engine reachable again after Stop or Crash.
func (e *Engine) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = false
}

// SetLeaving makes the engine refuse new work, or accept it again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.notifyWatchers()
}

// StallStreams stalls the streams that are open now: they stay open without output.
func (e *Engine) StallStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalls++
}

// notifyWatchers increments the revision and wakes watchers. The caller holds mu.
func (e *Engine) notifyWatchers() {
	e.revision++
	close(e.changed)
	e.changed = make(chan struct{})
}

// memoryInUse returns the memory in use in bytes, including loads in progress.
// The caller holds mu.
func (e *Engine) memoryInUse() int64 {
	var sum int64
	for _, loaded := range e.loaded {
		sum += loaded.MemoryBytes
		for _, adapter := range loaded.Adapters {
			sum += adapter.MemoryBytes
		}
	}
	for _, loading := range e.loading {
		sum += loading.MemoryBytes
	}
	return sum
}

// entry sets the endpoint and memory fields of a journal entry. The caller holds
// mu.
func (e *Engine) entry(entry Entry) Entry {
	entry.Endpoint = e.settings.Name
	entry.MemoryUsed = e.memoryInUse()
	entry.MemoryTotal = e.settings.MemoryBytes
	return entry
}

// State implements engine.Engine.
func (e *Engine) State(context.Context) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return engine.State{}, engine.ErrNotSent
	}
	return e.state(), nil
}

func (e *Engine) state() engine.State {
	state := engine.State{
		Incarnation:     e.incarnation,
		Revision:        e.revision,
		Fence:           e.fence,
		Role:            e.role,
		Leaving:         e.leaving,
		MemoryTotal:     e.settings.MemoryBytes,
		MemoryUsed:      e.memoryInUse(),
		TokensPerSecond: e.settings.TokensPerSecond,
		MaxRunning:      e.settings.MaxRunning,
		Load:            e.laggedLoad(),
	}
	for _, loaded := range e.loaded {
		copied := *loaded
		copied.Adapters = slices.Clone(loaded.Adapters)
		state.Loaded = append(state.Loaded, copied)
	}
	for _, loading := range e.loading {
		state.Loading = append(state.Loading, loading)
	}
	for _, cached := range e.cached {
		state.Cached = append(state.Cached, cached)
	}
	slices.SortFunc(state.Loaded, func(a, b engine.Loaded) int { return strings.Compare(a.Model, b.Model) })
	return state
}

// laggedLoad returns the load report, which it refreshes once it is older than
// ReportLag. The caller holds mu.
func (e *Engine) laggedLoad() engine.Load {
	if time.Since(e.report.At) >= e.settings.ReportLag {
		e.report = e.freshLoad()
	}
	return e.report
}

func (e *Engine) freshLoad() engine.Load {
	return engine.Load{Running: e.running, Queued: len(e.queued), At: time.Now()}
}

// Watch implements engine.Engine.
func (e *Engine) Watch(ctx context.Context, after int64) (engine.State, error) {
	e.mu.Lock()
	changed, revision := e.changed, e.revision
	e.mu.Unlock()
	if revision == after {
		timer := time.NewTimer(watchTimeout)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return engine.State{}, engine.ErrUnknown
		}
	}
	return e.State(ctx)
}
