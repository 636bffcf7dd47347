package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"chestnutgauge/internal/concurrency"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
)

// Places bounds the requests of all nodes at endpoints that limit their rejections, so that these
// need not reject many.
type Places interface {
	// Begin asks for a place at one of the candidates, and waits for it for up to maxWait.
	Begin(ctx context.Context, ask concurrency.Ask[inventory.Key], maxWait time.Duration) (Place, bool)
	// End gives a place back. rejected means that the endpoint had no room for the request.
	End(place Place, rejected bool)
}

// Place is the right to send a request to an endpoint that limits its rejections.
type Place struct {
	Endpoint inventory.Key
	// Request identifies the place to the owner.
	Request string
	// Handovers is the number of requests that have had the place before.
	Handovers int
}

// placeEndDelay is the time after a request's deadline at which its place ends if it is not
// given back.
const placeEndDelay = time.Second

// grantedPlace is a place at an endpoint that limits its rejections.
type grantedPlace struct {
	Place
	// rejected means that the endpoint had no room for the request.
	rejected bool
}

// end gives a place back. A nil place has no effect.
func (p *grantedPlace) end(r *Relay) {
	if p != nil {
		r.tell(func() { r.Places.End(p.Place, p.rejected) })
	}
}

// limitsRejections reports whether the endpoints of the request's service fall over when they have to
// reject many requests.
func (x *exchange) limitsRejections() bool {
	_, state := x.relay.RejectionLimits.Get(x.service.Name)
	return state == notice.LimitNamed
}

// placeSomewhere returns an endpoint at which the request was granted a place, or nil.
func (x *exchange) placeSomewhere(ctx context.Context, snapshot *inventory.Snapshot) *inventory.Endpoint {
	now := time.Now()
	var candidates []concurrency.Candidate[inventory.Key]
	for _, c := range x.candidateList(snapshot, now) {
		if c.Leaving || c.Unreachable || c.EjectedUntil.After(now) {
			continue
		}
		e := snapshot.Endpoint(c.Name)
		candidates = append(candidates, concurrency.Candidate[inventory.Key]{Endpoint: e.Key(), Slots: e.Slots})
	}
	if !x.beginPlace(ctx, candidates, time.Until(x.latestDispatch(queueWaitFraction))) {
		return nil
	}
	endpoint := snapshot.Endpoint(x.place.Endpoint.ID)
	if endpoint == nil {
		x.dropPlace()
	}
	return endpoint
}

// beginPlace asks for a place at one of the candidates.
func (x *exchange) beginPlace(ctx context.Context, candidates []concurrency.Candidate[inventory.Key], maxWait time.Duration) bool {
	place, granted := x.relay.Places.Begin(ctx, concurrency.Ask[inventory.Key]{
		Request:    strconv.FormatUint(rand.Uint64(), 36),
		Candidates: candidates,
		Priority:   x.priority(),
		Since:      x.req.Arrived,
		Expires:    x.deadline.Add(placeEndDelay),
	}, max(0, maxWait))
	if !granted {
		placesDelayed.Inc()
		return false
	}
	placesGranted.Inc()
	x.place = &grantedPlace{Place: place}
	return true
}

// hasPlace reports whether the request may be sent to an endpoint as far as its room is
// concerned. It asks for a place at one that limits its rejections unless it has that.
func (x *exchange) hasPlace(ctx context.Context, endpoint *inventory.Endpoint) bool {
	if x.place != nil && x.place.Endpoint == endpoint.Key() || !x.limitsRejections() {
		return true
	}
	return x.beginPlace(ctx, []concurrency.Candidate[inventory.Key]{{Endpoint: endpoint.Key(), Slots: endpoint.Slots}}, 0)
}

// dropPlace gives the place of a request back that is not sent.
func (x *exchange) dropPlace() {
	x.place.end(x.relay)
	x.place = nil
}
