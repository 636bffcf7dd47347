// Package router serves callers: it chooses an endpoint for each request,
// requests loads of cold models from controllers, and streams the response.
package router

import (
	"context"
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
	"chestnutgauge/internal/httpserver"
	"chestnutgauge/internal/load"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/plain"
	"chestnutgauge/internal/rendezvous"
	"chestnutgauge/internal/retry"
	"chestnutgauge/internal/session"
	"chestnutgauge/internal/suspect"
)

// Defaults and limits of callers' requests.
const (
	defaultDeadline = 60 * time.Second
	maxDeadline     = 24 * time.Hour
	maxBodyBytes    = 4 << 20
)

// Connect returns a client of the engine at an address.
type Connect func(address string) engine.Engine

// Dependencies are the dependencies and settings of a router.
type Dependencies struct {
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
	Dependencies

	draining atomic.Bool
	// lifetime ends with Close. Work that continues without a caller runs under
	// it.
	lifetime     context.Context
	endLifetime  context.CancelFunc
	work         sync.WaitGroup
	detachedRuns atomic.Int64
	// aborted ends with Abort.
	aborted context.Context
	abort   context.CancelFunc
	holds   refusalHolds

	mu      sync.Mutex
	closed  bool
	clients map[string]engine.Engine

	scheduler *scheduler
	loads     *load.Tracker
	sessions  *session.Table
	suspects  *suspect.Table
	retries   *retryBudget
}

// New returns a router.
func New(deps Dependencies) *Router {
	lifetime, endLifetime := context.WithCancel(context.Background())
	aborted, abort := context.WithCancel(context.Background())
	r := &Router{
		Dependencies: deps,
		lifetime:     lifetime,
		endLifetime:  endLifetime,
		aborted:      aborted,
		abort:        abort,
		clients:      map[string]engine.Engine{},
		loads:        load.NewTracker(load.DefaultSettings()),
		sessions:     session.NewTable(session.DefaultSize),
		retries:      newRetryBudget(retry.DefaultSettings()),
		suspects:     suspect.NewTable(suspect.DefaultSettings()),
	}
	r.scheduler = newScheduler(r)
	return r
}

// Handler serves the callers' interface.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.HandleFunc("GET /v1/models", r.serveModels)
	mux.HandleFunc("POST /v1/chat/completions", r.configured(r.serveChat))
	mux.HandleFunc("POST /v1/services/{service}/{path...}", r.configured(r.serveService))
	mux.HandleFunc("/", r.serveUnknownPath)
	return r.abortable(mux)
}

// configured refuses calls while the router has no configuration, since it
// can't know yet which models and services are offered.
func (r *Router) configured(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if r.Config.Current().Version > 0 {
			next(w, req)
			return
		}
		r.refuse(w, req, &outcome.Error{Reason: outcome.ReasonNotReady, Run: outcome.NotRun, Message: "no configuration yet", RetryAfter: time.Second})
	}
}

// abortable cancels a handler's requests on Abort. While the router drains, it
// asks callers to close their connections.
func (r *Router) abortable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		closing := httpserver.CloseWhile(w, r.draining.Load)
		defer closing.Finish()
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		defer context.AfterFunc(r.aborted, cancel)()
		next.ServeHTTP(closing, req.WithContext(ctx))
	})
}

// Abort ends all requests in progress, each with an error that states whether
// it ran, as far as known.
func (r *Router) Abort() {
	r.abort()
}

// Ready reports whether the router can serve callers, and if not, why.
func (r *Router) Ready() (bool, string) {
	switch {
	case r.draining.Load():
		return false, "draining"
	case r.Config.Current().Version == 0:
		return false, "no configuration yet"
	}
	return true, ""
}

// Drain makes the router report that it is not ready. It continues to serve
// requests.
func (r *Router) Drain() {
	r.draining.Store(true)
}

// Draining reports whether Drain was called.
func (r *Router) Draining() bool {
	return r.draining.Load()
}

// ElectedToSweep reports whether this router deletes expired claims. Of all
// routers, only the first by rendezvous rank does.
func (r *Router) ElectedToSweep() bool {
	var vms []string
	for _, member := range r.Members.Members(membership.RoleRouter, "") {
		vms = append(vms, member.VM)
	}
	ranked := rendezvous.Rank("claims", vms)
	return len(ranked) > 0 && ranked[0] == r.VM
}

// background runs work that outlives its request. It returns false once the
// router is closed.
func (r *Router) background(work func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.work.Go(work)
	return true
}

// Finish waits until the requests that continue without their callers have
// ended and their responses are stored, or ctx ends.
func (r *Router) Finish(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.work.Wait()
		r.Claims.Flush(ctx)
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close cancels the router's background work and waits for it.
func (r *Router) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.endLifetime()
	r.abort()
	r.work.Wait()
	r.Claims.Close()
	r.Plain.Close()
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := r.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

func (r *Router) serveUnknownPath(w http.ResponseWriter, req *http.Request) {
	writeError(w, "", outcome.BadField("path", req.Method+" "+req.URL.Path+" is not offered"))
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
