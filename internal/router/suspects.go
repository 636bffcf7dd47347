package router

import (
	"context"
	"encoding/binary"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/engine/follow"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/suspect"
)

// Bounds of the calls to peers.
const (
	// shareTimeout bounds the telling of one peer about a suspect.
	shareTimeout = time.Second
	// occupyTimeout bounds the asking of one peer for an endpoint.
	occupyTimeout = 250 * time.Millisecond
)

// contentDigest names what a call asks for, whoever sends it.
func contentDigest(c *chatCall) suspect.Digest {
	return suspect.Of(c.model.Spec.GetName(), c.model.Adapter.GetName(), c.prompt)
}

// refuseCondemned returns the refusal of a call whose content has crashed two
// endpoints. This call has not run by that; its earlier tries may have.
func (r *Router) refuseCondemned(c *chatCall) error {
	now := time.Now()
	until, condemned := r.suspects.Condemned(contentDigest(c), now)
	if !condemned {
		return nil
	}
	return &outcome.Error{
		Reason:     outcome.ReasonCrashes,
		Run:        outcome.NotRun,
		Message:    "requests of this content were on two endpoints when they crashed",
		RetryAfter: until.Sub(now),
	}
}

// lostByCrash reports whether the end of a try looks like a crash of its
// endpoint: the engine is gone, or has come back without the request.
func lostByCrash(err error) bool {
	if !errors.Is(err, follow.ErrIncomplete) {
		return false
	}
	return errors.Is(err, engine.ErrNoRequest) || errors.Is(err, engine.ErrNotSent)
}

// settleSuspect takes note of how a try ended for the search for requests that
// crash endpoints.
func (r *Router) settleSuspect(c *chatCall, endpoint string, err error) {
	digest := contentDigest(c)
	switch {
	case err == nil:
		r.suspects.Answered(digest)
	case lostByCrash(err):
		mark := r.suspects.Crashed(endpoint, digest, time.Now())
		r.record(events.EndpointCrashed, c, endpoint, nil)
		r.shareSuspect(mark)
	}
}

// isolate waits until a suspect is the only one at an endpoint, over all
// routers. Other requests do not wait.
func (r *Router) isolate(ctx context.Context, c *chatCall, endpoint string) (leave func(), err error) {
	if !r.suspects.Suspected(contentDigest(c), time.Now()) {
		return func() {}, nil
	}
	release, err := r.suspects.Occupy(ctx, endpoint, func(ctx context.Context, endpoint string) bool {
		return r.askRouters(ctx, &peerpb.OccupyRequest{Endpoint: endpoint, Router: r.VM, ExpiresUnixMs: c.deadline.UnixMilli()})
	})
	if err != nil {
		return nil, err
	}
	return func() {
		release()
		r.background(func() {
			r.askRouters(r.life, &peerpb.OccupyRequest{Endpoint: endpoint, Router: r.VM, Ended: true})
		})
	}, nil
}

// askRouters asks all other routers and reports whether none denied. One that
// does not answer has no say.
func (r *Router) askRouters(ctx context.Context, req *peerpb.OccupyRequest) bool {
	var denied atomic.Bool
	var group errgroup.Group
	for _, member := range r.Members.Alive(membership.RoleRouter, "") {
		if member.VM == r.VM {
			continue
		}
		group.Go(func() error {
			client, err := r.Peers.Node(member.Address)
			if err != nil {
				return err
			}
			bounded, cancel := context.WithTimeout(ctx, occupyTimeout)
			defer cancel()
			resp, err := client.Occupy(bounded, req)
			if err == nil && !resp.GetGranted() {
				denied.Store(true)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		r.Log.Debug("a router did not answer for a suspect", "error", err)
	}
	return !denied.Load()
}

// GrantOccupy answers another router that wants to run a suspect alone at an
// endpoint, or has run it.
func (r *Router) GrantOccupy(req *peerpb.OccupyRequest) bool {
	if req.GetEnded() {
		r.suspects.Left(req.GetEndpoint(), req.GetRouter())
		return true
	}
	return r.suspects.Grant(req.GetEndpoint(), r.VM, req.GetRouter(), time.UnixMilli(req.GetExpiresUnixMs()), time.Now())
}

// shareSuspect tells the other routers.
func (r *Router) shareSuspect(mark suspect.Mark) {
	req := &peerpb.ShareSuspectsRequest{Suspects: []*peerpb.Suspect{{
		Digest:        binary.BigEndian.AppendUint64(nil, uint64(mark.Digest)),
		Crashed:       mark.Crashed,
		ExpiresUnixMs: mark.Expires.UnixMilli(),
	}}}
	for _, member := range r.Members.Alive(membership.RoleRouter, "") {
		if member.VM == r.VM {
			continue
		}
		r.background(func() {
			client, err := r.Peers.Node(member.Address)
			if err != nil {
				return
			}
			ctx, cancel := context.WithTimeout(r.life, shareTimeout)
			defer cancel()
			if _, err := client.ShareSuspects(ctx, req); err != nil {
				r.Log.Debug("suspect not shared", "peer", member.Name(), "error", err)
			}
		})
	}
}

// TakeSuspects takes over the suspects of a peer.
func (r *Router) TakeSuspects(req *peerpb.ShareSuspectsRequest) {
	now := time.Now()
	for _, shared := range req.GetSuspects() {
		if len(shared.GetDigest()) != 8 {
			continue
		}
		r.suspects.Merge(suspect.Mark{
			Digest:  suspect.Digest(binary.BigEndian.Uint64(shared.GetDigest())),
			Crashed: shared.GetCrashed(),
			Expires: time.UnixMilli(shared.GetExpiresUnixMs()),
		}, now)
	}
}
