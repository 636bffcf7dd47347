package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/plain"
)

func (r *Router) serveService(w http.ResponseWriter, req *http.Request) {
	name := req.PathValue("service")
	service, ok := r.Config.Current().Service(name)
	if !ok {
		r.refuse(w, req, &outcome.Error{Reason: outcome.ReasonUnknownService, Run: outcome.NotRun, Field: "path", Message: fmt.Sprintf("service %q is not offered", name)})
		return
	}
	body, err := readBody(w, req)
	if err != nil {
		r.refuse(w, req, err)
		return
	}
	c, err := newCall(req, body, service.Spec.GetDefaultDeadline())
	if err != nil {
		r.refuse(w, req, err)
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
	writeStored(w, c.id, answer)
}

func (r *Router) callService(ctx context.Context, c *call, service config.Service, req plain.Request) (claim.Answer, error) {
	defer r.releaseSlot(c)
	job := serviceJob{router: r, call: c, service: service.Spec.GetName(), request: req}
	if service.Spec.GetNonIdempotent() {
		answer, err := r.once(ctx, c, job)
		return answer.Answer, err
	}
	return job.attemptEndpoints(ctx)
}

// attemptLimit bounds the endpoints to which one call is sent.
const attemptLimit = 3

// serviceJob is a call to a plain service.
type serviceJob struct {
	router  *Router
	call    *call
	service string
	request plain.Request
}

var _ onceJob = serviceJob{}

func (j serviceJob) digest() string {
	digest := sha256.New()
	for _, part := range []string{j.service, j.request.Method, j.request.Path, j.request.ContentType} {
		fmt.Fprintf(digest, "%d %s", len(part), part)
	}
	digest.Write(j.request.Body)
	return hex.EncodeToString(digest.Sum(nil)[:attemptIDDigestBytes])
}

func (j serviceJob) newAttemptID() string {
	return newRequestID()
}

func (j serviceJob) acquire(ctx context.Context, avoid []string) (string, error) {
	return j.router.locateService(ctx, j.call, j.service, avoid)
}

func (j serviceJob) releaseSlot() {
	j.router.releaseSlot(j.call)
}

func (j serviceJob) detach() onceJob {
	detached := *j.call
	j.call.slot = slot{}
	j.call = &detached
	return j
}

// attemptEndpoints sends an idempotent call to endpoints until one accepts it.
func (j serviceJob) attemptEndpoints(ctx context.Context) (claim.Answer, error) {
	var avoid []string
	var last error
	for range attemptLimit {
		endpoint, err := j.acquire(ctx, avoid)
		if err != nil && last != nil {
			return claim.Answer{}, last
		}
		if err != nil {
			return claim.Answer{}, err
		}
		answer, err := j.run(ctx, endpoint, j.newAttemptID())
		if err == nil || asOutcome(err).Run != outcome.NotRun {
			return answer, err
		}
		last = err
		avoid = append(avoid, endpoint)
	}
	return claim.Answer{}, last
}

func (j serviceJob) run(ctx context.Context, endpoint, attemptID string) (claim.Answer, error) {
	r := j.router
	spec, ok := r.Config.Current().Endpoint(endpoint)
	if !ok {
		return claim.Answer{}, outcome.Refuse(outcome.ReasonNoEndpoint, "endpoint "+endpoint+" is not configured")
	}
	r.Events.Record(events.Event{Kind: events.RequestDispatched, RequestID: j.call.id, Endpoint: endpoint, Attributes: map[string]string{"try": attemptID}})
	req := j.request
	req.ID = attemptID
	resp, err := r.Plain.Follow(ctx, spec.Spec.GetAddress(), req)
	switch {
	case err == nil:
		return claim.Answer{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}, nil
	case errors.Is(err, plain.ErrNotSent) || errors.Is(err, plain.ErrRefused):
		r.recordRefusal(endpoint, err)
		return claim.Answer{}, &outcome.Error{Reason: outcome.ReasonNoEndpoint, Run: outcome.NotRun, Message: err.Error(), RetryAfter: time.Second, Cause: err}
	}
	return claim.Answer{}, &outcome.Error{Reason: outcome.ReasonInterrupted, Run: outcome.Unknown, Message: err.Error(), Cause: err}
}

// queryStatus reads the status of a call at its endpoint, and the response if
// the service still stores it.
func (j serviceJob) queryStatus(ctx context.Context, endpoint, attemptID string) progress {
	spec, ok := j.router.Config.Current().Endpoint(endpoint)
	if !ok {
		return progress{state: progressUnreachable}
	}
	status, err := j.router.Plain.RunStatus(ctx, spec.Spec.GetAddress(), attemptID)
	switch {
	case errors.Is(err, plain.ErrNoRun):
		return progress{state: progressMissing}
	case err != nil:
		return progress{state: progressUnreachable}
	case status.Phase == plain.PhaseDone && status.Status == 0:
		return progress{state: progressFailed}
	case status.Phase == plain.PhaseDone:
		return progress{state: progressAnswered, answer: claim.Answer{Status: status.Status, ContentType: status.ContentType, Body: status.Body}}
	}
	return progress{state: progressRunning}
}

// completionText returns the text and the token count of a complete response.
func completionText(body []byte) (string, int, error) {
	var parsed completion
	if err := json.Unmarshal(body, &parsed); err != nil {
		return "", 0, err
	}
	if len(parsed.Choices) == 0 {
		return "", 0, errors.New("router: kept answer has no choices")
	}
	return parsed.Choices[0].Message.Content, parsed.Usage.CompletionTokens, nil
}
