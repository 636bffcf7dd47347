package fleet

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/reachability"
	"chestnutgauge/internal/relay"
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
	// reachAskInterval is the shortest time between two questions about an endpoint.
	reachAskInterval = 250 * time.Millisecond
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

// Links makes connections that check links. It is implemented by the sender over a node's
// own links.
type Links interface {
	relay.Sender
	// Reaches reports whether a connection to an address can be made.
	Reaches(ctx context.Context, address string) bool
}

// Forwarding sends requests over this node's own links, and through other nodes to endpoints
// that only these reach. It implements relay.Sender and relay.Forwarding. Its methods are safe
// for concurrent use.
type Forwarding struct {
	Direct Links
	// Others returns the addresses of the other nodes.
	Others    func() []string
	Inventory *inventory.Inventory
	// OnCut is called with the id of an endpoint whose link is found cut.
	OnCut func(endpointID string)
	HTTP  *http.Client
	// ForwardHTTP carries the requests that other nodes serve.
	ForwardHTTP *http.Client
	Log         *slog.Logger

	links *reachability.Links
	nodes *reachability.Nodes

	mu sync.Mutex
	// asked is when other nodes were last asked about an endpoint.
	asked map[inventory.Key]time.Time
}

// NewForwarding returns Forwarding of which nothing is known. The exported fields must be set
// before the first call.
func NewForwarding() *Forwarding {
	return &Forwarding{links: reachability.NewLinks(), nodes: reachability.NewNodes(), asked: map[inventory.Key]time.Time{}}
}

// Cut implements relay.Forwarding.
func (f *Forwarding) Cut(endpoint inventory.Key, now time.Time) bool {
	return f.links.Cut(endpoint, now)
}

// Cuts returns the number of endpoints whose links are cut.
func (f *Forwarding) Cuts() int {
	return f.links.Cuts()
}

// PickNode implements relay.Forwarding.
func (f *Forwarding) PickNode(excluded []string, now time.Time) *inventory.Endpoint {
	address := f.nodes.Pick(f.Others(), excluded, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now)
	if address == "" {
		return nil
	}
	return &inventory.Endpoint{ID: address, Address: address, Node: true}
}

// Send implements relay.Sender.
func (f *Forwarding) Send(ctx context.Context, to *inventory.Endpoint, req *relay.Request, attempt relay.Attempt) (*relay.Reply, error) {
	if to.Node {
		return f.forward(ctx, to.Address, req, attempt)
	}
	reply, err := f.Direct.Send(ctx, to, req, attempt)
	switch {
	case err == nil:
		f.links.Reached(to.Key(), time.Now())
	case ctx.Err() == nil:
		f.Lost(to)
	}
	return reply, err
}

// Refuses implements relay.Sender. An endpoint that another node reaches does not count.
func (f *Forwarding) Refuses(ctx context.Context, to *inventory.Endpoint) bool {
	if !f.Direct.Refuses(ctx, to) {
		return false
	}
	if f.reachedByOthers(ctx, to) {
		f.cutOff(to)
		return false
	}
	return true
}

// StartedAt implements relay.Sender.
func (f *Forwarding) StartedAt(ctx context.Context, to *inventory.Endpoint) (int64, error) {
	return f.Direct.StartedAt(ctx, to)
}

// Lost implements relay.Forwarding. It finds out whether the link is cut.
func (f *Forwarding) Lost(to *inventory.Endpoint) {
	now := time.Now()
	if !f.links.Failed(to.Key()) || !f.mayAsk(to.Key(), now) {
		return
	}
	go f.checkLink(to)
}

// mayAsk reports whether other nodes may be asked about an endpoint now.
func (f *Forwarding) mayAsk(key inventory.Key, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.asked[key]) < reachAskInterval {
		return false
	}
	f.asked[key] = now
	return true
}

// checkLink connects to an endpoint, and has other nodes do so at the same time.
func (f *Forwarding) checkLink(to *inventory.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), reachCallTimeout)
	defer cancel()
	reachedByOthers := make(chan bool, 1)
	go func() { reachedByOthers <- f.reachedByOthers(ctx, to) }()
	if f.Direct.Reaches(ctx, to.Address) {
		f.links.Reached(to.Key(), time.Now())
		return
	}
	reached := <-reachedByOthers
	f.Log.Info("endpoint not reached", "endpoint", to.ID, "address", to.Address, "reached_by_others", reached)
	if reached {
		f.cutOff(to)
	}
}

// cutOff records that other nodes reach an endpoint that this one does not.
func (f *Forwarding) cutOff(to *inventory.Endpoint) {
	f.links.Failed(to.Key())
	if !f.links.CutOff(to.Key(), time.Now()) {
		return
	}
	linksCut.Inc()
	f.OnCut(to.ID)
	f.Log.Info("link to endpoint cut", "endpoint", to.ID, "address", to.Address, "cut_links", f.links.Cuts())
}

// reachedByOthers reports whether one of some other nodes reaches an endpoint.
func (f *Forwarding) reachedByOthers(ctx context.Context, to *inventory.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, reachCallTimeout)
	defer cancel()
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
	reached := f.known(request.Address) && f.Direct.Reaches(r.Context(), request.Address)
	writeJSON(w, reachResponse{Reached: reached}, f.Log)
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
	for key := range f.asked {
		if !known(key) {
			delete(f.asked, key)
		}
	}
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
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	if e == nil {
		return false
	}
	ok := f.Direct.Reaches(ctx, e.Address)
	if f.links.Probed(e.Key(), ok, time.Now()) {
		f.Log.Info("link to endpoint works again", "endpoint", e.ID, "address", e.Address, "cut_links", f.links.Cuts())
	}
	return ok
}
