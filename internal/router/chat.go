package router

import (
	"context"
	"encoding/json"
	"net/http"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/events"
)

// maxTries bounds the endpoints that one request is sent to.
const maxTries = 3

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
	r.record(events.RequestReceived, c, "", nil)
	var out sink = &wholeSink{w: w, call: c}
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

// answer runs a call and sends the answer to the sink.
func (r *Router) answer(ctx context.Context, c *chatCall, out sink) error {
	if c.resumeFrom != nil {
		return r.resume(ctx, c, out)
	}
	if c.model.Spec.GetNonIdempotent() {
		return r.answerOnce(ctx, c, out)
	}
	return r.answerIdempotent(ctx, c, out)
}

// answerIdempotent tries endpoints until one answers. Once the caller has been
// sent a part, the answer is not begun anew.
func (r *Router) answerIdempotent(ctx context.Context, c *chatCall, out sink) error {
	var avoid []string
	var last error
	for range maxTries {
		endpoint, err := r.locate(ctx, c, avoid)
		if err != nil {
			return err
		}
		err = r.dispatch(ctx, c, endpoint, newRequestID(), out)
		if err == nil {
			return nil
		}
		last = err
		if out.started() || ctx.Err() != nil {
			return last
		}
		avoid = append(avoid, endpoint)
		r.record(events.RequestRetried, c, endpoint, map[string]string{"error": err.Error()})
	}
	return last
}

func priority(model *pb.Model) int {
	if model.GetPriority() == pb.PriorityClass_PRIORITY_CLASS_BATCH {
		return priorityBatch
	}
	return priorityInteractive
}
