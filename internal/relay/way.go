package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/streamorigin"
)

// way is how attempts reach an endpoint: over this node's own links, or through another node,
// which then accounts for the endpoint and tries others itself.
type way interface {
	// begin counts an attempt that is sent. The returned function ends it.
	begin(s *sending) (end func())
	// responded records what the response of an attempt says of its endpoint.
	responded(s *sending)
	// failed records an attempt without a response. alone means that the request was the
	// only suspect on the endpoint.
	failed(run outcome.Run, alone bool)
	// interrupted records that the connection was lost during a response, of which a part
	// had arrived if begun.
	interrupted(s *sending, begun bool)
	// verified reports whether a response that goes on with a stream comes from the
	// required version.
	verified(ctx context.Context, s *sending) bool
	// origin returns what began the stream of a response.
	origin(s *sending) streamorigin.Origin
	// triesOthers reports whether the other node tries other endpoints itself, when a stream
	// stalls or an endpoint answers with an error, so that this one does not.
	triesOthers() bool
}

// wayTo returns the way to an endpoint.
func (x *exchange) wayTo(endpoint *inventory.Endpoint) way {
	if endpoint.Node {
		return throughNode{x: x}
	}
	return direct{x: x, endpoint: endpoint}
}

// direct is the way over the node's own links.
type direct struct {
	x        *exchange
	endpoint *inventory.Endpoint
}

func (d direct) begin(s *sending) (end func()) {
	return d.x.occupy(s)
}

func (d direct) responded(s *sending) {
	d.x.relay.Demand.Reached(d.endpoint.ID, true)
	d.x.relay.recordReply(s)
}

func (d direct) failed(run outcome.Run, alone bool) {
	r, now := d.x.relay, time.Now()
	r.loads.Failed(d.endpoint.ID, now, rand.Float64())
	switch {
	case run != outcome.NotRun:
		d.x.connectionLost(d.endpoint, alone, false)
	case !r.Forwarding.Cut(d.endpoint.Key(), now):
		r.Demand.Reached(d.endpoint.ID, false)
	}
}

func (d direct) interrupted(s *sending, begun bool) {
	r := d.x.relay
	r.loads.Failed(d.endpoint.ID, time.Now(), rand.Float64())
	r.Forwarding.Lost(d.endpoint)
	d.x.connectionLost(d.endpoint, s.alone, begun)
}

func (d direct) verified(ctx context.Context, s *sending) bool {
	return d.x.fromIncarnation(ctx, s)
}

func (d direct) origin(*sending) streamorigin.Origin {
	return streamorigin.Origin{Service: d.x.service.Name, Version: d.endpoint.Version}
}

func (direct) triesOthers() bool { return false }

// throughNode is the way through another node.
type throughNode struct {
	x *exchange
}

// begin implements way. The other node counts the request in its retry budget, the first time.
func (n throughNode) begin(*sending) (end func()) {
	n.x.budgetCounted = true
	return func() {}
}

func (throughNode) responded(*sending) {}

func (throughNode) failed(outcome.Run, bool) {}

func (throughNode) interrupted(*sending, bool) {}

func (throughNode) verified(context.Context, *sending) bool { return true }

func (throughNode) origin(s *sending) streamorigin.Origin { return s.reply.Origin }

func (throughNode) triesOthers() bool { return true }
