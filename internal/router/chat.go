package router

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/outcome"
)

// Priorities at the engines.
const (
	priorityBatch       = 0
	priorityInteractive = 10
)

func (r *Router) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range r.Config.Current().ModelNames() {
		list.Data = append(list.Data, model{ID: name, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	body, err := readBody(w, req)
	if err != nil {
		r.refuse(w, req, err)
		return
	}
	c, err := parseChat(req, body, r.Config.Current())
	if err != nil {
		r.refuse(w, req, err)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline)
	defer cancel()
	defer r.releaseSlot(&c.call)
	r.record(events.RequestReceived, c, "", nil)
	var out sink = &bufferedSink{w: w, call: c}
	if c.stream {
		out = &streamSink{w: w, call: c}
	}
	if err := r.answer(ctx, c, out); err != nil {
		e := asOutcome(err)
		r.record(events.RequestRefused, c, "", map[string]string{"reason": string(e.Reason), "run": string(e.Run)})
		out.fail(err)
		return
	}
	r.record(events.RequestAnswered, c, "", nil)
}

func (r *Router) record(kind events.Kind, c *chatCall, endpoint string, attributes map[string]string) {
	r.Events.Record(events.Event{Kind: kind, RequestID: c.id, Model: c.name, Endpoint: endpoint, Attributes: attributes})
}

// answer runs a call and sends the response to the sink.
func (r *Router) answer(ctx context.Context, c *chatCall, out sink) error {
	if c.resumeFrom != nil {
		return r.resume(ctx, c, out)
	}
	if c.model.Spec.GetNonIdempotent() {
		return r.answerOnce(ctx, c, out)
	}
	if err := r.refuseBlocked(c); err != nil {
		return err
	}
	return r.answerIdempotent(ctx, c, out)
}

// answerIdempotent tries endpoints until one responds. Once a part of the
// response has been sent to the caller, the request is not restarted. A request
// that an engine has no room for is queued again.
func (r *Router) answerIdempotent(ctx context.Context, c *chatCall, out sink) error {
	r.retries.request()
	var tried []string
	run := outcome.NotRun
	for attempts := 1; ; {
		endpoint, err := r.locate(ctx, c, tried)
		if err != nil {
			return withEarlierRun(err, run)
		}
		err = r.dispatch(ctx, c, endpoint, newRequestID(), out)
		if err == nil {
			return nil
		}
		run = mergeRuns(run, asOutcome(err).Run)
		if ctx.Err() != nil {
			return withEarlierRun(deadlineError(ctx, err), run)
		}
		if errors.Is(err, engine.ErrBusy) {
			busyTotal.Inc()
			continue
		}
		r.releaseSlot(&c.call)
		r.dropStale(endpoint, err)
		if blocked := r.refuseBlocked(c); blocked != nil {
			return withEarlierRun(blocked, run)
		}
		if !r.waitRetry(ctx, &c.call, endpoint, attempts, err, out.started(), true) {
			return withEarlierRun(err, run)
		}
		attempts++
		tried = append(tried, endpoint)
		r.record(events.RequestRetried, c, endpoint, map[string]string{"error": err.Error()})
	}
}

// deadlineError names the deadline as the reason if it ended an attempt.
func deadlineError(ctx context.Context, err error) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	return &outcome.Error{Reason: outcome.ReasonDeadline, Run: asOutcome(err).Run, Message: "the deadline passed while the request ran", Cause: err}
}

func priority(model *pb.Model) int {
	if model.GetPriority() == pb.PriorityClass_PRIORITY_CLASS_BATCH {
		return priorityBatch
	}
	return priorityInteractive
}
