// Package relay forwards requests without reading their content: it chooses an
// endpoint for a request, streams the endpoint's response to the caller, and
// decides whether a failed attempt is retried. It is independent of the
// protocol: callers and endpoints are reached through the interfaces Answer and
// Sender.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/load"
	"chestnutgauge/internal/membudget"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/overflow"
	"chestnutgauge/internal/reserve"
	"chestnutgauge/internal/suspect"
	"chestnutgauge/internal/waitqueue"
)

// Dependencies are the dependencies and settings of a relay.
type Dependencies struct {
	DataCentre string
	Catalog    func() *catalog.Catalog
	Inventory  *inventory.Inventory
	Sender     Sender
	Adapters   Adapters
	Loads      Loads
	Demand     *demand.Meter
	// Shares measures the work of teams, if the configuration has any. It may be nil.
	Shares *fairshare.Meter
	// Limits are the rate limits of endpoints.
	Limits *notice.Limits[inventory.Key]
	// Permits grants the requests to endpoints that name a rate limit.
	Permits Permits
	// Suspects are the requests that were on endpoints when these crashed.
	Suspects   *suspect.Registry
	Trials     Trials
	Origins    Origins
	Forwarding Forwarding
	// RejectionLimits are the services whose endpoints fall over when they have to reject many
	// requests, each with the number that they bear in a second.
	RejectionLimits *notice.Limits[string]
	Places          Places
	// TeamLimits are the limits of teams.
	TeamLimits TeamLimits
	// AwaitConfiguration returns the configuration by which a request is decided, once it is recent or
	// nothing newer can be had. Its only error is that of the context. With nil it is Basis.
	AwaitConfiguration func(ctx context.Context) (catalog.Basis, error)
	// Basis returns the configuration in force and how recent it is known to be. With nil it is that of
	// Catalog, and always recent.
	Basis func() catalog.Basis
	// Balancer has the owner choose the endpoints of small plain services. Nil means that each
	// node chooses.
	Balancer Balancer
	Budget   Budget
	// RetryParts is the node's part of the additional retries. With nil it is an equal one.
	RetryParts RetryParts
	// Isolated reports whether the node's data centre is cut off from the
	// others, so that no load can be ordered.
	Isolated func() bool
	Log      *slog.Logger
	// Memory bounds the bytes of responses that are buffered. Nil means no bound.
	Memory *membudget.Budget
	// Clock measures for how long permissions hold. Nil means monotime.Now.
	Clock monotime.Clock
}

// Relay serves requests. Its methods are safe for concurrent use.
type Relay struct {
	Dependencies
	chooser choose.Chooser
	loads   *load.Tracker
	// durations says how long requests take, for those that come while the process stops.
	durations *load.Durations
	stopping  stopping
	// cooldowns are the cooldowns that endpoints asked this node for.
	cooldowns *notice.Cooldowns[inventory.Key]
	crashes   crashDetector
	waiting   waitingAttempts
	stale     *staleEntries
	adapters  *adapterLocations
	queues    *waitqueue.Queues
	held      heldTeams
	claims    *reserve.Book
	inFlight  atomic.Int64
	// telling is the number of calls of tell that have not ended.
	telling atomic.Int64
	// costPerKB is the cost of 1,024 bytes between data centres, in nanoseconds.
	costPerKB atomic.Int64
	// shutdown is cancelled when the process is about to exit.
	shutdown      context.Context
	startShutdown context.CancelFunc

	mu      sync.Mutex
	budgets map[string]*serviceBudget
}

// New returns a relay.
func New(deps Dependencies) *Relay {
	shutdown, startShutdown := context.WithCancel(context.Background())
	r := &Relay{
		shutdown:      shutdown,
		startShutdown: startShutdown,
		Dependencies:  deps,
		chooser:       choose.Fastest(),
		loads:         load.NewTracker(load.DefaultSettings()),
		durations:     load.NewDurations(),
		stopping:      newStopping(),
		cooldowns:     notice.NewCooldowns[inventory.Key](),
		crashes:       crashDetector{checks: map[inventory.Key]*crashCheck{}},
		waiting:       waitingAttempts{cancels: map[*sending]waitingAttempt{}},
		stale:         newStaleEntries(),
		adapters:      newAdapterLocations(),
		queues:        waitqueue.New(),
		claims:        reserve.NewBook(),
		budgets:       map[string]*serviceBudget{},
	}
	r.SetCostPerKB(overflow.DefaultPerKB)
	return r
}

// InFlight returns the number of requests that are being served.
func (r *Relay) InFlight() int64 {
	return r.inFlight.Load()
}

// tell calls a function that tells the owner of the end of a place.
func (r *Relay) tell(f func()) {
	r.telling.Add(1)
	go func() {
		defer r.telling.Add(-1)
		f()
	}()
}

// Idle reports whether no request is being served, and the ends of all places have been told to the
// owner as far as it could be reached.
func (r *Relay) Idle() bool {
	return r.inFlight.Load() == 0 && r.telling.Load() == 0
}

// Shutdown ends each request in progress with its final response, because the
// process is about to exit.
func (r *Relay) Shutdown() {
	r.startShutdown()
}

// errShutdown is the cancellation cause of requests that Shutdown ends.
var errShutdown = errors.New("relay: process is shutting down")

// deadlineGrace is how long after a request's deadline an endpoint's own
// response is still accepted.
const deadlineGrace = 100 * time.Millisecond

// Serve serves one request. A nil result means that the caller has the complete
// response; a failure after the response began means that it was truncated.
func (r *Relay) Serve(ctx context.Context, req *Request, answer Answer) *Failure {
	_, failure := r.ServeForwarded(ctx, req, answer)
	return failure
}

// ServeForwarded is Serve for a request that another node may have forwarded. It also
// returns the number of endpoints that may have run it.
func (r *Relay) ServeForwarded(ctx context.Context, req *Request, answer Answer) (runs int, failure *Failure) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	var x *exchange
	var basis catalog.Basis
	failure = callerLeft(ctx)
	if failure == nil {
		basis, failure = r.awaitConfiguration(ctx, req)
	}
	if failure == nil {
		x, failure = r.begin(req, answer, basis)
	}
	if failure == nil {
		failure = x.refuseLate(time.Now())
	}
	if failure == nil {
		failure = r.serveCharged(ctx, x)
	}
	if failure != nil && errors.Is(ctx.Err(), context.Canceled) {
		failure = &Failure{Reason: ReasonCallerDisconnected, Run: failure.Run, Cause: failure.Cause}
	}
	r.logEnd(req, x, basis, failure)
	if x != nil {
		runs = x.possibleRuns
	}
	return runs, failure
}

// awaitConfiguration returns the configuration by which a request is decided. The request waits while
// that may be too old and a newer one may be had.
func (r *Relay) awaitConfiguration(ctx context.Context, req *Request) (catalog.Basis, *Failure) {
	if r.AwaitConfiguration == nil {
		return r.basis(), nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	defer context.AfterFunc(r.shutdown, cancel)()
	ctx, release := r.untilLate(ctx, func() attemptTime { return r.attemptTimeOf(req) })
	defer release()
	basis, err := r.AwaitConfiguration(ctx)
	switch {
	case err == nil:
		return basis, nil
	case errors.Is(context.Cause(ctx), errLate):
		lateRefusals.Inc()
		return basis, refuse(ReasonShuttingDown, endedRetryAfter)
	}
	return basis, refuse(ReasonConfigurationOld, endedRetryAfter)
}

// run runs an exchange until the request's deadline or the shutdown of the
// process.
func (r *Relay) run(ctx context.Context, x *exchange) *Failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(r.shutdown, func() { cancel(errShutdown) })
	defer stop()
	deadlineCtx, stopTimer := context.WithDeadline(ctx, x.deadline.Add(deadlineGrace))
	defer stopTimer()
	return x.run(deadlineCtx)
}

// begin finds the route and service of a request by a configuration.
func (r *Relay) begin(req *Request, answer Answer, basis catalog.Basis) (*exchange, *Failure) {
	key, failure := checkKey(req, basis)
	if failure != nil {
		return nil, failure
	}
	c, route := basis.Catalog, key.route
	if req.Forwarded != nil && (route == nil || !route.HasTarget(req.Forwarded.Service)) {
		// The node that forwards the request has another version.
		return nil, refuse(ReasonConfigurationOld, unconfirmedRetryAfter)
	}
	if route == nil {
		return nil, refuseBy(basis, catalog.DecisionRefuseRoute, ReasonNoRoute)
	}
	name := route.Pick(splitPoint(req.stream()))
	if req.Forwarded != nil {
		name = req.Forwarded.Service
	}
	service := c.Services[name]
	if service == nil {
		return nil, refuse(ReasonNoEndpoint, notReadyRetryAfter)
	}
	deadline := req.Arrived.Add(route.Timeout)
	if req.Deadline.Before(deadline) {
		deadline = req.Deadline
	}
	x := &exchange{relay: r, req: req, answer: answer, route: route, service: service, catalog: c, basis: basis, team: key.team, deadline: deadline}
	x.identity = identify(req, name)
	if route.Resumable {
		x.position = positionAfter(req.LastEvent)
	}
	if service.Engine != nil && req.Model != "" {
		if _, ok := service.Engine.Models[req.Model]; !ok {
			return x, refuseBy(basis, catalog.DecisionRefuseModel, ReasonUnknownModel)
		}
	}
	if req.Forwarded != nil {
		x.required = req.Forwarded.Required
		// The node that forwards the request has counted it.
		x.demandCounted = true
		x.budgetCounted = req.Forwarded.Counted
	}
	return x, nil
}

// SetBudget changes the limits on retries: retries per request, and additional
// retries over all nodes.
func (r *Relay) SetBudget(share, extra float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Budget.Share = share
	r.Budget.Extra = extra
}

// Limits on the attempts of one request.
const (
	attemptLimit = 6
	backoffMin   = 2 * time.Millisecond
	backoffMax   = 60 * time.Millisecond
)
