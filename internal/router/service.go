package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/plain"
)

func (r *Router) serveService(w http.ResponseWriter, req *http.Request) {
	name := req.PathValue("service")
	service, ok := r.Config.Current().Service(name)
	if !ok {
		writeError(w, "", &outcome.Error{Reason: outcome.ReasonUnknownService, Run: outcome.NotRun, Field: "path", Message: fmt.Sprintf("service %q is not offered", name)})
		return
	}
	body, err := readBody(w, req)
	if err != nil {
		writeError(w, "", err)
		return
	}
	c, err := newCall(req, body, service.Spec.GetDefaultDeadline())
	if err != nil {
		writeError(w, "", err)
		return
	}
	if service.Spec.GetNonIdempotent() && c.key == "" {
		writeError(w, c.id, missingKey())
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline)
	defer cancel()
	r.Events.Record(events.Event{Kind: events.RequestReceived, RequestID: c.id, Attributes: map[string]string{"service": name}})
	answer, err := r.callService(ctx, &c, service, plain.Request{
		IdempotencyKey: c.key,
		Method:         req.Method,
		Path:           "/" + req.PathValue("path"),
		ContentType:    req.Header.Get("Content-Type"),
		Body:           body,
	})
	if err != nil {
		e := asOutcome(err)
		r.Events.Record(events.Event{Kind: events.RequestRefused, RequestID: c.id, Attributes: map[string]string{"service": name, "reason": string(e.Reason), "run": string(e.Run)}})
		writeError(w, c.id, err)
		return
	}
	r.Events.Record(events.Event{Kind: events.RequestAnswered, RequestID: c.id, Attributes: map[string]string{"service": name}})
	writeKept(w, c.id, answer.status, answer.contentType, answer.body)
}

func (r *Router) callService(ctx context.Context, c *call, service config.Service, req plain.Request) (keptAnswer, error) {
	if service.Spec.GetNonIdempotent() {
		answer, _, err := r.once(ctx, c, func(ctx context.Context, tryID string) (keptAnswer, error) {
			req.ID = tryID
			return r.tryService(ctx, c, service, req)
		})
		return answer, err
	}
	req.ID = newRequestID()
	return r.tryService(ctx, c, service, req)
}

// maxTries bounds the endpoints that one call is sent to.
const maxTries = 3

// tryService sends the call to endpoints until one accepts it.
func (r *Router) tryService(ctx context.Context, c *call, service config.Service, req plain.Request) (keptAnswer, error) {
	var avoid []string
	var last error = &outcome.Error{Reason: outcome.ReasonNoEndpoint, Run: outcome.NotRun, Message: "the service has no endpoint", RetryAfter: time.Second}
	for range maxTries {
		endpoint, ok := r.pickServiceEndpoint(service.Spec.GetName(), avoid)
		if !ok {
			return keptAnswer{}, last
		}
		name := endpoint.Spec.GetName()
		r.Events.Record(events.Event{Kind: events.RequestDispatched, RequestID: c.id, Endpoint: name, Attributes: map[string]string{"try": req.ID}})
		end := r.begin(name)
		resp, err := r.Plain.Call(ctx, endpoint.Spec.GetAddress(), req)
		end()
		if err == nil {
			return keptAnswer{resp.Status, resp.ContentType, resp.Body}, nil
		}
		if !errors.Is(err, plain.ErrNotSent) && !errors.Is(err, plain.ErrRefused) {
			return keptAnswer{}, &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Unknown, Message: err.Error()}
		}
		last = &outcome.Error{Reason: outcome.ReasonNoEndpoint, Run: outcome.NotRun, Message: err.Error(), RetryAfter: time.Second}
		avoid = append(avoid, name)
	}
	return keptAnswer{}, last
}

// pickServiceEndpoint prefers endpoints of the router's own data centre.
func (r *Router) pickServiceEndpoint(service string, avoid []string) (config.Endpoint, bool) {
	var own, other []choose.Candidate
	byName := map[string]config.Endpoint{}
	for _, endpoint := range r.Config.Current().ServiceEndpoints(service) {
		name := endpoint.Spec.GetName()
		if endpoint.Spec.GetDrained() || slices.Contains(avoid, name) {
			continue
		}
		byName[name] = endpoint
		candidate := choose.Candidate{Name: name, InFlight: r.inFlightAt(name)}
		if endpoint.Spec.GetDataCentre() == r.DataCentre {
			own = append(own, candidate)
		} else {
			other = append(other, candidate)
		}
	}
	if len(own) == 0 {
		own = other
	}
	picked, ok := choose.Pick(own, rand.New(rand.NewPCG(rand.Uint64(), 0)))
	return byName[picked.Name], ok
}

// completionText reads the text of a whole answer.
func completionText(body []byte) (string, int, error) {
	var whole completion
	if err := json.Unmarshal(body, &whole); err != nil {
		return "", 0, err
	}
	if len(whole.Choices) == 0 {
		return "", 0, errors.New("router: kept answer has no choices")
	}
	return whole.Choices[0].Message.Content, whole.Usage.CompletionTokens, nil
}
