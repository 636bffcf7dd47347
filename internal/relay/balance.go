package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/concurrency"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
)

var (
	balancedByOwner  = metrics.NewCounter(`chestnut_balanced_total{result="granted"}`)
	balancedFull     = metrics.NewCounter(`chestnut_balanced_total{result="full"}`)
	balancedUnasked  = metrics.NewCounter(`chestnut_balanced_total{result="no_answer"}`)
	balancedUnusable = metrics.NewCounter(`chestnut_balanced_total{result="not_usable"}`)
)

// BalanceAsk asks for a place at an endpoint of a small plain service.
type BalanceAsk struct {
	// Request identifies the place.
	Request string
	Service string
	// Excluded are the endpoints at which the request can't run.
	Excluded []inventory.Key
	// DataCentre is the node's, OtherCost what the way to another one costs the request.
	DataCentre string
	OtherCost  time.Duration
	Priority   int
	Since      time.Time
	// Expires is when the place ends if it is not given back.
	Expires time.Time
	// MaxWait is how long the request can wait for a place.
	MaxWait time.Duration
}

// Balancer chooses endpoints by the requests that all nodes have there.
type Balancer interface {
	// Begin asks for a place. Without an answer the node chooses itself; an answer without a
	// place means that all endpoints are full.
	Begin(ctx context.Context, ask BalanceAsk) (endpoint inventory.Key, granted, answered bool)
	// End gives a place back. rejected means that the endpoint had no room for the request.
	End(endpoint inventory.Key, request string, rejected bool, work concurrency.Work)
}

// balancedPlace is a place at an endpoint of a small plain service.
type balancedPlace struct {
	endpoint inventory.Key
	request  string
	rejected bool
	work     concurrency.Work
}

// responded records what the response of an attempt tells of its endpoint.
func (p *balancedPlace) responded(s *sending) {
	if p == nil {
		return
	}
	p.rejected = s.reply.NotRun
	if !s.reply.NotRun && s.reply.Status < minServerError {
		p.work.Took = time.Since(s.started)
	}
	if s.reply.HasLoad {
		p.work.Slowness = s.reply.Load.Slowness
	}
}

// minServerError is the least status of a response that an endpoint failed to give.
const minServerError = 500

// end gives a place back. A nil place has no effect.
func (p *balancedPlace) end(r *Relay) {
	if p != nil {
		r.tell(func() { r.Balancer.End(p.endpoint, p.request, p.rejected, p.work) })
	}
}

// dropBalanced gives the place of a request back that is not sent.
func (x *exchange) dropBalanced() {
	x.balanced.end(x.relay)
	x.balanced = nil
}

// balances reports whether the owner chooses the endpoint of the request.
func (x *exchange) balances(snapshot *inventory.Snapshot) bool {
	if x.relay.Balancer == nil || x.req.Model != "" || x.required.Required || x.limitsRejections() {
		return false
	}
	endpoints, slots := 0, 0
	for _, e := range snapshot.Service(x.service.Name) {
		if e.Leaving {
			continue
		}
		if _, state := x.relay.Limits.Get(e.Key()); e.Slots <= 0 || state == notice.LimitNamed {
			return false
		}
		endpoints++
		slots += e.Slots
	}
	return concurrency.Balances(endpoints, slots, x.relay.Budget.Nodes())
}

// chooseWithOwner replaces the node's own choice of an endpoint by the owner's, if the owner
// chooses those of the service and answers.
func (x *exchange) chooseWithOwner(ctx context.Context, snapshot *inventory.Snapshot, own *inventory.Endpoint, verdict choose.Verdict) (*inventory.Endpoint, choose.Verdict) {
	x.dropBalanced()
	if verdict != choose.Found && verdict != choose.Full || !x.balances(snapshot) {
		return own, verdict
	}
	now := time.Now()
	ask := BalanceAsk{
		Request:    strconv.FormatUint(rand.Uint64(), 36),
		Service:    x.service.Name,
		Excluded:   x.excluded(snapshot, now),
		DataCentre: x.relay.DataCentre,
		OtherCost:  x.otherDataCentreCost(),
		Priority:   x.priority(),
		Since:      x.req.Arrived,
		Expires:    x.deadline.Add(placeEndDelay),
		MaxWait:    time.Until(x.latestDispatch(queueWaitFraction)),
	}
	key, granted, answered := x.relay.Balancer.Begin(ctx, ask)
	switch {
	case !answered:
		balancedUnasked.Inc()
		return own, verdict
	case !granted:
		balancedFull.Inc()
		return nil, choose.Full
	}
	x.balanced = &balancedPlace{endpoint: key, request: ask.Request}
	endpoint := snapshot.Endpoint(key.ID)
	if endpoint == nil || endpoint.Key() != key || endpoint.Leaving {
		balancedUnusable.Inc()
		x.dropBalanced()
		return own, verdict
	}
	balancedByOwner.Inc()
	return endpoint, choose.Found
}

// excluded returns the endpoints of the request's service at which it can't run. Those at which
// an earlier attempt failed are among them unless there is no other.
func (x *exchange) excluded(snapshot *inventory.Snapshot, now time.Time) []inventory.Key {
	usable := map[string]bool{}
	untried := false
	for _, c := range x.candidateList(snapshot, now) {
		if c.Unreachable || c.EjectedUntil.After(now) {
			continue
		}
		usable[c.Name] = !c.Tried
		untried = untried || !c.Tried
	}
	var out []inventory.Key
	for _, e := range snapshot.Service(x.service.Name) {
		if fresh, ok := usable[e.ID]; !ok || untried && !fresh {
			out = append(out, e.Key())
		}
	}
	return out
}
