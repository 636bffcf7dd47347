package fleet

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/concurrency"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/relay"
)

// placePath is the path of the call by which a node asks the owner for a place at an
// endpoint, or gives one back.
const placePath = "/v1/place"

// Timing of places.
const (
	// maxPlaceWait bounds the time for which the owner lets a request wait for a place.
	maxPlaceWait = 200 * time.Millisecond
	// placeCallTimeout is the time for a call in addition to that wait.
	placeCallTimeout = 300 * time.Millisecond
	// maxHandovers is the number of times in a row that a place goes from one request of a
	// node to another one of it, before those of other nodes are considered.
	maxHandovers = 4
	// maxPlaceTime bounds the time for which a place is granted.
	maxPlaceTime = 2 * time.Minute
)

// placeRequest asks the owner for a place at one of the candidates, or gives one back.
type placeRequest struct {
	Request    string                                 `json:"request"`
	Candidates []concurrency.Candidate[inventory.Key] `json:"candidates,omitempty"`
	Priority   int                                    `json:"priority,omitempty"`
	// WaitedMS, MaxWaitMS and TTLMS are in milliseconds.
	WaitedMS  int64 `json:"waited_ms,omitempty"`
	MaxWaitMS int64 `json:"max_wait_ms,omitempty"`
	TTLMS     int64 `json:"ttl_ms,omitempty"`

	// Ended gives the place at Endpoint back, Prolonged changes the time at which it ends.
	Ended     bool          `json:"ended,omitempty"`
	Prolonged bool          `json:"prolonged,omitempty"`
	Endpoint  inventory.Key `json:"endpoint,omitzero"`
	Rejected  bool          `json:"rejected,omitempty"`
}

// placeResponse is the owner's answer.
type placeResponse struct {
	Granted  bool          `json:"granted,omitempty"`
	Endpoint inventory.Key `json:"endpoint,omitzero"`
}

// Places bounds the requests that all nodes together have at endpoints that limit their
// rejections. Its methods are safe for concurrent use.
type Places struct {
	Self   string
	Holder Holder
	Lease  owner.Lease
	// Nodes returns the addresses of all nodes.
	Nodes func() []string
	HTTP  *http.Client
	Log   *slog.Logger

	limiter *concurrency.Limiter[inventory.Key]

	mu sync.Mutex
	// held is the number of places that this node has at each endpoint.
	held map[inventory.Key]int
	// waiters are the requests of this node that wait for a place.
	waiters []*placeWaiter
}

// NewPlaces returns Places that have granted nothing. The exported fields must be set before
// the first call.
func NewPlaces() *Places {
	return &Places{limiter: concurrency.NewLimiter[inventory.Key](), held: map[inventory.Key]int{}}
}

// Begin implements relay.Places. Without an answer of the owner, the node uses its share.
// The request may also get the place of another one of this node that ends meanwhile.
func (p *Places) Begin(ctx context.Context, ask concurrency.Ask[inventory.Key], maxWait time.Duration) (relay.Place, bool) {
	w := &placeWaiter{ask: ask, handed: make(chan relay.Place, 1)}
	p.addWaiter(w)
	answered := make(chan placeResponse, 1)
	go func() { answered <- p.askPlace(ctx, ask, maxWait) }()
	select {
	case response := <-answered:
		if place, handed := p.removeWaiter(w); handed {
			p.giveBack(response, ask)
			return place, true
		}
		return relay.Place{Endpoint: response.Endpoint, Request: ask.Request}, response.Granted
	case place := <-w.handed:
		go func() { p.giveBack(<-answered, ask) }()
		return place, true
	}
}

// askPlace asks the owner for a place, and counts it.
func (p *Places) askPlace(ctx context.Context, ask concurrency.Ask[inventory.Key], maxWait time.Duration) placeResponse {
	now := time.Now()
	response, err := p.ask(ctx, placeRequest{
		Request:    ask.Request,
		Candidates: ask.Candidates,
		Priority:   ask.Priority,
		WaitedMS:   now.Sub(ask.Since).Milliseconds(),
		MaxWaitMS:  min(maxWait, maxPlaceWait).Milliseconds(),
		TTLMS:      ask.Expires.Sub(now).Milliseconds(),
	})
	switch {
	case err != nil && ctx.Err() == nil:
		response.Endpoint, response.Granted = p.alone(ask.Candidates)
		p.Log.Info("place without an owner", "endpoint", response.Endpoint.ID, "granted", response.Granted, "error", err)
	case response.Granted:
		p.hold(response.Endpoint, 1)
	}
	return response
}

// giveBack gives a place back that was granted to a request which has another one.
func (p *Places) giveBack(response placeResponse, ask concurrency.Ask[inventory.Key]) {
	if response.Granted {
		p.endPlace(relay.Place{Endpoint: response.Endpoint, Request: ask.Request}, false)
	}
}

// End implements relay.Places. The place goes to a request of this node that waits for it,
// a few times in a row, or back to the owner. If that can't be told, it ends with its time.
func (p *Places) End(place relay.Place, rejected bool) {
	if w := p.successor(place, rejected); w != nil {
		next := relay.Place{Endpoint: place.Endpoint, Request: place.Request, Handovers: place.Handovers + 1}
		w.handed <- next
		p.prolong(next, w.ask)
		return
	}
	p.endPlace(place, rejected)
}

// endPlace gives a place back to the owner.
func (p *Places) endPlace(place relay.Place, rejected bool) {
	p.hold(place.Endpoint, -1)
	p.notifyOwner(placeRequest{Request: place.Request, Ended: true, Endpoint: place.Endpoint, Rejected: rejected})
}

// prolong tells the owner that a place is used by another request.
func (p *Places) prolong(place relay.Place, ask concurrency.Ask[inventory.Key]) {
	p.notifyOwner(placeRequest{Request: place.Request, Prolonged: true, Endpoint: place.Endpoint, TTLMS: time.Until(ask.Expires).Milliseconds()})
}

// notifyOwner makes a call to the owner that changes a place.
func (p *Places) notifyOwner(request placeRequest) {
	if _, err := p.ask(context.Background(), request); err != nil {
		p.Log.Info("change of a place not told", "endpoint", request.Endpoint.ID, "ended", request.Ended, "error", err)
	}
}

// hold adds n to the places that this node has at an endpoint.
func (p *Places) hold(endpoint inventory.Key, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[endpoint] += n
	if p.held[endpoint] <= 0 {
		delete(p.held, endpoint)
	}
}

// alone takes another place without the owner at a candidate, and returns it.
func (p *Places) alone(candidates []concurrency.Candidate[inventory.Key]) (inventory.Key, bool) {
	nodes := p.Nodes()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range candidates {
		if p.held[c.Endpoint] < concurrency.Share(c.Endpoint.String(), p.Self, nodes, c.Slots) {
			p.held[c.Endpoint]++
			return c.Endpoint, true
		}
	}
	return inventory.Key{}, false
}

// ask asks the owner.
func (p *Places) ask(ctx context.Context, request placeRequest) (placeResponse, error) {
	wait := time.Duration(request.MaxWaitMS) * time.Millisecond
	return askOwner(ctx, ownerLink{p.Self, p.Holder, p.HTTP}, placePath, wait+placeCallTimeout, request, p.decide)
}

// decide decides on a place at the owner. A request that gets none at once waits for one.
func (p *Places) decide(ctx context.Context, request placeRequest) (placeResponse, error) {
	if _, ok := p.Lease.Grant(); !ok {
		return placeResponse{}, owner.ErrNotOwner
	}
	now := time.Now()
	expires := now.Add(min(time.Duration(request.TTLMS)*time.Millisecond, maxPlaceTime))
	switch {
	case request.Ended:
		p.limiter.End(request.Endpoint, request.Request, request.Rejected, now)
		return placeResponse{}, nil
	case request.Prolonged:
		p.limiter.Prolong(request.Endpoint, request.Request, expires)
		return placeResponse{}, nil
	}
	ask := concurrency.Ask[inventory.Key]{
		Request:    request.Request,
		Candidates: request.Candidates,
		Priority:   request.Priority,
		Since:      now.Add(-time.Duration(request.WaitedMS) * time.Millisecond),
		Expires:    expires,
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(request.MaxWaitMS)*time.Millisecond, maxPlaceWait))
	defer cancel()
	queue := placeQueue{
		begin:   func(now time.Time) (inventory.Key, bool, <-chan struct{}) { return p.limiter.Begin(ask, now) },
		endWait: func() { p.limiter.EndWait(ask.Request) },
	}
	endpoint, granted, err := queue.await(ctx, p.Lease)
	return placeResponse{Granted: granted, Endpoint: endpoint}, err
}

// servePlace serves another node's call.
func (p *Places) servePlace(w http.ResponseWriter, r *http.Request) {
	serveDecision(w, r, p.Log, p.decide)
}
