package fleet

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/reachability"
	"chestnutgauge/internal/relay"
)

// Links sends requests over a node's own links, and makes connections that check these.
type Links interface {
	// Send and StartedAt are those of relay.Sender.
	Send(ctx context.Context, to *inventory.Endpoint, req *relay.Request, attempt relay.Attempt) (*relay.Reply, error)
	StartedAt(ctx context.Context, to *inventory.Endpoint) (ms int64, err error)
	// Connect makes a connection to an address and closes it.
	Connect(ctx context.Context, address string) reachability.Connection
	// Describe reports whether the header of an endpoint's response bears its signature, and whether
	// the body holds server-sent events.
	Describe(header http.Header) (signed, eventStream bool)
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
	// checks are the checks in progress, checkedAt is when lost connections last started one.
	checks    map[inventory.Key]*linkCheck
	checkedAt map[inventory.Key]time.Time
}

// NewForwarding returns Forwarding of which nothing is known. The exported fields must be set
// before the first call.
func NewForwarding() *Forwarding {
	return &Forwarding{
		links:     reachability.NewLinks(),
		nodes:     reachability.NewNodes(),
		checks:    map[inventory.Key]*linkCheck{},
		checkedAt: map[inventory.Key]time.Time{},
	}
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
	case ctx.Err() == nil && !attemptRefused(err):
		f.Lost(to)
	}
	return reply, err
}

// attemptRefused reports whether an attempt failed since it was refused, so that its failure says
// nothing of the link.
func attemptRefused(err error) bool {
	var failed *relay.SendError
	return errors.As(err, &failed) && failed.Refusal != nil
}

// Refuses implements relay.Sender. An endpoint that another node reaches does not count.
func (f *Forwarding) Refuses(ctx context.Context, to *inventory.Endpoint) bool {
	check := f.check(to)
	select {
	case <-check.done:
		return check.own == reachability.Refused && !check.reachedByOthers
	case <-ctx.Done():
		return false
	}
}

// StartedAt implements relay.Sender.
func (f *Forwarding) StartedAt(ctx context.Context, to *inventory.Endpoint) (int64, error) {
	return f.Direct.StartedAt(ctx, to)
}

// Lost implements relay.Forwarding. It finds out whether the link is cut.
func (f *Forwarding) Lost(to *inventory.Endpoint) {
	if f.links.Failed(to.Key()) && f.mayCheck(to.Key(), time.Now()) {
		f.check(to)
	}
}
