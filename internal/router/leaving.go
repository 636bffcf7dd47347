package router

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/plain"
)

// Timing of the detection of leaving endpoints.
const (
	// healthInterval is the time between two health checks of a plain service.
	healthInterval = time.Second
	// refusalHold is how long an endpoint that refused new work gets none.
	// After that it is tried again.
	refusalHold = 10 * time.Second
)

// refusalHolds records the leaving endpoints that this router detected itself.
// Those in the membership list and in the owners' reports are recorded
// elsewhere.
type refusalHolds struct {
	mu sync.Mutex
	// expiry maps endpoints to the end of their hold.
	expiry map[string]time.Time
}

func (h *refusalHolds) hold(endpoint string, now time.Time) (isNew bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.expiry == nil {
		h.expiry = map[string]time.Time{}
	}
	// Expired holds are deleted, so that the map stays bounded by the endpoints
	// in use.
	maps.DeleteFunc(h.expiry, func(_ string, until time.Time) bool { return now.After(until) })
	_, known := h.expiry[endpoint]
	h.expiry[endpoint] = now.Add(refusalHold)
	return !known
}

func (h *refusalHolds) clear(endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.expiry, endpoint)
}

func (h *refusalHolds) names(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for endpoint, until := range h.expiry {
		if now.Before(until) {
			out = append(out, endpoint)
		}
	}
	return out
}

// leavingEndpoints returns the endpoints that get no new work: those that the
// membership list shows as leaving, and those that refused new work.
func (r *Router) leavingEndpoints() []string {
	out := append(r.Members.LeavingEndpoints(), r.holds.names(time.Now())...)
	slices.Sort(out)
	return slices.Compact(out)
}

// recordRefusal marks an endpoint as leaving if err is its refusal of new work.
func (r *Router) recordRefusal(endpoint string, err error) {
	if !errors.Is(err, engine.ErrLeaving) && !errors.Is(err, plain.ErrRefused) {
		return
	}
	if r.holds.hold(endpoint, time.Now()) {
		r.Events.Record(events.Event{Kind: events.EndpointLeaving, Endpoint: endpoint, Attributes: map[string]string{"sign": "refusal"}})
	}
}

// RunHealthChecks checks the health of the plain services until ctx ends.
// Engines need no check here: their owners watch them.
func (r *Router) RunHealthChecks(ctx context.Context) error {
	for {
		select {
		case <-time.After(healthInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		r.checkHealth(ctx)
	}
}

func (r *Router) checkHealth(ctx context.Context) {
	var checks sync.WaitGroup
	current := r.Config.Current()
	for _, endpoint := range current.Endpoints() {
		service, ok := current.Service(endpoint.Spec.GetService())
		if !ok || service.Spec.GetKind() != pb.ServiceKind_SERVICE_KIND_PLAIN {
			continue
		}
		name, address := endpoint.Spec.GetName(), endpoint.Spec.GetAddress()
		checks.Go(func() {
			err := r.Plain.Health(ctx, address)
			if err == nil {
				r.holds.clear(name)
				return
			}
			r.recordRefusal(name, err)
		})
	}
	checks.Wait()
}
