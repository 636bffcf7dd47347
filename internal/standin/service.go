package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/plain"
)

// Service simulates one instance of a plain service. It responds with the request
// that it received.
type Service struct {
	name     string
	callTime time.Duration
	faults   *Faults
	journal  *Journal

	mu      sync.Mutex
	leaving bool
	running int
	runs    map[string]plain.RunStatus
}

// Headers between the system and a plain service.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// NewService returns a plain service whose calls take callTime.
func NewService(name string, callTime time.Duration, faults *Faults, journal *Journal) *Service {
	return &Service{name: name, callTime: callTime, faults: faults, journal: journal, runs: map[string]plain.RunStatus{}}
}

const jsonType = "application/json"

// ServiceReply is the response of the stand-in service.
type ServiceReply struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// SetLeaving makes the service refuse new calls, or accept them again.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Handler serves the service over HTTP.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /runs/{id}", s.status)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"running": s.running})
}

// status responds with the phase of a call and, once it is done, its response. It
// responds with 404 for an unknown call.
func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, ok := s.runs[r.PathValue("id")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(status)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get(HeaderRequestID), r.Header.Get(HeaderIdempotencyKey)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(HeaderRequestID, id)
	if !s.start(id) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.journal.Add(Entry{Kind: EntryRunStart, Endpoint: s.name, RequestID: id, IdempotencyKey: key})
	time.Sleep(s.callTime)
	answer, err := json.Marshal(ServiceReply{Service: s.name, RequestID: id, Path: r.URL.Path, Body: string(body)})
	if err != nil {
		return
	}
	s.end(id, answer)
	s.journal.Add(Entry{Kind: EntryRunEnd, Endpoint: s.name, RequestID: id, IdempotencyKey: key, Outcome: outcomeOK})
	if d := s.faults.delay(FaultResponseDelay, s.name); d > 0 {
		time.Sleep(d)
	}
	if _, stalled := s.faults.consumeFor(FaultStall, s.name); stalled {
		<-r.Context().Done()
		return
	}
	if _, truncate := s.faults.consumeFor(FaultTruncate, s.name); truncate {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", jsonType)
	_, _ = w.Write(answer)
}

func (s *Service) start(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.running++
	s.runs[id] = plain.RunStatus{Phase: plain.PhaseRunning}
	return true
}

func (s *Service) end(id string, answer []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs[id] = plain.RunStatus{Phase: plain.PhaseDone, Status: http.StatusOK, ContentType: jsonType, Body: answer}
}
