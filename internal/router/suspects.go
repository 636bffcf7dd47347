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

// Timeouts of the calls to peers.
const (
	// shareTimeout bounds the notification of one peer about a suspect.
	shareTimeout = time.Second
	// reserveTimeout bounds the request to one peer for the exclusive use of an
	// endpoint.
	reserveTimeout = 250 * time.Millisecond
)

// contentDigest identifies what a call requests, regardless of the caller.
func contentDigest(c *chatCall) suspect.Digest {
	return suspect.NewDigest(c.model.Spec.GetName(), c.model.Adapter.GetName(), c.prompt)
}

// refuseBlocked returns the refusal of a call whose content has crashed two
// endpoints, and nil otherwise. The refusal only states that this attempt did
// not run; earlier ones may have.
func (r *Router) refuseBlocked(c *chatCall) error {
	now := time.Now()
	until, blocked := r.suspects.Blocked(contentDigest(c), now)
	if !blocked {
		return nil
	}
	return &outcome.Error{
		Reason:     outcome.ReasonCrashes,
		Run:        outcome.NotRun,
		Message:    "requests of this content were on two endpoints when they crashed",
		RetryAfter: until.Sub(now),
	}
}

// endpointCrashed reports whether the error of an attempt indicates a crash of
// its endpoint: the engine is unreachable, or restarted without the request.
func endpointCrashed(err error) bool {
	if !errors.Is(err, follow.ErrIncomplete) {
		return false
	}
	return errors.Is(err, engine.ErrNoRequest) || errors.Is(err, engine.ErrNotSent)
}

// recordSuspect updates the suspects with the result of an attempt.
func (r *Router) recordSuspect(c *chatCall, endpoint string, err error) {
	digest := contentDigest(c)
	switch {
	case err == nil:
		r.suspects.Answered(digest)
	case endpointCrashed(err):
		mark := r.suspects.Crashed(endpoint, digest, time.Now())
		r.record(events.EndpointCrashed, c, endpoint, nil)
		r.shareSuspect(mark)
	}
}

// reserve waits until a suspect has exclusive use of an endpoint over all
// routers. Requests that are not suspects do not wait.
func (r *Router) reserve(ctx context.Context, c *chatCall, endpoint string) (release func(), err error) {
	if !r.suspects.Suspected(contentDigest(c), time.Now()) {
		return func() {}, nil
	}
	endReservation, err := r.suspects.Reserve(ctx, endpoint, func(ctx context.Context, endpoint string) bool {
		return r.requestGrants(ctx, &peerpb.OccupyRequest{Endpoint: endpoint, Router: r.VM, RemainingMs: time.Until(c.deadline).Milliseconds()})
	})
	if err != nil {
		return nil, err
	}
	return func() {
		endReservation()
		r.background(func() {
			r.requestGrants(r.lifetime, &peerpb.OccupyRequest{Endpoint: endpoint, Router: r.VM, Ended: true})
		})
	}, nil
}

// requestGrants asks all other routers and reports whether none denied. A
// router that does not respond is ignored.
func (r *Router) requestGrants(ctx context.Context, req *peerpb.OccupyRequest) bool {
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
			callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
			defer cancel()
			resp, err := client.Occupy(callCtx, req)
			if err == nil && !resp.GetGranted() {
				denied.Store(true)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		r.Log.Debug("reservation not answered", "error", err)
	}
	return !denied.Load()
}

// GrantReservation handles another router's request to run a suspect alone at
// an endpoint, or its notification that the suspect has ended there.
func (r *Router) GrantReservation(req *peerpb.OccupyRequest) bool {
	if req.GetEnded() {
		r.suspects.PeerReleased(req.GetEndpoint(), req.GetRouter())
		return true
	}
	now := time.Now()
	return r.suspects.Grant(req.GetEndpoint(), r.VM, req.GetRouter(), expiry(req.GetRemainingMs(), now), now)
}

// expiry returns the time at which something expires whose remaining time a peer
// sent. Peers send remaining times, because the time of day differs between VMs
// and may jump.
func expiry(remainingMS int64, now time.Time) time.Time {
	return now.Add(time.Duration(remainingMS) * time.Millisecond)
}

// shareSuspect notifies the other routers of a suspect.
func (r *Router) shareSuspect(mark suspect.Mark) {
	req := &peerpb.ShareSuspectsRequest{Suspects: []*peerpb.Suspect{{
		Digest:      binary.BigEndian.AppendUint64(nil, uint64(mark.Digest)),
		Crashed:     mark.Crashed,
		RemainingMs: time.Until(mark.Expires).Milliseconds(),
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
			ctx, cancel := context.WithTimeout(r.lifetime, shareTimeout)
			defer cancel()
			if _, err := client.ShareSuspects(ctx, req); err != nil {
				r.Log.Debug("suspect not shared", "peer", member.Name(), "error", err)
			}
		})
	}
}

// MergeSuspects merges the suspects of a peer.
func (r *Router) MergeSuspects(req *peerpb.ShareSuspectsRequest) {
	now := time.Now()
	for _, shared := range req.GetSuspects() {
		if len(shared.GetDigest()) != 8 {
			continue
		}
		r.suspects.Merge(suspect.Mark{
			Digest:  suspect.Digest(binary.BigEndian.Uint64(shared.GetDigest())),
			Crashed: shared.GetCrashed(),
			Expires: expiry(shared.GetRemainingMs(), now),
		}, now)
	}
}
