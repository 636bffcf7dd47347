// Package router answers callers: it chooses an endpoint for each request,
// asks controllers for cold models, and streams the answer.
package router

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/load"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/plain"
	"chestnutgauge/internal/retry"
	"chestnutgauge/internal/session"
)

// Defaults for what neither the caller nor the configuration sets.
const (
	defaultDeadline = 60 * time.Second
	maxDeadline     = 24 * time.Hour
	maxBodyBytes    = 4 << 20
)

// Connect returns a client of the engine at an address.
type Connect func(address string) engine.Engine

// Parts are what a router works with.
type Parts struct {
	VM         string
	DataCentre string
	Config     *config.Follower
	Members    *membership.Tracker
	Directory  *endpoints.Directory
	Peers      *peer.Pool
	Connect    Connect
	Plain      *plain.Caller
	Claims     *claim.Store
	Events     *events.Recorder
	Log        *slog.Logger
}

// Router serves callers.
type Router struct {
	Parts

	draining atomic.Bool

	mu       sync.Mutex
	inFlight map[string]int
	clients  map[string]engine.Engine

	scheduler *scheduler
	loads     *load.Tracker
	sessions  *session.Table
	retries   *retryBudget
}

// New returns a router.
func New(parts Parts) *Router {
	r := &Router{
		Parts:    parts,
		inFlight: map[string]int{},
		clients:  map[string]engine.Engine{},
		loads:    load.NewTracker(load.DefaultSettings()),
		sessions: session.NewTable(session.DefaultSize),
		retries:  newRetryBudget(retry.DefaultSettings()),
	}
	r.scheduler = newScheduler(r)
	return r
}

// Handler serves the callers' interface.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.HandleFunc("GET /v1/models", r.serveModels)
	mux.HandleFunc("POST /v1/chat/completions", r.serveChat)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", r.serveService)
	mux.HandleFunc("/", r.serveUnknownPath)
	return mux
}

// Ready tells whether the router can answer callers, and if not, why.
func (r *Router) Ready() (bool, string) {
	switch {
	case r.draining.Load():
		return false, "draining"
	case r.Config.Current().Version == 0:
		return false, "no configuration yet"
	}
	return true, ""
}

// Drain makes the router report that it is not ready. It goes on serving what
// still comes.
func (r *Router) Drain() {
	r.draining.Store(true)
}

// Draining reports whether Drain was called.
func (r *Router) Draining() bool {
	return r.draining.Load()
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := r.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

func (r *Router) serveUnknownPath(w http.ResponseWriter, req *http.Request) {
	writeError(w, "", outcome.BadField("path", req.Method+" "+req.URL.Path+" is not offered"))
}

// begin counts a request at an endpoint until the returned function is called.
func (r *Router) begin(endpoint string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[endpoint]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inFlight[endpoint]--
		if r.inFlight[endpoint] == 0 {
			delete(r.inFlight, endpoint)
		}
	}
}

func (r *Router) inFlightAt(endpoint string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight[endpoint]
}

// client returns the client of the engine at an address.
func (r *Router) client(address string) engine.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	client, ok := r.clients[address]
	if !ok {
		client = &measuredEngine{Engine: r.Connect(address), address: address, router: r}
		r.clients[address] = client
	}
	return client
}

func newRequestID() string {
	return uuid.NewString()
}
