package fleet

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/concurrency"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/relay"
)

// balancePath is the path of the call by which a node asks the owner at which endpoint of a
// small plain service a request runs, or tells that one has ended.
const balancePath = "/v1/balance"

// Timing of these calls.
const (
	// maxBalanceWait bounds the time for which the owner lets a request wait for a place.
	maxBalanceWait = 50 * time.Millisecond
	// balanceTimeout is the time for a call in addition to that wait. Without an answer the node
	// chooses by what it knows itself.
	balanceTimeout = 40 * time.Millisecond
	// balancePause is the time after a failed call for which the node does not ask.
	balancePause = 500 * time.Millisecond
	// endTimeout is the time for a call that reports an end.
	endTimeout = 300 * time.Millisecond
	// maxBalanceCalls bounds the requests in a second for which the owner grants places.
	maxBalanceCalls = 800
	// balancePruneInterval is the interval at which the owner drops endpoints that are gone.
	balancePruneInterval = 10 * time.Second
)

// balanceRequest asks for a place, or gives one back. Times are in microseconds.
type balanceRequest struct {
	Request  string          `json:"r"`
	Service  string          `json:"s,omitempty"`
	Excluded []inventory.Key `json:"x,omitempty"`
	// DataCentre is the node's, OtherUS the cost of another one.
	DataCentre string `json:"dc,omitempty"`
	OtherUS    int64  `json:"o,omitempty"`
	Priority   int    `json:"p,omitempty"`
	WaitedUS   int64  `json:"w,omitempty"`
	MaxWaitUS  int64  `json:"m,omitempty"`
	TTLUS      int64  `json:"t,omitempty"`

	// Ended gives the place at Endpoint back, Cancelled any that the request may have.
	Ended     bool          `json:"e,omitempty"`
	Cancelled bool          `json:"c,omitempty"`
	Endpoint  inventory.Key `json:"i,omitzero"`
	Rejected  bool          `json:"j,omitempty"`
	TookUS    int64         `json:"k,omitempty"`
	Slowness  float64       `json:"l,omitempty"`
}

// balanceResponse is the owner's answer.
type balanceResponse struct {
	Granted  bool          `json:"g,omitempty"`
	Endpoint inventory.Key `json:"i,omitzero"`
}

// Balancer has the owner choose the endpoints of requests to small plain services. What the
// owner knows is only advice: nodes without its answer choose themselves. Its methods are safe
// for concurrent use.
type Balancer struct {
	Self      string
	Holder    Holder
	Lease     owner.Lease
	Inventory *inventory.Inventory
	HTTP      *http.Client
	Log       *slog.Logger

	places *concurrency.Balancer[inventory.Key]

	mu sync.Mutex
	// pausedUntil is the time until which this node does not ask, failing whether its last
	// call failed.
	pausedUntil time.Time
	failing     bool
	// granted counts the places that this node, as the owner, granted since countedFrom.
	granted     int
	countedFrom time.Time
	prunedAt    time.Time
}

// NewBalancer returns a Balancer that has granted nothing. The exported fields must be set
// before the first call.
func NewBalancer() *Balancer {
	return &Balancer{places: concurrency.NewBalancer[inventory.Key]()}
}

// errBusy means that the owner grants no more places in this second.
var errBusy = errors.New("fleet: too many requests to balance")

// Begin implements relay.Balancer.
func (b *Balancer) Begin(ctx context.Context, ask relay.BalanceAsk) (endpoint inventory.Key, granted, answered bool) {
	now := time.Now()
	if b.paused(now) {
		return endpoint, false, false
	}
	wait := min(max(0, ask.MaxWait), maxBalanceWait)
	response, err := b.call(ctx, wait+balanceTimeout, balanceRequest{
		Request:    ask.Request,
		Service:    ask.Service,
		Excluded:   ask.Excluded,
		DataCentre: ask.DataCentre,
		OtherUS:    ask.OtherCost.Microseconds(),
		Priority:   ask.Priority,
		WaitedUS:   now.Sub(ask.Since).Microseconds(),
		MaxWaitUS:  wait.Microseconds(),
		TTLUS:      ask.Expires.Sub(now).Microseconds(),
	})
	if err != nil && !errors.Is(err, errNoOwner) {
		go b.notifyOwner(balanceRequest{Request: ask.Request, Cancelled: true})
	}
	if ctx.Err() == nil {
		b.record(err, time.Now())
	}
	return response.Endpoint, response.Granted, err == nil
}

// End implements relay.Balancer.
func (b *Balancer) End(endpoint inventory.Key, request string, rejected bool, work concurrency.Work) {
	b.notifyOwner(balanceRequest{Request: request, Ended: true, Endpoint: endpoint, Rejected: rejected, TookUS: work.Took.Microseconds(), Slowness: work.Slowness})
}

// notifyOwner reports the end of a place to the owner. One that is not given back ends with its time.
func (b *Balancer) notifyOwner(request balanceRequest) {
	_, _ = b.call(context.Background(), endTimeout, request)
}

// paused reports whether the node does not ask.
func (b *Balancer) paused(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.pausedUntil)
}

// record records the outcome of a call.
func (b *Balancer) record(err error, now time.Time) {
	b.mu.Lock()
	changed := b.failing != (err != nil)
	b.failing = err != nil
	if err != nil {
		b.pausedUntil = now.Add(balancePause)
	}
	b.mu.Unlock()
	switch {
	case changed && err != nil:
		b.Log.Info("balancing without the owner", "owner", b.Holder.Holder(), "error", err)
	case changed:
		b.Log.Info("balancing with the owner again", "owner", b.Holder.Holder())
	}
}

// call makes a call to the owner.
func (b *Balancer) call(ctx context.Context, timeout time.Duration, request balanceRequest) (balanceResponse, error) {
	return askOwner(ctx, ownerLink{b.Self, b.Holder, b.HTTP}, balancePath, timeout, request, b.decide)
}

// decide decides on a request at the owner.
func (b *Balancer) decide(ctx context.Context, request balanceRequest) (balanceResponse, error) {
	if _, ok := b.Lease.Grant(); !ok {
		return balanceResponse{}, owner.ErrNotOwner
	}
	now := time.Now()
	if request.Ended {
		b.places.End(request.Endpoint, request.Request, request.Rejected, concurrency.Work{Took: time.Duration(request.TookUS) * time.Microsecond, Slowness: request.Slowness}, now)
		return balanceResponse{}, nil
	}
	if request.Cancelled {
		b.places.Cancel(request.Request)
		return balanceResponse{}, nil
	}
	if !b.countAsk(now) {
		return balanceResponse{}, errBusy
	}
	ask := concurrency.Ask[inventory.Key]{
		Request:    request.Request,
		Candidates: b.candidates(request),
		Priority:   request.Priority,
		Since:      now.Add(-time.Duration(request.WaitedUS) * time.Microsecond),
		Expires:    now.Add(min(time.Duration(request.TTLUS)*time.Microsecond, maxPlaceTime)),
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(request.MaxWaitUS)*time.Microsecond, maxBalanceWait))
	defer cancel()
	queue := placeQueue{
		begin:   func(now time.Time) (inventory.Key, bool, <-chan struct{}) { return b.places.Begin(ask, now) },
		endWait: func() { b.places.EndWait(ask.Request) },
	}
	endpoint, granted, err := queue.await(ctx, b.Lease)
	return balanceResponse{Granted: granted, Endpoint: endpoint}, err
}

// countAsk counts a place to be granted, and reports whether the owner has time for it.
func (b *Balancer) countAsk(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.countedFrom) >= time.Second {
		b.granted, b.countedFrom = 0, now
	}
	if now.Sub(b.prunedAt) >= balancePruneInterval {
		b.prunedAt = now
		known := map[string]bool{}
		b.Inventory.Current().Each(func(e *inventory.Endpoint) { known[e.Key().String()] = true })
		b.places.Prune(func(name string) bool { return known[name] })
	}
	b.granted++
	return b.granted <= maxBalanceCalls
}

// candidates returns the endpoints of a service at which a request can run, each with the cost
// of the way to it.
func (b *Balancer) candidates(request balanceRequest) []concurrency.Candidate[inventory.Key] {
	var out []concurrency.Candidate[inventory.Key]
	for _, e := range b.Inventory.Current().Service(request.Service) {
		if e.Leaving || slices.Contains(request.Excluded, e.Key()) {
			continue
		}
		c := concurrency.Candidate[inventory.Key]{Endpoint: e.Key(), Slots: e.Slots}
		if e.DataCentre != request.DataCentre {
			c.Expected = time.Duration(request.OtherUS) * time.Microsecond
		}
		out = append(out, c)
	}
	return out
}

// serveBalance serves another node's call.
func (b *Balancer) serveBalance(w http.ResponseWriter, r *http.Request) {
	// Without the date, which nodes do not read.
	w.Header()["Date"] = nil
	serveDecision(w, r, b.Log, b.decide)
}
