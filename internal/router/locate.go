package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/rendezvous"
)

// locate returns an endpoint that has the model loaded, asking the model's
// home controller when the router knows of none.
func (r *Router) locate(ctx context.Context, c *chatCall, avoid []string) (string, error) {
	avoid = slices.Concat(avoid, r.leavingEndpoints())
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
