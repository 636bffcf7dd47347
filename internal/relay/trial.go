package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/suspect"
)

// Timing of trials.
const (
	// trialRecheck is the shortest time until a suspect asks again for an endpoint on
	// which another one runs. It is spread over as much again.
	trialRecheck = 100 * time.Millisecond
	// expectedTrial is how long a trial is expected to last.
	expectedTrial = 500 * time.Millisecond
	// trialEndDelay is the time from the end of an attempt to the end of its trial. By
	// then the owner knows whether the endpoint has crashed.
	trialEndDelay = 200 * time.Millisecond
)

// end ends a trial after trialEndDelay. A nil trial has no effect.
func (t *Trial) end(trials Trials) {
	if t == nil {
		return
	}
	time.AfterFunc(trialEndDelay, func() { trials.End(*t) })
}

// mayRunAlone reports whether the request is no suspect, or may run as the only one on
// an endpoint. If not, the endpoint is throttled for the request until it asks again.
// Without an owner to ask, one that was on a single crashed endpoint may run.
func (x *exchange) mayRunAlone(ctx context.Context, endpoint *inventory.Endpoint) bool {
	x.trial = nil
	verdict := x.relay.Suspects.Check(x.identity, time.Now())
	if verdict.State == suspect.Unsuspected {
		return true
	}
	key := endpoint.Key()
	trial := Trial{Name: strconv.FormatUint(rand.Uint64(), 36), Endpoint: key, Digests: verdict.Digests}
	answer, err := x.relay.Trials.Begin(ctx, trial, time.Until(x.deadline)+trialEndDelay)
	x.relay.Log.Info("trial of a suspect", "request_id", x.req.ID, "endpoint", endpoint.ID, "digest", verdict.Digests[0].String(),
		"repeated", verdict.Repeated, "answer", string(answer), "error", errorText(err))
	switch {
	case answer == suspect.TrialGranted:
		trialsGranted.Inc()
		x.trial = &trial
		return true
	case err != nil && !verdict.Repeated && verdict.State == suspect.Suspected:
		return true
	}
	trialsDelayed.Inc()
	x.awaitTrial(key, answer)
	return false
}

// awaitTrial records when the request asks for a trial again: elsewhere at once if only
// the endpoint is busy.
func (x *exchange) awaitTrial(endpoint inventory.Key, answer suspect.TrialAnswer) {
	now := time.Now()
	permit := expectedPermit{
		askAt:       now.Add(trialRecheck + time.Duration(rand.Int64N(int64(trialRecheck)))),
		availableAt: now.Add(expectedTrial),
	}
	if answer == suspect.TrialEndpointBusy {
		x.expectPermit(endpoint, permit)
		return
	}
	x.trialPermit = permit
}
