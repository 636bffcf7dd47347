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

// Times of the signs that an endpoint is leaving.
const (
	// healthInterval is the time between two health checks of a plain service.
	healthInterval = time.Second
	// refusalHold is how long an endpoint's own refusal keeps new work away.
	// After it the endpoint is asked anew.
	refusalHold = 10 * time.Second
)

// leavingSigns keeps what this router itself has seen of leaving endpoints.
// The membership list and the owners' word are kept elsewhere.
type leavingSigns struct {
	mu sync.Mutex
	// refused maps endpoints to the end of the hold.
	refused map[string]time.Time
}

func (s *leavingSigns) hold(endpoint string, now time.Time) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = map[string]time.Time{}
	}
	// Ended holds go, so that the map holds no more than the endpoints in use.
	maps.DeleteFunc(s.refused, func(_ string, until time.Time) bool { return now.After(until) })
	_, known := s.refused[endpoint]
	s.refused[endpoint] = now.Add(refusalHold)
	return !known
}

func (s *leavingSigns) clear(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refused, endpoint)
}

func (s *leavingSigns) names(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for endpoint, until := range s.refused {
		if now.Before(until) {
			out = append(out, endpoint)
		}
	}
	return out
}

// leavingEndpoints returns the endpoints that get no new work: those that the
// membership list shows as leaving, and those that said so themselves.
func (r *Router) leavingEndpoints() []string {
	out := append(r.Members.LeavingEndpoints(), r.signs.names(time.Now())...)
	slices.Sort(out)
	return slices.Compact(out)
}

// noteRefusal takes an endpoint's refusal as a sign that it is leaving.
func (r *Router) noteRefusal(endpoint string, err error) {
	if !errors.Is(err, engine.ErrLeaving) && !errors.Is(err, plain.ErrRefused) {
		return
	}
	if r.signs.hold(endpoint, time.Now()) {
		r.Events.Record(events.Event{Kind: events.EndpointLeaving, Endpoint: endpoint, Attributes: map[string]string{"sign": "refusal"}})
	}
}

// RunHealthChecks asks the plain services for their health until ctx ends.
// Engines need none: their owners watch them.
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
				r.signs.clear(name)
				return
			}
			r.noteRefusal(name, err)
		})
	}
	checks.Wait()
}
