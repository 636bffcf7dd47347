package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"golang.org/x/sync/errgroup"

	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/platform/httpplatform"
)

// StandIn is a complete stand-in: the platform, its engines and its services.
type StandIn struct {
	Faults     *Faults
	Journal    *Journal
	Table      *Table
	Objects    *Objects
	Weights    *Weights
	Membership *Membership
	Engines    map[string]*Engine
	Services   map[string]*Service

	settings Settings
}

// New returns a stand-in with the engines and services of the settings.
func New(settings Settings) *StandIn {
	faults := &Faults{}
	limits := platform.WeightLimits{
		FullSpeedLoads:    settings.Weights.FullSpeedLoads,
		AdaptersInTransit: settings.Weights.AdaptersInTransit,
	}
	s := &StandIn{
		Faults:     faults,
		Journal:    &Journal{},
		Table:      NewTable(faults),
		Objects:    NewObjects(faults),
		Weights:    NewWeights(limits, settings.Weights.BytesPerSecond, settings.Weights.AdapterTime.Std(), faults),
		Membership: NewMembership(settings.vms(), settings.Membership.Lag.Std(), faults),
		Engines:    map[string]*Engine{},
		Services:   map[string]*Service{},
		settings:   settings,
	}
	for _, entry := range settings.Engines {
		s.Engines[entry.Name] = NewEngine(entry.settings(), s.Weights, faults, s.Journal)
	}
	for _, entry := range settings.Services {
		s.Services[entry.Name] = NewService(entry.Name, entry.Work.Std(), faults, s.Journal)
	}
	return s
}

// Serve listens at all addresses of the settings until ctx ends.
func (s *StandIn) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return listenAndServe(ctx, s.settings.Listen, s.Handler(), nil) })
	for _, entry := range s.settings.Engines {
		engine := s.Engines[entry.Name]
		group.Go(func() error { return listenAndServe(ctx, entry.Listen, engine.Handler(), engine.isStopped) })
	}
	for _, entry := range s.settings.Services {
		handler := s.Services[entry.Name].Handler()
		group.Go(func() error { return listenAndServe(ctx, entry.Listen, handler, nil) })
	}
	return group.Wait()
}

func (e *Engine) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

// refusingListener closes new connections while refuse returns true.
type refusingListener struct {
	net.Listener
	refuse func() bool
}

// Accept implements net.Listener.
func (l refusingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.refuse == nil || !l.refuse() {
			return conn, err
		}
		_ = conn.Close()
	}
}

func listenAndServe(ctx context.Context, address string, handler http.Handler, refuse func() bool) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(refusingListener{listener, refuse})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// maxObjectBytes is the maximum size of an object.
const maxObjectBytes = 16 << 20

// Handler serves the platform, the journal and the faults over HTTP.
func (s *StandIn) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", s.serveRow)
	mux.HandleFunc("GET /table/rows", s.serveRows)
	mux.HandleFunc("POST /table/commit", s.serveCommit)
	mux.HandleFunc("PUT /objects", s.servePut)
	mux.HandleFunc("GET /objects", s.serveObject)
	mux.HandleFunc("DELETE /objects", s.serveDelete)
	mux.HandleFunc("GET /weights", s.serveWeights)
	mux.HandleFunc("GET /membership", s.serveMembership)
	mux.HandleFunc("GET /journal", s.serveJournal)
	mux.HandleFunc("POST /faults", s.serveFault)
	return mux
}

func (s *StandIn) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.Table.Get(r.Context(), r.URL.Query().Get("key"))
	platformReply(w, row, err)
}

func (s *StandIn) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		http.Error(w, "limit: must be a number", http.StatusBadRequest)
		return
	}
	rows, err := s.Table.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	platformReply(w, rows, err)
}

func (s *StandIn) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The commit must complete even if the client disconnects.
	version, err := s.Table.Commit(context.WithoutCancel(r.Context()), txn)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(httpplatform.CommitReply{Conflicts: conflict.Keys})
		return
	}
	platformReply(w, httpplatform.CommitReply{Version: version}, err)
}

func (s *StandIn) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		return
	}
	if err := s.Objects.Put(r.Context(), r.URL.Query().Get("key"), data); err != nil {
		platformReply(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *StandIn) serveDelete(w http.ResponseWriter, r *http.Request) {
	if err := s.Objects.Delete(r.Context(), r.URL.Query().Get("key")); err != nil {
		platformReply(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *StandIn) serveObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.Objects.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		platformReply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (s *StandIn) serveWeights(w http.ResponseWriter, r *http.Request) {
	limits, err := s.Weights.Limits(r.Context())
	platformReply(w, limits, err)
}

func (s *StandIn) serveMembership(w http.ResponseWriter, r *http.Request) {
	vms, err := s.Membership.List(r.Context())
	platformReply(w, vms, err)
}

func (s *StandIn) serveJournal(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, entry := range s.Journal.Entries() {
		_ = encoder.Encode(entry)
	}
}

func (s *StandIn) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetFault(fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetFault sets or clears a fault. Faults of VMs and of an endpoint's state take
// effect immediately, all others on later calls.
func (s *StandIn) SetFault(fault Fault) error {
	if err := fault.Check(); err != nil {
		return err
	}
	switch fault.Kind {
	case FaultVMRemoved, FaultVMLeaving:
		s.Membership.Update(fault.Endpoint, func(vm *platform.VM) bool {
			vm.State = platform.VMLeaving
			return fault.Kind == FaultVMLeaving
		})
		return nil
	case FaultStop, FaultRestart, FaultLeaving, FaultStall:
		if engine, ok := s.Engines[fault.Endpoint]; ok {
			applyEngineFault(engine, fault)
			return nil
		}
		if service, ok := s.Services[fault.Endpoint]; ok && fault.Kind == FaultLeaving {
			service.SetLeaving(!fault.Clear)
			return nil
		}
		if fault.Kind != FaultStall {
			return fmt.Errorf("endpoint %q: no such engine", fault.Endpoint)
		}
	}
	s.Faults.Set(fault)
	return nil
}

func applyEngineFault(engine *Engine, fault Fault) {
	switch {
	case fault.Kind == FaultStop && fault.Clear:
		engine.Start()
	case fault.Kind == FaultStop:
		engine.Stop()
	case fault.Kind == FaultRestart:
		engine.Crash("", "")
	case fault.Kind == FaultLeaving:
		engine.SetLeaving(!fault.Clear)
	case fault.Kind == FaultStall && !fault.Clear:
		engine.StallStreams()
	}
}

func platformReply(w http.ResponseWriter, result any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result)
	case errors.Is(err, platform.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, platform.ErrUnknown):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
