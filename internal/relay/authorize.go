package relay

import (
	"context"
	"errors"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/team"
)

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

// keyCheck is the result of a check of a request's key by a configuration.
type keyCheck struct {
	// route is nil if there is none.
	route *catalog.Route
	// team is nil if the request has no key that is known, which needs none then.
	team *team.Team
	// needed means that the request needs a key.
	needed bool
}

// checkKey checks the key of a request.
func checkKey(req *Request, basis catalog.Basis) (keyCheck, *Failure) {
	c := basis.Catalog
	if c == nil {
		return keyCheck{}, refuse(ReasonNotReady, notReadyRetryAfter)
	}
	k := keyCheck{route: c.Route(req.Host, req.Path)}
	k.needed = needsKey(c, k.route)
	accepts := basis.Permits(catalog.DecisionAcceptKey)
	if k.needed && !accepts || req.Forwarded.newerThan(c, k.needed) {
		return k, refuse(ReasonConfigurationOld, configurationOldRetryAfter)
	}
	k.team = c.Teams.Find(req.Credential)
	if k.team == nil && k.needed {
		return k, refuseBy(basis, catalog.DecisionRefuseKey, ReasonUnknownKey)
	}
	if !accepts {
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
	basis := x.relay.basis()
	k, failure := checkKeyOf(x.req, basis, x.team)
	if failure != nil {
		return failure
	}
	if nameOf(k.team) != nameOf(x.team) {
		x.team = nil
	}
	x.authorizedBy = basis.Catalog.Version
	return nil
}

// checkKeyOf checks the key of a request that has begun with a team.
func checkKeyOf(req *Request, basis catalog.Basis, began *team.Team) (keyCheck, *Failure) {
	k, failure := checkKey(req, basis)
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
		k, failure := checkKeyOf(req, r.basis(), began)
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
