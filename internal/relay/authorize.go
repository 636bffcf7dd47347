package relay

import (
	"context"
	"errors"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/team"
)

// Authority says whether keys can be accepted by the configuration in force.
type Authority interface {
	// Current reports whether the configuration in force was confirmed recently enough. It is
	// called before the configuration is read, so that this is at least as new.
	Current() bool
}

// Retry delays sent to callers whose keys were not accepted.
const (
	// keyMovedRetryAfter applies if the key belongs to another team now.
	keyMovedRetryAfter = 100 * time.Millisecond
	// configurationOldRetryAfter applies if the configuration is too old to accept keys.
	configurationOldRetryAfter = time.Second
)

// errNotAuthorized is the cause of attempts that were not sent since the request's key is no
// longer accepted.
var errNotAuthorized = errors.New("relay: key no longer accepted")

// keyCheck is the result of a check of a request's key by the configuration in force.
type keyCheck struct {
	catalog *catalog.Catalog
	// route is nil if there is none.
	route *catalog.Route
	// team is nil if the request has no key that is known, which needs none then.
	team *team.Team
	// needed means that the request needs a key.
	needed bool
}

// checkKey checks the key of a request.
func (r *Relay) checkKey(req *Request) (keyCheck, *Failure) {
	current := r.Authority == nil || r.Authority.Current()
	c := r.Catalog()
	if c == nil {
		return keyCheck{}, refuse(ReasonNotReady, notReadyRetryAfter)
	}
	k := keyCheck{catalog: c, route: c.Route(req.Host, req.Path)}
	k.needed = needsKey(c, k.route)
	if k.needed && !current || req.Forwarded.newerThan(c, k.needed) {
		return k, refuse(ReasonConfigurationOld, configurationOldRetryAfter)
	}
	k.team = c.Teams.Find(req.Credential)
	if k.team == nil && k.needed {
		return k, refuse(ReasonUnknownKey, 0)
	}
	if !current {
		// The key of a public request may have been taken away.
		k.team = nil
	}
	if req.Forwarded != nil && nameOf(k.team) != req.Forwarded.Team {
		if k.needed {
			return k, refuse(ReasonKeyMoved, keyMovedRetryAfter)
		}
		k.team = nil
	}
	return k, nil
}

// newerThan reports whether the node that forwards a request has accepted its key by a newer
// configuration, so that this node can't tell what an unknown key means.
func (f *Forwarded) newerThan(c *catalog.Catalog, needed bool) bool {
	return f != nil && f.ConfigVersion > c.Version && (needed || f.Team != "")
}

// authorize checks the request's key again, by the configuration that is in force now. A
// request keeps the team that it began with, but one that needs no key may lose it.
func (x *exchange) authorize() *Failure {
	k, failure := x.relay.checkKeyOf(x.req, x.team)
	if failure != nil {
		return failure
	}
	if nameOf(k.team) != nameOf(x.team) {
		x.team = nil
	}
	x.authorizedBy = k.catalog.Version
	return nil
}

// checkKeyOf checks the key of a request that has begun with a team.
func (r *Relay) checkKeyOf(req *Request, began *team.Team) (keyCheck, *Failure) {
	k, failure := r.checkKey(req)
	if failure == nil && k.needed && nameOf(k.team) != nameOf(began) {
		failure = refuse(ReasonKeyMoved, keyMovedRetryAfter)
	}
	return k, failure
}

// sendAuthorization returns a function that checks the request's key as authorize does, whether the
// caller is still there, and whether it is too late before the process ends. The sender may call it
// while the exchange goes on after a cancellation, so it changes nothing there.
func (x *exchange) sendAuthorization(ctx context.Context) func() *Failure {
	r, req, began, begun, attempt := x.relay, x.req, x.team, x.started, x.attemptTime()
	return func() *Failure {
		if failure := callerLeft(ctx); failure != nil {
			return failure
		}
		if now := time.Now(); !begun && attempt.tooLong(now) {
			return x.late(now)
		}
		k, failure := r.checkKeyOf(req, began)
		if failure == nil && nameOf(k.team) != nameOf(began) {
			// The attempt names a team that a public request no longer has.
			failure = refuse(ReasonKeyMoved, keyMovedRetryAfter)
		}
		return failure
	}
}

// notAuthorized returns the error of an attempt that was not sent because of a failure of
// authorize.
func notAuthorized(failure *Failure) error {
	return &SendError{Refusal: failure, Err: errNotAuthorized}
}

// Authorized checks whether the attempt may still be sent. Senders call it when the connection
// is established, before the first byte is written.
func (a Attempt) Authorized() *Failure {
	if a.Authorize == nil {
		return nil
	}
	return a.Authorize()
}
