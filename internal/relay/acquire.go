package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/rendezvous"
)

// Intervals and retry delays while no endpoint can take the request.
const (
	// fullPollInterval is the polling interval while endpoints are full or
	// ejected after failures.
	fullPollInterval = 10 * time.Millisecond
	// modelPollInterval is the maximum polling interval while no engine holds
	// the model.
	modelPollInterval = 50 * time.Millisecond
	// loadRetryAfter is the retry delay sent to callers while no load is in
	// progress.
	loadRetryAfter = time.Second
	// isolatedRetryAfter is the retry delay while the data centre is cut off:
	// the time after which the load balancer uses other data centres.
	isolatedRetryAfter = 2 * time.Second
	// maxRetryAfter bounds the retry delay sent to a caller whose predicted
	// wait in a queue is too long.
	maxRetryAfter = 5 * time.Second
)

// Fractions of a request's time for which it waits for an endpoint.
const (
	// loadWaitFraction applies to a model that no endpoint serves, while it is
	// unknown when one will.
	loadWaitFraction = 0.5
	// queueWaitFraction applies while the endpoints have no room.
	queueWaitFraction = 0.3
)

// acquire returns an endpoint that can run the request now, waiting for one if
// that can help. A failure means that this attempt was not sent.
func (x *exchange) acquire(ctx context.Context) (*inventory.Endpoint, *Failure) {
	if x.req.Model != "" && !x.demandCounted {
		x.demandCounted = true
		x.relay.Demand.Arrived(x.service.Name, x.req.Model, x.req.PromptTokens)
	}
	w := x.newWait()
	ctx, release := x.untilLate(ctx)
	defer release()
	endpoint, failure := x.await(ctx, w)
	w.finish(endpoint)
	return endpoint, x.afterWait(ctx, failure)
}

// await polls for an endpoint until there is one, the request can no longer be
// served in time, or ctx ends.
func (x *exchange) await(ctx context.Context, w *wait) (*inventory.Endpoint, *Failure) {
	for {
		if failure := x.refuseBlocked(time.Now()); failure != nil {
			return nil, failure
		}
		snapshot, changed := x.relay.Inventory.Watch()
		if failure := x.refuseWithoutVersion(snapshot); failure != nil {
			return nil, failure
		}
		endpoint, verdict, failure := x.take(ctx, snapshot, w)
		if endpoint != nil || failure != nil {
			return endpoint, failure
		}
		if verdict != choose.Found {
			w.blocked(verdict)
		}
		if node, failure := x.forwardingNode(verdict, time.Now()); node != nil || failure != nil {
			return node, failure
		}
		if failure := x.unsatisfiable(verdict, w); failure != nil {
			return nil, failure
		}
		if !pause.Either(ctx, changed, w.ready(), pollInterval(verdict)) {
			return nil, endedFailure(ctx, outcome.NotRun, nil)
		}
	}
}

// take returns an endpoint that can run the request now, at which it is counted.
// Without one, it returns why.
func (x *exchange) take(ctx context.Context, snapshot *inventory.Snapshot, w *wait) (*inventory.Endpoint, choose.Verdict, *Failure) {
	for ctx.Err() == nil {
		endpoint, verdict := x.choose(snapshot)
		if w.mayDispatch() {
			endpoint, verdict = x.chooseWithOwner(ctx, snapshot, endpoint, verdict)
		}
		if verdict != choose.Found {
			return nil, verdict, nil
		}
		limited := x.limitsRejections()
		if w.heldBack(endpoint) || !w.mayDispatch() && !x.rateLimited(endpoint) && !limited {
			x.dropBalanced()
			return nil, choose.Full, nil
		}
		if limited && x.req.Adapter == "" {
			if endpoint = x.placeSomewhere(ctx, snapshot); endpoint == nil {
				return nil, choose.Full, nil
			}
		}
		limit := endpoint.Slots
		if x.req.Adapter != "" {
			var failure *Failure
			endpoint, failure = x.withAdapter(ctx, snapshot, w)
			if endpoint == nil {
				return nil, choose.Found, failure
			}
			limit = 0
		}
		if x.balanced != nil {
			limit = 0
		}
		if x.admitted(ctx, endpoint, limit, w.request().Priority, x.permitWait(snapshot, endpoint, w)) {
			return endpoint, choose.Found, nil
		}
		x.dropBalanced()
	}
	return nil, choose.Ejected, nil
}

func pollInterval(verdict choose.Verdict) time.Duration {
	if verdict == choose.Absent {
		return modelPollInterval
	}
	return fullPollInterval
}

// unsatisfiable returns a refusal if the request can't be dispatched in time,
// and nil otherwise. The verdict Found means that an endpoint has room but
// lacks the adapter.
func (x *exchange) unsatisfiable(verdict choose.Verdict, w *wait) *Failure {
	now := time.Now()
	reason := reasonOf(verdict, x.req.Model)
	queued := verdict == choose.Full || verdict == choose.Ejected
	lastStart, availableAt := x.latestWait(verdict, queued)
	predictedWait := w.predictedWait(now)
	if failure := x.refuseLate(latest(availableAt, now.Add(predictedWait))); failure != nil {
		return failure
	}
	if availableAt.After(lastStart) {
		return refuse(reason, availableAt.Sub(now))
	}
	if now.After(lastStart) {
		return refuse(reason, x.lateRetryAfter(queued, w, now))
	}
	if verdict == choose.Absent && x.req.Model != "" && !x.started && x.relay.Isolated() {
		return refuse(reason, isolatedRetryAfter)
	}
	// The rate of dispatch says nothing while endpoints recover.
	if !queued || predictedWait == 0 || x.started || x.limited {
		return nil
	}
	if now.Add(predictedWait).After(lastStart) {
		return refuse(reason, min(predictedWait, maxRetryAfter))
	}
	return nil
}

// lateRetryAfter returns the retry delay of a request that has waited for as long as it can: the wait
// that is predicted for it if endpoints have no room, as the next try would take its place.
func (x *exchange) lateRetryAfter(queued bool, w *wait, now time.Time) time.Duration {
	if predicted := w.predictedWait(now); queued && predicted > 0 && !x.limited {
		return min(predicted, maxRetryAfter)
	}
	return loadRetryAfter
}

// latestWait returns the time until which a request waits, and when an endpoint
// can take it, zero if that is unknown.
func (x *exchange) latestWait(verdict choose.Verdict, queued bool) (latest, availableAt time.Time) {
	latest = x.latestDispatch(loadWaitFraction)
	if queued {
		latest = x.latestDispatch(queueWaitFraction)
	}
	if verdict != choose.Absent && x.throttleEnd.IsZero() {
		return latest, time.Time{}
	}
	loadedAt, expected := x.expectedLoad()
	if expected && !loadedAt.After(x.deadline) {
		return x.deadline, loadedAt
	}
	if verdict == choose.Absent {
		return latest, loadedAt
	}
	if x.throttleEnd.After(latest) {
		cooldownRefusals.Inc()
	}
	return latest, x.availableAt()
}

// latestDispatch returns the time until which a request waits that may spend
// waitFraction of its time on waiting. A stream that has begun, also with an earlier
// attempt of its caller, waits until its deadline: it can go on nowhere but at the
// endpoints of its version.
func (x *exchange) latestDispatch(waitFraction float64) time.Time {
	if x.started || x.required.Required {
		return x.deadline
	}
	return x.req.Arrived.Add(time.Duration(waitFraction * float64(x.deadline.Sub(x.req.Arrived))))
}

func reasonOf(verdict choose.Verdict, model string) Reason {
	switch {
	case verdict == choose.Found:
		return ReasonNoAdapter
	case verdict != choose.Absent:
		return ReasonFull
	case model != "":
		return ReasonNoModel
	}
	return ReasonNoEndpoint
}

// choose picks an endpoint that holds the model from a snapshot.
func (x *exchange) choose(snapshot *inventory.Snapshot) (*inventory.Endpoint, choose.Verdict) {
	now := time.Now()
	candidates := x.candidateList(snapshot, now)
	x.markCached(candidates)
	x.recordCandidates(candidates, now)
	candidates = x.leaveRoom(candidates, now)
	chosen, verdict := x.relay.chooser.Choose(x.choiceRequest(now), candidates, newRand())
	if verdict != choose.Found {
		return nil, verdict
	}
	return snapshot.Endpoint(chosen.Name), verdict
}

// choiceRequest describes the request for the choice of an endpoint.
func (x *exchange) choiceRequest(now time.Time) choose.Request {
	return choose.Request{
		Now:          now,
		DataCentre:   x.relay.DataCentre,
		Tokens:       max(1, x.req.MaxTokens),
		PrefixSaving: prefixSaving(x.req.Prompt),
		MaxPause:     x.route.MaxGap,
		Choosers:     x.relay.Budget.Nodes(),

		OtherDataCentreCost: x.otherDataCentreCost(),
		TargetLeft:          x.targetLeft(now),
	}
}

// candidateList returns the endpoints that can serve the request, and records
// which of them are throttled.
func (x *exchange) candidateList(snapshot *inventory.Snapshot, now time.Time) []choose.Candidate {
	candidates, states := x.candidateStates(snapshot, now)
	x.recordThrottles(candidates, states, now)
	return candidates
}

// recordCandidates records the numbers of candidates for the log.
func (x *exchange) recordCandidates(candidates []choose.Candidate, now time.Time) {
	x.candidates = len(candidates)
	x.ejected = 0
	x.leaving = 0
	x.cut = 0
	for _, c := range candidates {
		if c.Unreachable && !c.Leaving {
			x.cut++
		}
		if c.EjectedUntil.After(now) {
			x.ejected++
		}
		if c.Leaving {
			x.leaving++
		}
	}
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (x *exchange) candidate(e *inventory.Endpoint, now time.Time) choose.Candidate {
	view := x.relay.loads.View(e.ID, now)
	limit := e.Slots
	if x.limitsRejections() {
		// The owner knows the room of endpoints that limit their rejections.
		limit = 0
	}
	return choose.Candidate{
		Name:            e.ID,
		DataCentre:      e.DataCentre,
		Unreachable:     x.relay.Forwarding.Cut(e.Key(), now),
		Leaving:         e.Leaving,
		EjectedUntil:    view.EjectedUntil,
		Tried:           slices.Contains(x.tried, e.ID),
		InFlight:        view.InFlight,
		OtherLoad:       view.OtherLoad,
		Limit:           limit,
		FirstToken:      view.FirstToken,
		TokensPerSecond: view.TokensPerSecond,
		Pause:           view.Pause,
	}
}

// minAffinityTokens is the length of a shared prompt prefix from which requests
// that share it are sent to the same engine.
const minAffinityTokens = 1000

// prefillTokensPerSecond is the assumed prefill speed.
const prefillTokensPerSecond = 30000

// sharedParts returns the ids of all parts of a prompt but the last, which is
// the request's own, and their tokens.
func sharedParts(prompt []PromptPart) (string, int) {
	if len(prompt) < 2 {
		return "", 0
	}
	ids := make([]string, 0, len(prompt)-1)
	tokens := 0
	for _, part := range prompt[:len(prompt)-1] {
		ids = append(ids, part.ID)
		tokens += part.Tokens
	}
	return strings.Join(ids, ","), tokens
}

func prefixSaving(prompt []PromptPart) time.Duration {
	_, tokens := sharedParts(prompt)
	return time.Duration(tokens) * time.Second / prefillTokensPerSecond
}

// markCached marks the engine to which requests with these shared prompt parts
// are sent. All nodes mark the same one without communicating.
func (x *exchange) markCached(candidates []choose.Candidate) {
	key, tokens := sharedParts(x.req.Prompt)
	if tokens < minAffinityTokens {
		return
	}
	names := make([]string, 0, len(candidates))
	for _, c := range candidates {
		if !c.Leaving {
			names = append(names, c.Name)
		}
	}
	first := rendezvous.First(x.req.Model+"/"+x.req.Adapter+"/"+key, names)
	for i := range candidates {
		candidates[i].Cached = candidates[i].Name == first
	}
}
