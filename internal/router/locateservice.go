package router

import (
	"context"
	"time"

	"chestnutgauge/internal/admit"
	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/config"
)

// defaultServiceConcurrency is the number of calls in flight at one endpoint of
// a plain service that sets none.
const defaultServiceConcurrency = 64

// locateService returns an endpoint of a plain service and acquires a slot
// there, which releaseSlot releases. It waits in the service's queue if there
// is no room. The endpoints in avoid are excluded. An error means that the call
// did not run.
func (r *Router) locateService(ctx context.Context, c *call, service string, avoid []string) (string, error) {
	r.releaseSlot(c)
	routerCount := r.routerCount()
	held, err := r.scheduler.acquire(ctx, &slotRequest{
		queue:  serviceQueue + service,
		call:   c,
		class:  admit.Interactive,
		tried:  avoid,
		choice: choose.Request{DataCentre: r.DataCentre, Choosers: routerCount},
		candidates: func(now time.Time, tried []string) []slotCandidate {
			return r.serviceCandidates(service, now, tried, routerCount)
		},
	})
	if err != nil {
		return "", err
	}
	held.service = service
	held.startTime = time.Now()
	c.slot = held
	return held.endpoint, nil
}

// serviceQueue is the prefix of the names of services' queues. No model name
// contains a slash.
const serviceQueue = "service/"

func (r *Router) serviceCandidates(service string, now time.Time, tried []string, routerCount int) []slotCandidate {
	current := r.Config.Current()
	spec, ok := current.Service(service)
	if !ok {
		return nil
	}
	var out []slotCandidate
	leaving := r.leavingEndpoints()
	for _, endpoint := range current.ServiceEndpoints(service) {
		name := endpoint.Spec.GetName()
		if contains(tried, name) {
			continue
		}
		p := r.serviceCandidate(spec, endpoint, now, routerCount)
		p.Leaving = contains(leaving, name)
		out = append(out, p)
	}
	return out
}

func (r *Router) serviceCandidate(service config.Service, endpoint config.Endpoint, now time.Time, routerCount int) slotCandidate {
	address := endpoint.Spec.GetAddress()
	view := r.loads.View(address, now)
	limit := int(service.Spec.GetMaxConcurrency())
	if limit == 0 {
		limit = defaultServiceConcurrency
	}
	// Plain services report no load: each router takes its share of the limit.
	limit = max(1, limit/routerCount)
	return slotCandidate{
		keys: []string{address},
		Candidate: choose.Candidate{
			Name:         endpoint.Spec.GetName(),
			DataCentre:   endpoint.Spec.GetDataCentre(),
			Drained:      endpoint.Spec.GetDrained(),
			EjectedUntil: view.EjectedUntil,
			InFlight:     view.InFlight,
			Limit:        limit,
			FirstToken:   view.FirstToken,
		},
	}
}

// endCall records how long a call to a plain service ran.
func (r *Router) endCall(held slot, now time.Time) {
	if held.service == "" {
		return
	}
	took := now.Sub(held.startTime)
	r.loads.Answered(held.keys[0], took, 1, 0)
	r.scheduler.recordRun(serviceQueue+held.service, took, 1, 0)
}
