package router

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/admit"
	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/rendezvous"
	"chestnutgauge/internal/session"
)

// defaultConcurrency is the number of requests in flight at one replica if the
// model sets none.
const defaultConcurrency = 16

// answerSource is the source of endpoint states that a controller returned.
const answerSource = "answer"

// prefixSavingPerToken is the time that a cached prompt token saves.
const prefixSavingPerToken = 200 * time.Microsecond

// bytesPerToken is the mean length of a prompt token.
const bytesPerToken = 4

// locate returns an endpoint that has the model loaded and acquires a slot
// there, which releaseSlot releases. It waits in the model's queue if there is
// no room, and requests a load if no endpoint has the model. The endpoints in
// avoid are excluded. An error means that the call did not run.
func (r *Router) locate(ctx context.Context, c *chatCall, avoid []string) (string, error) {
	r.releaseSlot(&c.call)
	cached, _ := r.sessions.Get(c.sessionKey())
	n := &slotRequest{
		queue:     c.name,
		call:      &c.call,
		class:     classOf(c.model.Spec),
		bytes:     len(c.prompt) + len(c.organisation) + len(c.session),
		maxTokens: c.maxTokens,
		tried:     append([]string(nil), avoid...),
		choice: choose.Request{
			DataCentre:   r.DataCentre,
			Choosers:     r.routerCount(),
			PrefixSaving: time.Duration(cached.Tokens) * prefixSavingPerToken,
		},
	}
	n.candidates = func(now time.Time, tried []string) []slotCandidate {
		return r.candidates(c, now, tried, cached.Endpoint, n.choice.Choosers)
	}
	n.loadModel = func(ctx context.Context, tried []string) (string, error) {
		resp, err := r.ensureLoaded(ctx, c, append(r.leavingEndpoints(), tried...))
		if err != nil {
			return "", err
		}
		r.Directory.Put(answerSource, resp.GetState())
		return resp.GetEndpoint(), nil
	}
	held, err := r.scheduler.acquire(ctx, n)
	if err != nil {
		return "", err
	}
	c.slot = held
	r.sessions.Put(c.sessionKey(), session.Location{Endpoint: held.endpoint, Tokens: len(c.prompt) / bytesPerToken})
	return held.endpoint, nil
}

// releaseSlot releases the slot that a call holds, if any.
func (r *Router) releaseSlot(c *call) {
	held := c.slot
	c.slot = slot{}
	if held.endpoint == "" {
		return
	}
	r.endCall(held, time.Now())
	r.scheduler.free(held)
}

func (c *chatCall) sessionKey() session.Key {
	return session.Key{Organisation: c.organisation, Model: c.name, Session: c.session}
}

func classOf(model *pb.Model) admit.Class {
	if model.GetPriority() == pb.PriorityClass_PRIORITY_CLASS_BATCH {
		return admit.Batch
	}
	return admit.Interactive
}

// routerCount returns the number of routers that share the data centre's
// endpoints.
func (r *Router) routerCount() int {
	return max(1, len(r.Members.Members(membership.RoleRouter, r.DataCentre)))
}

// candidates returns the endpoints that hold the model, except those in tried.
func (r *Router) candidates(c *chatCall, now time.Time, tried []string, cachedAt string, routerCount int) []slotCandidate {
	var out []slotCandidate
	current := r.Config.Current()
	model := c.model.Spec.GetName()
	leaving := r.leavingEndpoints()
	for _, entry := range r.Directory.Holders(model) {
		name := entry.State.GetName()
		endpoint, ok := current.Endpoint(name)
		if !ok || contains(tried, name) || !endpoints.Holds(entry.State, model, c.model.Adapter.GetName()) {
			continue
		}
		p := r.candidate(c, entry, endpoint, now, routerCount)
		p.Cached = name == cachedAt
		p.Leaving = p.Leaving || contains(leaving, name)
		out = append(out, p)
	}
	return out
}

func contains(names []string, name string) bool {
	for _, have := range names {
		if have == name {
			return true
		}
	}
	return false
}

// candidate combines what is known about an endpoint. The limit is that of the
// engine or that of the replica, whichever leaves less room.
func (r *Router) candidate(c *chatCall, entry endpoints.Entry, endpoint config.Endpoint, now time.Time, routerCount int) slotCandidate {
	state := entry.State
	address := endpoint.Spec.GetAddress()
	replicaKey := replicaKey(address, c.model.Spec.GetName())
	r.loads.Report(address, int(state.GetRunning()), int(state.GetQueued()), entry.Received.Add(-time.Duration(state.GetReportAgeMs())*time.Millisecond))
	r.loads.Report(replicaKey, replicaRunning(state, c.model.Spec.GetName()), 0, entry.Received)
	engine := r.loads.View(address, now)
	replica := r.loads.View(replicaKey, now)
	limit := int(c.model.Spec.GetMaxConcurrency())
	if limit == 0 {
		limit = defaultConcurrency
	}
	p := slotCandidate{
		keys: []string{address, replicaKey},
		Candidate: choose.Candidate{
			Name:            state.GetName(),
			DataCentre:      endpoint.Spec.GetDataCentre(),
			Unreachable:     !state.GetReachable(),
			Leaving:         state.GetLeaving(),
			Drained:         endpoint.Spec.GetDrained(),
			EjectedUntil:    engine.EjectedUntil,
			InFlight:        replica.InFlight,
			OtherLoad:       replica.OtherLoad,
			Limit:           limit,
			FirstToken:      engine.FirstToken,
			TokensPerSecond: engine.TokensPerSecond,
		},
	}
	if room := float64(limit-replica.InFlight) - replica.OtherLoad; engine.Limit > 0 && float64(engine.Limit-engine.InFlight)-engine.OtherLoad < room {
		p.InFlight, p.OtherLoad, p.Limit = engine.InFlight, engine.OtherLoad, engine.Limit
	}
	if p.TokensPerSecond == 0 {
		p.TokensPerSecond = state.GetTokensPerSecond()
	}
	p.Share = max(1, p.Limit/routerCount)
	return p
}

// replicaKey returns the key under which the load of a replica is counted.
func replicaKey(address, model string) string {
	return address + " " + model
}

func replicaRunning(state *peerpb.EndpointState, model string) int {
	for _, replica := range state.GetLoaded() {
		if replica.GetModel() == model {
			return int(replica.GetRunning())
		}
	}
	return 0
}

// configured reports whether the model or service of a queue is in the
// configuration.
func configured(current *config.Snapshot, queue string) bool {
	if service, isService := strings.CutPrefix(queue, serviceQueue); isService {
		_, ok := current.Service(service)
		return ok
	}
	_, ok := current.Model(queue)
	return ok
}

// loadKeys returns a predicate for the load keys of configured endpoints and
// replicas.
func loadKeys(current *config.Snapshot) func(string) bool {
	addresses := map[string]bool{}
	for _, endpoint := range current.Endpoints() {
		addresses[endpoint.Spec.GetAddress()] = true
	}
	return func(key string) bool {
		address, model, replica := strings.Cut(key, " ")
		if !replica {
			return addresses[address]
		}
		_, ok := current.Model(model)
		return ok && addresses[address]
	}
}

func noEndpoint() error {
	return &outcome.Error{Reason: outcome.ReasonNoEndpoint, Run: outcome.NotRun, Message: "no endpoint can take the call", RetryAfter: time.Second}
}

// ensureLoaded asks the model's controllers to load it, in the order of
// controllerAddresses.
func (r *Router) ensureLoaded(ctx context.Context, c *chatCall, avoid []string) (*peerpb.EnsureLoadedResponse, error) {
	req := &peerpb.EnsureLoadedRequest{
		Model:         c.name,
		RequestId:     c.id,
		DeadlineMs:    time.Until(c.deadline).Milliseconds(),
		Avoid:         avoid,
		ConfigVersion: r.Config.Current().Version,
	}
	var last error = outcome.Refuse(outcome.ReasonNoReplica, "no controller is known")
	for _, address := range r.controllerAddresses(c.name) {
		client, err := r.Peers.Controller(address)
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

// controllerAddresses returns the addresses of the controllers to ask for a
// model, in order: those alive by rank, then those suspected or leaving. The
// first by rank of those alive is the model's home controller.
func (r *Router) controllerAddresses(model string) []string {
	alive := r.Members.Alive(membership.RoleController, r.DataCentre)
	others := slices.DeleteFunc(r.Members.Members(membership.RoleController, r.DataCentre), func(m membership.Member) bool {
		return slices.Contains(alive, m)
	})
	return append(rankedAddresses(model, alive), rankedAddresses(model, others)...)
}

func rankedAddresses(model string, members []membership.Member) []string {
	addresses := map[string]string{}
	var vms []string
	for _, member := range members {
		addresses[member.VM] = member.Address
		vms = append(vms, member.VM)
	}
	var out []string
	for _, vm := range rendezvous.Rank(model, vms) {
		out = append(out, addresses[vm])
	}
	return out
}

// loadError converts a controller's error into one for the caller. Nothing has
// been dispatched, so the request did not run.
func loadError(err error) error {
	if status.Code(err) == codes.DeadlineExceeded {
		return outcome.Refuse(outcome.ReasonDeadline, "the model could not be loaded in time")
	}
	return &outcome.Error{Reason: outcome.ReasonNoReplica, Run: outcome.NotRun, Message: status.Convert(err).Message(), RetryAfter: time.Second}
}
