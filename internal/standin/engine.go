package standin

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"chestnutgauge/internal/engine"
)

// EngineSettings describe one stand-in engine.
type EngineSettings struct {
	Name         string
	MemoryBytes  int64
	ChecksFences bool
	// TokensPerSecond is the speed of one request running alone.
	TokensPerSecond float64
	// FirstToken is the time to the first token of a request that need not
	// wait.
	FirstToken time.Duration
	MaxRunning int
	MaxQueued  int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// LocalLoad is the time of a load from the engine's own disk.
	LocalLoad time.Duration
	// RestartTime is the time that a crashed engine is away.
	RestartTime time.Duration
}

// Bounds of what an engine keeps.
const (
	keptRuns      = 4096
	keptEvents    = 1024
	watchWait     = time.Second
	slowdownShare = 0.04
)

// Engine is a stand-in engine. It implements engine.Engine in memory.
type Engine struct {
	settings EngineSettings
	weights  *Weights
	faults   *Faults
	journal  *Journal

	mu          sync.Mutex
	incarnation string
	alive       context.Context
	kill        context.CancelFunc
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
	silenced    int64
}

var _ engine.Engine = (*Engine)(nil)

// NewEngine returns an empty engine.
func NewEngine(settings EngineSettings, weights *Weights, faults *Faults, journal *Journal) *Engine {
	e := &Engine{settings: settings, weights: weights, faults: faults, journal: journal}
	e.cached = map[string]engine.Cached{}
	e.reset()
	return e
}

// reset empties the engine, as a restart does. The disk keeps its
// checkpoints. The caller holds mu or is the constructor.
func (e *Engine) reset() {
	if e.kill != nil {
		e.kill()
	}
	e.alive, e.kill = context.WithCancel(context.Background())
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

// Crash ends everything that runs; the engine comes back empty after its
// restart time.
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
	time.AfterFunc(e.settings.RestartTime, e.Start)
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

// Start ends Stop or a crash.
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
	e.touch()
}

// Silence stops output on the streams that are open now.
func (e *Engine) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silenced++
}

// touch wakes watchers. The caller holds mu.
func (e *Engine) touch() {
	e.revision++
	close(e.changed)
	e.changed = make(chan struct{})
}

// used returns the memory in use, loads in progress included. The caller
// holds mu.
func (e *Engine) used() int64 {
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

// entry fills the engine's own fields of a journal entry. The caller holds
// mu.
func (e *Engine) entry(entry Entry) Entry {
	entry.Endpoint = e.settings.Name
	entry.MemoryUsed = e.used()
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
		MemoryUsed:      e.used(),
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

// laggedLoad renews the report once it is older than the lag. The caller
// holds mu.
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
		timer := time.NewTimer(watchWait)
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

// Order implements engine.Engine.
func (e *Engine) Order(_ context.Context, order engine.Order) error {
	if late := e.faults.delay(FaultLateOrder, e.settings.Name); late > 0 {
		time.AfterFunc(late, func() { _ = e.obey(order) })
		return engine.ErrUnknown
	}
	return e.obey(order)
}

func (e *Engine) obey(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return engine.ErrNotSent
	}
	err := e.carryOut(order)
	outcome := outcomeOK
	if err != nil {
		outcome = err.Error()
	}
	e.journal.Add(e.entry(Entry{Kind: EntryOrder, Order: string(order.Kind), Model: order.Model, Adapter: order.Adapter, Fence: order.Fence, Outcome: outcome}))
	if _, lost := e.faults.at(FaultLostOrder, e.settings.Name); lost {
		return engine.ErrUnknown
	}
	return err
}

// carryOut obeys an order. It does not check memory: an order that
// overcommits shows in the journal.
func (e *Engine) carryOut(order engine.Order) error {
	if e.settings.ChecksFences {
		if order.Fence < e.fence {
			return engine.ErrOldFence
		}
		e.fence = order.Fence
	}
	switch order.Kind {
	case engine.OrderLoad:
		return e.startLoad(order)
	case engine.OrderUnload:
		return e.unload(order)
	case engine.OrderLoadAdapter:
		return e.startAdapter(order)
	case engine.OrderUnloadAdapter:
		return e.unloadAdapter(order)
	case engine.OrderSetRole:
		e.role = order.Role
	case engine.OrderRaiseFence:
	default:
		return engine.ErrBadRequest
	}
	e.touch()
	return nil
}

func (e *Engine) startLoad(order engine.Order) error {
	_, loaded := e.loaded[order.Model]
	_, loading := e.loading[order.Model]
	if loaded || loading {
		return nil
	}
	tier := engine.TierRemote
	if cached, ok := e.cached[order.Model]; ok && cached.Version == order.Version {
		tier = cached.Tier
	}
	e.loading[order.Model] = engine.Loading{
		OrderID: order.ID, Model: order.Model, Version: order.Version,
		MemoryBytes: order.MemoryBytes, Tier: tier, Started: time.Now(),
	}
	e.journal.Add(e.entry(Entry{Kind: EntryLoadStart, Model: order.Model, Fence: order.Fence, Tier: string(tier)}))
	e.touch()
	go e.load(e.alive, order, tier)
	return nil
}

func (e *Engine) load(alive context.Context, order engine.Order, tier engine.Tier) {
	if fault, ok := e.faults.strike(FaultCrashOnLoad, func(f Fault) bool {
		return (f.Endpoint == "" || f.Endpoint == e.settings.Name) && (f.Model == "" || f.Model == order.Model)
	}); ok {
		sleep(alive, time.Duration(fault.Milliseconds)*time.Millisecond)
		e.Crash("", order.Model)
		return
	}
	fetched := false
	if tier == engine.TierRemote {
		fetched = e.weights.fetch(alive, order.CheckpointBytes)
	}
	if !sleep(alive, e.settings.LocalLoad) || (tier == engine.TierRemote && !fetched) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if alive.Err() != nil {
		return
	}
	if e.loading[order.Model].OrderID != order.ID {
		return
	}
	delete(e.loading, order.Model)
	e.loaded[order.Model] = &engine.Loaded{Model: order.Model, Version: order.Version, MemoryBytes: order.MemoryBytes}
	e.cached[order.Model] = engine.Cached{Model: order.Model, Version: order.Version, Tier: engine.TierDisk}
	e.journal.Add(e.entry(Entry{Kind: EntryLoadEnd, Model: order.Model, Fence: order.Fence, Outcome: outcomeOK}))
	e.touch()
}

func (e *Engine) unload(order engine.Order) error {
	_, loaded := e.loaded[order.Model]
	_, loading := e.loading[order.Model]
	if !loaded && !loading {
		return nil
	}
	delete(e.loaded, order.Model)
	delete(e.loading, order.Model)
	for _, r := range e.runs {
		if r.req.Model == order.Model {
			r.cancel()
		}
	}
	e.journal.Add(e.entry(Entry{Kind: EntryUnload, Model: order.Model, Fence: order.Fence}))
	e.touch()
	return nil
}

func (e *Engine) startAdapter(order engine.Order) error {
	loaded, ok := e.loaded[order.Model]
	if !ok {
		return engine.ErrNotLoaded
	}
	key := order.Model + "+" + order.Adapter
	_, loading := e.loading[key]
	if loading || hasAdapter(loaded, order.Adapter) {
		return nil
	}
	e.loading[key] = engine.Loading{
		OrderID: order.ID, Model: order.Model, Version: order.Version, Adapter: order.Adapter,
		MemoryBytes: order.MemoryBytes, Tier: engine.TierRemote, Started: time.Now(),
	}
	e.touch()
	go e.loadAdapter(e.alive, order, key)
	return nil
}

func (e *Engine) loadAdapter(alive context.Context, order engine.Order, key string) {
	if !e.weights.fetchAdapter(alive) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if alive.Err() != nil {
		return
	}
	delete(e.loading, key)
	if loaded, ok := e.loaded[order.Model]; ok {
		loaded.Adapters = append(loaded.Adapters, engine.Adapter{Name: order.Adapter, Version: order.Version, MemoryBytes: order.MemoryBytes})
	}
	e.touch()
}

func (e *Engine) unloadAdapter(order engine.Order) error {
	loaded, ok := e.loaded[order.Model]
	if !ok {
		return nil
	}
	loaded.Adapters = slices.DeleteFunc(loaded.Adapters, func(a engine.Adapter) bool { return a.Name == order.Adapter })
	e.touch()
	return nil
}

func hasAdapter(loaded *engine.Loaded, name string) bool {
	return slices.ContainsFunc(loaded.Adapters, func(a engine.Adapter) bool { return a.Name == name })
}

// ExportKV implements engine.Engine.
func (e *Engine) ExportKV(_ context.Context, session string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.kv[session]
	if !ok {
		return nil, engine.ErrNoRequest
	}
	return data, nil
}

// ImportKV implements engine.Engine.
func (e *Engine) ImportKV(_ context.Context, session string, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv[session] = data
	return nil
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(_ context.Context, after int64) ([]engine.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []engine.CacheEvent
	for _, event := range e.events {
		if event.Sequence > after {
			out = append(out, event)
		}
	}
	return out, nil
}

// Answer is the text that the stand-in engines give to a request, one element
// per token. It depends only on the model, the adapter and the prompt.
func Answer(model, adapter, prompt string, tokens int) []string {
	out := make([]string, tokens)
	for i := range out {
		digest := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", model, adapter, prompt, i))
		out[i] = fmt.Sprintf("w%04x ", digest&0xffff)
	}
	return out
}

// AnswerText is Answer as one text.
func AnswerText(model, adapter, prompt string, tokens int) string {
	return strings.Join(Answer(model, adapter, prompt, tokens), "")
}

var _ io.Closer = (*runStream)(nil)
