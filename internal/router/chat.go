package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/rendezvous"
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
		writeError(w, "", err)
		return
	}
	c, err := parseChat(req, body, r.Config.Current())
	if err != nil {
		writeError(w, "", err)
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

// locate returns an endpoint that has the model loaded, asking the model's
// home controller when the router knows of none.
func (r *Router) locate(ctx context.Context, c *chatCall, avoid []string) (string, error) {
	if picked, ok := choose.Pick(r.candidates(c, avoid), rand.New(rand.NewPCG(rand.Uint64(), 0))); ok {
		return picked.Name, nil
	}
	resp, err := r.ensureLoaded(ctx, c, avoid)
	if err != nil {
		return "", err
	}
	r.Directory.Put("answer", resp.GetState())
	return resp.GetEndpoint(), nil
}

func (r *Router) candidates(c *chatCall, avoid []string) []choose.Candidate {
	var out []choose.Candidate
	current := r.Config.Current()
	for _, entry := range r.Directory.All() {
		state := entry.State
		endpoint, ok := current.Endpoint(state.GetName())
		if !ok || endpoint.Spec.GetDrained() || slices.Contains(avoid, state.GetName()) || !endpoints.Usable(state) {
			continue
		}
		if !endpoints.Holds(state, c.model.Spec.GetName(), c.model.Adapter.GetName()) {
			continue
		}
		out = append(out, choose.Candidate{
			Name:            state.GetName(),
			InFlight:        r.inFlightAt(state.GetName()),
			Reported:        int(state.GetRunning() + state.GetQueued()),
			TokensPerSecond: state.GetTokensPerSecond(),
		})
	}
	return out
}

// ensureLoaded asks the home controllers of the model, the first ranked one
// first.
func (r *Router) ensureLoaded(ctx context.Context, c *chatCall, avoid []string) (*peerpb.EnsureLoadedResponse, error) {
	req := &peerpb.EnsureLoadedRequest{
		Model:         c.name,
		RequestId:     c.id,
		DeadlineMs:    time.Until(c.deadline).Milliseconds(),
		Avoid:         avoid,
		ConfigVersion: r.Config.Current().Version,
	}
	addresses := map[string]string{}
	var vms []string
	for _, member := range r.Members.Members(membership.RoleController, r.DataCentre) {
		addresses[member.VM] = member.Address
		vms = append(vms, member.VM)
	}
	var last error = outcome.Refuse(outcome.ReasonNoReplica, "no controller is known")
	for _, vm := range rendezvous.Rank(c.name, vms) {
		client, err := r.Peers.Controller(addresses[vm])
		if err != nil {
			last = err
			continue
		}
		resp, err := client.EnsureLoaded(ctx, req)
		if err == nil {
			return resp, nil
		}
		last = loadError(err)
		if status.Code(err) != codes.Unavailable {
			break
		}
	}
	return nil, last
}

// loadError turns a controller's error into one for the caller. Nothing has
// been dispatched, so the request did not run.
func loadError(err error) error {
	if status.Code(err) == codes.DeadlineExceeded {
		return outcome.Refuse(outcome.ReasonDeadline, "the model could not be loaded in time")
	}
	return &outcome.Error{Reason: outcome.ReasonNoReplica, Run: outcome.NotRun, Message: status.Convert(err).Message(), RetryAfter: time.Second}
}

// dispatch sends the request to an endpoint and passes the answer on.
func (r *Router) dispatch(ctx context.Context, c *chatCall, endpoint, tryID string, out sink) error {
	spec, ok := r.Config.Current().Endpoint(endpoint)
	if !ok {
		return outcome.Refuse(outcome.ReasonNoEndpoint, "endpoint "+endpoint+" is not configured")
	}
	defer r.begin(endpoint)()
	r.record(events.RequestDispatched, c, endpoint, map[string]string{"try": tryID})
	client := r.client(spec.Spec.GetAddress())
	stream, err := client.Run(ctx, engine.Request{
		ID:             tryID,
		IdempotencyKey: c.key,
		Model:          c.model.Spec.GetName(),
		Adapter:        c.model.Adapter.GetName(),
		Session:        c.session,
		Priority:       priority(c.model.Spec),
		Prompt:         c.prompt,
		MaxTokens:      c.maxTokens,
	})
	if err != nil {
		return dispatchError(err)
	}
	defer stream.Close()
	out.start(tryID, endpoint)
	return r.pass(c, endpoint, stream, 0, out)
}

// pass copies a stream to the sink. Chunks before offset, as a doubled one is,
// are left out.
func (r *Router) pass(c *chatCall, endpoint string, stream engine.Stream, offset int, out sink) error {
	first := true
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return out.end()
		}
		if err != nil {
			return dispatchError(err)
		}
		if chunk.Offset != offset {
			continue
		}
		if first {
			r.record(events.RequestFirstToken, c, endpoint, nil)
			first = false
		}
		offset += chunk.Tokens
		if err := out.chunk(chunk); err != nil {
			return err
		}
	}
}

// resume goes on with an answer that another router began.
func (r *Router) resume(ctx context.Context, c *chatCall, out sink) error {
	from := *c.resumeFrom
	spec, ok := r.Config.Current().Endpoint(from.endpoint)
	if !ok {
		return outcome.BadField(headerLastEventID, "names an unknown endpoint")
	}
	stream, err := r.client(spec.Spec.GetAddress()).Resume(ctx, from.requestID, from.offset)
	if err != nil {
		return &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Ran, Message: "the answer is no longer kept: " + err.Error()}
	}
	defer stream.Close()
	r.record(events.RequestResumed, c, from.endpoint, map[string]string{"try": from.requestID})
	out.start(from.requestID, from.endpoint)
	return r.pass(c, from.endpoint, stream, from.offset, out)
}

// dispatchError turns an engine's error into one for the caller.
func dispatchError(err error) error {
	notRun := []error{engine.ErrNotSent, engine.ErrNotLoaded, engine.ErrBusy, engine.ErrLeaving, engine.ErrBadRequest}
	for _, known := range notRun {
		if errors.Is(err, known) {
			return &outcome.Error{Reason: outcome.ReasonNoEndpoint, Run: outcome.NotRun, Message: err.Error(), RetryAfter: time.Second}
		}
	}
	return &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Unknown, Message: err.Error()}
}

func priority(model *pb.Model) int {
	if model.GetPriority() == pb.PriorityClass_PRIORITY_CLASS_BATCH {
		return priorityBatch
	}
	return priorityInteractive
}
