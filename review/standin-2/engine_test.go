//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of an engine.
const (
	heartbeat = 1200 * time.Millisecond
	// reportLag is the age of what an engine's report says.
	reportLag = 250 * time.Millisecond
	// adapterTime is the time for which an adapter is on its way from the store while no more than
	// fastAdapters are on their way to all engines; it is longer in proportion beyond.
	adapterTime  = 9700 * time.Microsecond
	fastAdapters = 32
	maxComing    = 4
	diskLoadTime = 400 * time.Millisecond
	// downTime is how long an engine that has crashed stays away.
	downTime  = 3 * time.Second
	eventTime = 15 * time.Millisecond
)

// pool is what the engines of a service share.
type pool struct {
	service     string
	maxAdapters int
	store       *store
	record      *record

	mu sync.Mutex
	// coming is the number of adapters on their way to all engines.
	coming int
	// lastHolder is the name of the machine that gave the last order.
	lastHolder string
	// given is closed when an engine accepts the next load of an adapter. It may be nil.
	given chan struct{}
}

// nextLoad returns a channel that is closed when an engine accepts the next load of an adapter.
func (p *pool) nextLoad() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.given = make(chan struct{})
	return p.given
}

// snapshot is what a report says.
type snapshot struct {
	at       time.Time
	models   []map[string]any
	coming   []string
	busy     bool
	sequence int64
	running  int
	// held is the number of adapters that are held.
	held int
}

// engine stands in for a model engine. It keeps its place and address over crashes, after which it is
// another instance that holds no model.
type engine struct {
	pool    *pool
	zone    string
	address string
	slots   int
	events  int
	// crashesOn reports whether a request crashes the engine when that begins to write its answer.
	crashesOn func(r *http.Request) bool
	// arrived is called with each request that reaches the engine. Both may be nil.
	arrived func(e *engine, r *http.Request)
	// overLimit is called when an order loads more adapters than the engine may hold.
	overLimit func(e *engine, holder, text string)

	mu       sync.Mutex
	id       string
	born     int64
	server   *http.Server
	up       bool
	models   map[string]map[string]bool
	onDisk   map[string]bool
	coming   map[string]bool
	busy     bool
	sequence int64
	beats    int64
	running  int
	// fetches counts the fetches of each adapter.
	fetches map[string]int
	history []snapshot
}

func newEngine(p *pool, address, zone string, slots int, models ...string) *engine {
	e := &engine{pool: p, address: address, zone: zone, slots: slots, events: 5, onDisk: map[string]bool{}}
	for _, m := range models {
		e.onDisk[m] = true
	}
	return e
}

// start starts an instance of the engine that holds models.
func (e *engine) start(models ...string) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.id = fmt.Sprintf("i-%010x", rand.Uint64()&0xffffffffff)
	e.born = time.Now().UnixMilli()
	e.up, e.busy, e.sequence, e.running = true, false, 0, 0
	e.models, e.coming, e.fetches, e.history = map[string]map[string]bool{}, map[string]bool{}, map[string]int{}, nil
	for _, m := range models {
		e.models[m] = map[string]bool{}
	}
	e.server = &http.Server{Handler: e}
	server, id := e.server, e.id
	e.note()
	e.writeEntry()
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go e.beat(id)
	return nil
}

// beat writes the entry of an instance until that has ended.
func (e *engine) beat(id string) {
	for {
		time.Sleep(heartbeat)
		e.mu.Lock()
		if e.id != id || !e.up {
			e.mu.Unlock()
			return
		}
		e.writeEntry()
		e.mu.Unlock()
	}
}

// crash ends the instance at once. Another one starts after downTime, and the entry of this one is
// removed after three heartbeats.
func (e *engine) crash(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.id != id {
		return
	}
	e.up = false
	server := e.server
	e.pool.record.line("engine %s at %s crashed", id, e.address)
	go func() { _ = server.Close() }()
	time.AfterFunc(3*heartbeat, func() { e.pool.store.write("servers", id, nil) })
	time.AfterFunc(downTime, func() { _ = e.start() })
}

func (e *engine) modelList() []map[string]any {
	list := []map[string]any{}
	for name, adapters := range e.models {
		held := []string{}
		for a := range adapters {
			held = append(held, a)
		}
		slices.Sort(held)
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": held})
	}
	return list
}

func (e *engine) diskList() []string {
	list := []string{}
	for m := range e.onDisk {
		list = append(list, m)
	}
	return list
}

// writeEntry writes the engine's entry. The caller holds mu.
func (e *engine) writeEntry() {
	e.beats++
	entry, _ := json.Marshal(map[string]any{
		"service": e.pool.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"coldRemainingMs": 0, "stage": "colocated", "models": e.modelList(), "sequence": e.beats, "born": e.born,
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": e.diskList()},
	})
	e.pool.store.write("servers", e.id, entry)
}

// note records the state for later reports. The caller holds mu.
func (e *engine) note() {
	s := snapshot{at: time.Now(), models: e.modelList(), busy: e.busy, sequence: e.sequence, running: e.running, coming: []string{}, held: e.adapters() - len(e.coming)}
	for name := range e.coming {
		s.coming = append(s.coming, name+"@1")
	}
	e.history = append(e.history, s)
	for len(e.history) > 2 && time.Since(e.history[1].at) > 2*reportLag {
		e.history = e.history[1:]
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Chestnutgauge-Request-Id"); id != "" {
		w.Header().Set("Chestnutgauge-Request-Id", id)
	}
	e.mu.Lock()
	id, up := e.id, e.up
	e.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Chestnutgauge-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Chestnutgauge-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/order":
		e.order(w, r)
	default:
		e.serve(w, r, id)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	said := e.history[0]
	for _, s := range e.history {
		if time.Since(s.at) >= reportLag {
			said = s
		}
	}
	e.pool.record.line("report of %s, as of %d ms ago: sequence %d, %d adapters, coming %v; it has %s", e.id, time.Since(said.at).Milliseconds(),
		said.sequence, said.held, said.coming, e.state())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "colocated", "models": said.models, "busy": said.busy, "sequence": said.sequence, "queued": 0,
		"running": said.running, "kvUsed": 100 * said.running, "kvCapacity": 232000, "handles": 0, "born": e.born, "coming": said.coming,
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": e.diskList()},
	})
}

type order struct {
	Operation, Model, Adapter, Holder string
	ExpectedRevision                  *int64
	FencingToken                      int64
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.pool.mu.Lock()
	e.pool.lastHolder = o.Holder
	e.pool.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	before, id := e.state(), e.id
	status := e.execute(o)
	e.pool.record.line("order at %s from %s token %d: %s %s/%s sequence %d, engine has %s -> %d", e.id, o.Holder, o.FencingToken,
		o.Operation, o.Model, o.Adapter, value(o.ExpectedRevision), before, status)
	if n := e.adapters(); n > e.pool.maxAdapters && e.up {
		text := fmt.Sprintf("engine %s, which held %s, was ordered by %s to load %s/%s: %d of %d", e.id, before, o.Holder, o.Model, o.Adapter, n, e.pool.maxAdapters)
		if e.overLimit != nil {
			e.overLimit(e, o.Holder, text)
		}
		go e.crash(id)
	}
	w.WriteHeader(status)
}

func value(p *int64) int64 {
	if p == nil {
		return -1
	}
	return *p
}

// state describes the engine. The caller holds mu.
func (e *engine) state() string {
	held := 0
	for _, adapters := range e.models {
		held += len(adapters)
	}
	return fmt.Sprintf("sequence %d, %d adapters and %d coming", e.sequence, held, len(e.coming))
}

// adapters returns the number of adapters that count. The caller holds mu.
func (e *engine) adapters() int {
	n := len(e.coming)
	for _, adapters := range e.models {
		n += len(adapters)
	}
	return n
}

// execute carries out an order and returns the status of the answer. The caller holds mu.
func (e *engine) execute(o order) int {
	held, present := e.models[o.Model]
	name := o.Model + "/" + o.Adapter
	unload := o.Operation == "unloading"
	switch {
	case o.ExpectedRevision != nil && *o.ExpectedRevision != e.sequence, e.busy && o.Adapter == "":
		return http.StatusConflict
	case o.Adapter != "" && !present:
		return http.StatusConflict
	case o.Adapter != "" && unload:
		// One that requests use counts as dropped at once, though it goes when they have ended. One
		// that is on its way does not arrive.
		delete(held, o.Adapter)
		delete(e.coming, name)
		e.advance()
		return http.StatusOK
	case o.Adapter != "" && (held[o.Adapter] || e.coming[name]):
		return http.StatusOK
	case o.Adapter != "" && len(e.coming) >= maxComing:
		return http.StatusConflict
	case o.Adapter != "":
		e.coming[name] = true
		e.advance()
		e.fetch(o.Model, o.Adapter)
		return http.StatusAccepted
	case unload && !present, !unload && present:
		return http.StatusOK
	}
	e.busy = true
	e.advance()
	id, took := e.id, diskLoadTime
	if unload {
		took = 10 * time.Millisecond
	}
	time.AfterFunc(took, func() { e.finish(id, o.Model, unload) })
	return http.StatusAccepted
}

// advance counts an order that is carried out. The caller holds mu.
func (e *engine) advance() {
	e.sequence++
	e.note()
}

// fetch brings an adapter from the store. The caller holds mu.
func (e *engine) fetch(model, adapter string) {
	e.pool.mu.Lock()
	e.pool.coming++
	if e.pool.given != nil {
		close(e.pool.given)
		e.pool.given = nil
	}
	took := adapterTime
	if e.pool.coming > fastAdapters {
		took = took * time.Duration(e.pool.coming) / fastAdapters
	}
	e.pool.mu.Unlock()
	id := e.id
	e.fetches[model+"/"+adapter]++
	number := e.fetches[model+"/"+adapter]
	time.AfterFunc(took, func() {
		e.pool.mu.Lock()
		e.pool.coming--
		e.pool.mu.Unlock()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.id != id {
			return
		}
		held, present := e.models[model]
		if e.fetches[model+"/"+adapter] != number || !e.coming[model+"/"+adapter] {
			return
		}
		delete(e.coming, model+"/"+adapter)
		if present {
			held[adapter] = true
		}
		e.note()
	})
}

// finish ends the load or unload of a model.
func (e *engine) finish(id, model string, unload bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id != id || !e.up {
		return
	}
	e.busy = false
	if unload {
		delete(e.models, model)
	} else {
		e.models[model] = map[string]bool{}
		e.onDisk[model] = true
	}
	e.note()
	e.writeEntry()
}

// serve runs a request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if e.arrived != nil {
		e.arrived(e, r)
	}
	model, adapter, _ := strings.Cut(r.Header.Get("Chestnutgauge-Model"), "/")
	e.mu.Lock()
	adapters, holds := e.models[model]
	switch {
	case e.coming[model+"/"+adapter], e.running >= e.slots:
		e.mu.Unlock()
		w.Header().Set("Chestnutgauge-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case model != "" && (!holds || adapter != "" && !adapters[adapter]):
		e.mu.Unlock()
		w.Header().Set("Chestnutgauge-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.running++
	w.Header().Set("Chestnutgauge-Server-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	time.Sleep(eventTime)
	if e.crashesOn != nil && e.crashesOn(r) {
		e.crash(id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Chestnutgauge-Response-Signature", "s."+id)
	if model == "" {
		_, _ = fmt.Fprintf(w, "%s %s", r.Method, r.RequestURI)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Chestnutgauge-Weight-Versions", "1")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for event := first; event <= e.events; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", event, event)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventTime)
	}
}
