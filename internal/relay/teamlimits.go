package relay

import (
	"context"

	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/team"
)

// TeamLimits keeps the limits of teams over all nodes.
type TeamLimits interface {
	// Admit uses tokens of a team's limit for a request. The verdict is Admitted, OverLimit or
	// NoOwner.
	Admit(ctx context.Context, caller *team.Team, cost float64) ratelimit.Admission
	// Return gives back the tokens of an admitted request that did not run.
	Return(admission ratelimit.Admission)
}

// charge uses tokens of the limit of the caller's team. The admission is not admitted if the
// request is not limited: on a route that needs no key, without a limit, and when another node
// has charged it.
func (x *exchange) charge(ctx context.Context) (ratelimit.Admission, *Failure) {
	if !x.team.Limited() || !needsKey(x.catalog, x.route) || x.req.Forwarded != nil {
		return ratelimit.Admission{}, nil
	}
	cost := x.team.Cost(x.req.PromptTokens, x.req.MaxTokens, x.req.TokensCounted)
	if cost <= 0 {
		return ratelimit.Admission{}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	admission := x.relay.TeamLimits.Admit(ctx, x.team, cost)
	switch admission.Verdict {
	case ratelimit.Admitted:
		return admission, nil
	case ratelimit.OverLimit:
		return admission, refuse(ReasonOverLimit, admission.RetryAfter)
	default:
		return admission, refuse(ReasonNoLimitOwner, admission.RetryAfter)
	}
}

// serveCharged runs an exchange if the limit of its team allows it. A request that did not run
// gives its tokens back.
func (r *Relay) serveCharged(ctx context.Context, x *exchange) *Failure {
	admission, failure := x.charge(ctx)
	if failure != nil {
		return failure
	}
	failure = r.run(ctx, x)
	if admission.Verdict == ratelimit.Admitted && failure != nil && failure.Run == outcome.NotRun && x.possibleRuns == 0 {
		r.TeamLimits.Return(admission)
	}
	return failure
}
