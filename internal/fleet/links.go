package fleet

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/reachability"
)

// reachPath is the path of the call by which a node asks another one whether it reaches an
// endpoint.
const reachPath = "/v1/reach"

// Timing of the checks of links.
const (
	// reachTimeout bounds a connection to an endpoint that checks its link.
	reachTimeout = 400 * time.Millisecond
	// reachCallTimeout bounds a call to another node that makes one.
	reachCallTimeout = reachTimeout + 200*time.Millisecond
	// askedForReach is the number of nodes that are asked whether they reach an endpoint.
	askedForReach = 3
	// linkCheckInterval is the shortest time between two checks of a link that lost
	// connections start.
	linkCheckInterval = 250 * time.Millisecond
	// probeInterval is the time between two rounds of probes of cut links.
	probeInterval = 500 * time.Millisecond
	// probesInRound bounds the probes in a round, probesAfterRecovery those while links
	// work again.
	probesInRound       = 3
	probesAfterRecovery = 16
)

// reachRequest asks a node to connect to an endpoint.
type reachRequest struct {
	Address string `json:"address"`
}

// reachResponse is its answer.
type reachResponse struct {
	Reached bool `json:"reached"`
}

// mayCheck reports whether a lost connection may start a check of a link now.
func (f *Forwarding) mayCheck(key inventory.Key, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.checkedAt[key]) < linkCheckInterval {
		return false
	}
	f.checkedAt[key] = now
	return true
}

// linkCheck is a check of the link to an endpoint. The results are set before done is closed.
type linkCheck struct {
	done chan struct{}
	// own is the result of this node's connection, reachedByOthers reports whether another
	// node has made one. It is only known if own is not Made.
	own             reachability.Connection
	reachedByOthers bool
}

// check connects to an endpoint, and has other nodes do so at the same time. Calls during a
// check share it.
func (f *Forwarding) check(to *inventory.Endpoint) *linkCheck {
	f.mu.Lock()
	defer f.mu.Unlock()
	if check, ok := f.checks[to.Key()]; ok {
		return check
	}
	check := &linkCheck{done: make(chan struct{})}
	f.checks[to.Key()] = check
	go f.runCheck(to, check)
	return check
}

// runCheck runs a check and records its result.
func (f *Forwarding) runCheck(to *inventory.Endpoint, check *linkCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), reachCallTimeout)
	defer cancel()
	byOthers := make(chan bool, 1)
	go func() { byOthers <- f.reachedByOthers(ctx, to) }()
	check.own = f.connect(ctx, to.Address)
	if check.own == reachability.Made {
		f.links.Reached(to.Key(), time.Now())
	} else {
		f.links.Failed(to.Key())
		check.reachedByOthers = <-byOthers
		f.notReached(to, check)
	}
	f.mu.Lock()
	delete(f.checks, to.Key())
	f.mu.Unlock()
	close(check.done)
}

// connect makes a connection to an address within reachTimeout.
func (f *Forwarding) connect(ctx context.Context, address string) reachability.Connection {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return f.Direct.Connect(ctx, address)
}

// notReached records a check in which this node did not reach an endpoint.
func (f *Forwarding) notReached(to *inventory.Endpoint, check *linkCheck) {
	f.Log.Info("endpoint not reached", "endpoint", to.ID, "address", to.Address, "refused", check.own == reachability.Refused,
		"reached_by_others", check.reachedByOthers)
	if !check.reachedByOthers || !f.links.CutOff(to.Key(), time.Now()) {
		return
	}
	linksCut.Inc()
	f.OnCut(to.ID)
	f.Log.Info("link to endpoint cut", "endpoint", to.ID, "address", to.Address, "cut_links", f.links.Cuts())
}

// reachedByOthers reports whether one of some other nodes reaches an endpoint.
func (f *Forwarding) reachedByOthers(ctx context.Context, to *inventory.Endpoint) bool {
	nodes := slices.Clone(f.Others())
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	nodes = firstOf(nodes, askedForReach)
	answers := make(chan bool, len(nodes))
	for _, node := range nodes {
		go func() {
			var response reachResponse
			err := post(ctx, f.HTTP, node, reachPath, reachRequest{Address: to.Address}, &response)
			if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
				f.Log.Info("node not asked whether it reaches an endpoint", "node", node, "endpoint", to.ID, "error", err)
			}
			answers <- err == nil && response.Reached
		}()
	}
	for range nodes {
		if <-answers {
			return true
		}
	}
	return false
}

// serveReach serves another node's question whether this one reaches an endpoint.
func (f *Forwarding) serveReach(w http.ResponseWriter, r *http.Request) {
	var request reachRequest
	if !decodeBody(w, r, &request) {
		return
	}
	reached := f.known(request.Address) && f.connect(r.Context(), request.Address) == reachability.Made
	writeJSON(w, r, reachResponse{Reached: reached}, f.Log)
}

// known reports whether an endpoint has an address.
func (f *Forwarding) known(address string) bool {
	found := false
	f.Inventory.Current().Each(func(e *inventory.Endpoint) { found = found || e.Address == address })
	return found
}

// Run probes cut links until ctx ends, so that they are used again when they work.
func (f *Forwarding) Run(ctx context.Context) error {
	probes := probesInRound
	for pause.For(ctx, probeInterval) {
		snapshot := f.Inventory.Current()
		f.forget(snapshot)
		probes = f.probe(ctx, snapshot, probes)
	}
	return ctx.Err()
}

// forget drops what is known of endpoints that have gone.
func (f *Forwarding) forget(snapshot *inventory.Snapshot) {
	known := func(key inventory.Key) bool {
		e := snapshot.Endpoint(key.ID)
		return e != nil && e.Key() == key
	}
	f.links.Retain(known)
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.checkedAt, func(key inventory.Key, _ time.Time) bool { return !known(key) })
}

// probe connects to some endpoints whose links are cut, and returns the number of probes in
// the next round.
func (f *Forwarding) probe(ctx context.Context, snapshot *inventory.Snapshot, probes int) int {
	cut := f.links.CutEndpoints()
	rand.Shuffle(len(cut), func(i, j int) { cut[i], cut[j] = cut[j], cut[i] })
	results := make(chan bool, len(cut))
	probed := cut[:min(probes, len(cut))]
	for _, key := range probed {
		go func() { results <- f.probeLink(ctx, snapshot.Endpoint(key.ID)) }()
	}
	next := probesInRound
	for range probed {
		if <-results {
			next = probesAfterRecovery
		}
	}
	return next
}

// probeLink connects to an endpoint whose link is cut, and reports whether that worked.
func (f *Forwarding) probeLink(ctx context.Context, e *inventory.Endpoint) bool {
	if e == nil {
		return false
	}
	ok := f.connect(ctx, e.Address) == reachability.Made
	if f.links.Probed(e.Key(), ok, time.Now()) {
		f.Log.Info("link to endpoint works again", "endpoint", e.ID, "address", e.Address, "cut_links", f.links.Cuts())
	}
	return ok
}
