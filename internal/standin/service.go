package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in for one instance of a plain service. It answers with
// what it was sent.
type Service struct {
	name    string
	work    time.Duration
	faults  *Faults
	journal *Journal

	mu      sync.Mutex
	leaving bool
	running int
	runs    map[string]string
}

// Headers between the system and a plain service.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// NewService returns a plain service whose calls take work.
func NewService(name string, work time.Duration, faults *Faults, journal *Journal) *Service {
	return &Service{name: name, work: work, faults: faults, journal: journal, runs: map[string]string{}}
}

// ServiceReply is the answer of the stand-in service.
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

// status tells how far a call has come: running, done, or 404.
func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	phase, ok := s.runs[r.PathValue("id")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]string{"phase": phase})
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get(HeaderRequestID), r.Header.Get(HeaderIdempotencyKey)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.start(id) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.journal.Add(Entry{Kind: EntryRunStart, Endpoint: s.name, RequestID: id, IdempotencyKey: key})
	time.Sleep(s.work)
	s.end(id)
	s.journal.Add(Entry{Kind: EntryRunEnd, Endpoint: s.name, RequestID: id, IdempotencyKey: key, Outcome: outcomeOK})
	if d := s.faults.delay(FaultLate, s.name); d > 0 {
		time.Sleep(d)
	}
	if _, silent := s.faults.at(FaultSilence, s.name); silent {
		<-r.Context().Done()
		return
	}
	if _, cut := s.faults.at(FaultCut, s.name); cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRequestID, id)
	_ = json.NewEncoder(w).Encode(ServiceReply{Service: s.name, RequestID: id, Path: r.URL.Path, Body: string(body)})
}

func (s *Service) start(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.running++
	s.runs[id] = "running"
	return true
}

func (s *Service) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs[id] = "done"
}
