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

// Waits for an endpoint.
const (
	// holdPoll is the time between two looks while endpoints are full or
	// spared after failures.
	holdPoll = 10 * time.Millisecond
	// modelPoll is the longest time between two looks while no engine holds
	// the model.
	modelPoll = 50 * time.Millisecond
	// loadRetryAfter is told to callers while no load is under way.
	loadRetryAfter = time.Second
	// maxRetryAfter bounds what is told to a caller who would have had to wait
	// in a long line.
	maxRetryAfter = 5 * time.Second
)

// Parts of its time for which a request waits for an endpoint.
const (
	// loadPatience is for a model that no endpoint serves, while it is not
	// known when one will.
	loadPatience = 0.5
	// linePatience is for endpoints that have no room.
	linePatience = 0.3
)

// place returns an endpoint that can run the request now, waiting for one if
// that can help. Its failures say that this sending did not happen.
func (x *exchange) place(ctx context.Context) (*inventory.Endpoint, *Failure) {
	if _, condemned := x.relay.suspects.Condemned(x.digest(), time.Now()); condemned {
		return nil, refuse(ReasonCrashes, 0)
	}
	if x.req.Model != "" && !x.counted {
		x.counted = true
		x.relay.Demand.Arrived(x.service.Name, x.req.Model, x.req.PromptTokens)
	}
	w := x.newWait()
	endpoint, failure := x.await(ctx, w)
	w.end(endpoint != nil)
	return endpoint, failure
}

// await looks for an endpoint until there is one or no hope is left.
func (x *exchange) await(ctx context.Context, w *wait) (*inventory.Endpoint, *Failure) {
	for {
		snapshot, changed := x.relay.Inventory.Watch()
		endpoint, verdict := x.choose(snapshot)
		if verdict == choose.Found && !w.turn() {
			verdict = choose.Full
		}
		if verdict == choose.Found {
			if x.req.Adapter == "" {
				return endpoint, nil
			}
			with, failure := x.withAdapter(ctx, snapshot)
			if with != nil || failure != nil {
				return with, failure
			}
		}
		if verdict != choose.Found {
			w.begin(verdict)
		}
		if failure := x.hopeless(verdict, w); failure != nil {
			return nil, failure
		}
		if !pause.Either(ctx, changed, w.next(), pollOf(verdict)) {
			return nil, endedFailure(ctx, outcome.NotRun, nil)
		}
	}
}

func pollOf(verdict choose.Verdict) time.Duration {
	if verdict == choose.Absent {
		return modelPoll
	}
	return holdPoll
}

// hopeless refuses a request that can't be placed in time. An endpoint that was
// found lacks the adapter.
func (x *exchange) hopeless(verdict choose.Verdict, w *wait) *Failure {
	now := time.Now()
	reason := reasonOf(verdict, x.req.Model)
	inLine := verdict == choose.Full || verdict == choose.Held
	last := x.lastMoment(loadPatience)
	if inLine {
		last = x.lastMoment(linePatience)
	}
	if verdict == choose.Absent && x.req.Model != "" {
		if at, ok := x.relay.Loads.Expected(x.service.Name, x.req.Model); ok {
			if at.After(x.limit) {
				return refuse(reason, at.Sub(now))
			}
			last = x.limit
		}
	}
	if now.After(last) {
		return refuse(reason, loadRetryAfter)
	}
	foretold := w.foretold(now)
	if !inLine || foretold == 0 || x.begun {
		return nil
	}
	if now.Add(foretold).After(last) {
		return refuse(reason, min(foretold, maxRetryAfter))
	}
	return nil
}

// lastMoment is until when a request waits that waits for a part of its time. A
// stream that has begun waits as long as it may.
func (x *exchange) lastMoment(patience float64) time.Time {
	if x.begun {
		return x.limit
	}
	return x.req.Arrived.Add(time.Duration(patience * float64(x.limit.Sub(x.req.Arrived))))
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
	endpoints := snapshot.Service(x.service.Name)
	candidates := make([]choose.Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		if x.req.Model != "" && !e.Holds(x.req.Model) {
			continue
		}
		candidates = append(candidates, x.candidate(e, now))
	}
	x.markCached(candidates)
	x.noteCandidates(candidates, now)
	request := choose.Request{
		Now:          now,
		DataCentre:   x.relay.DataCentre,
		Tokens:       max(1, x.req.MaxTokens),
		PrefixSaving: prefixSaving(x.req.Prompt),
		Choosers:     x.relay.Budget.Nodes(),
	}
	chosen, verdict := x.relay.chooser.Choose(request, candidates, newRand())
	if verdict != choose.Found {
		return nil, verdict
	}
	return snapshot.Endpoint(chosen.Name), verdict
}

// noteCandidates keeps what the choice was made from, for the log.
func (x *exchange) noteCandidates(candidates []choose.Candidate, now time.Time) {
	x.candidates = len(candidates)
	x.spared = 0
	x.leaving = 0
	for _, c := range candidates {
		if c.HeldUntil.After(now) {
			x.spared++
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
	return choose.Candidate{
		Name:            e.ID,
		DataCentre:      e.DataCentre,
		Leaving:         e.Leaving,
		HeldUntil:       view.HeldUntil,
		Tried:           slices.Contains(x.tried, e.ID),
		InFlight:        view.InFlight,
		Others:          view.Others,
		Limit:           limit,
		FirstToken:      view.FirstToken,
		TokensPerSecond: view.TokensPerSecond,
	}
}

// minAffinityTokens is the length of shared prompt parts from which requests
// that share them go to the same engine.
const minAffinityTokens = 1000

// prefillTokensPerSecond is the assumed speed of reading a prompt.
const prefillTokensPerSecond = 30000

// sharedParts returns the parts of a prompt before its own, and their tokens.
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

// markCached marks the engine that requests with these shared prompt parts go
// to. All nodes mark the same one without telling each other.
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

// withAdapter returns an engine that holds the request's adapter, asking for
// it to be brought up if none is known. Both results are nil if the engines
// should be looked at again.
func (x *exchange) withAdapter(ctx context.Context, snapshot *inventory.Snapshot) (*inventory.Endpoint, *Failure) {
	if known := x.relay.adapters.engine(x.req.Model, x.req.Adapter); known != "" {
		e := snapshot.Endpoint(known)
		if e != nil && e.Holds(x.req.Model) && !e.Leaving && !slices.Contains(x.tried, known) {
			return e, nil
		}
		x.relay.adapters.forget(x.req.Model, x.req.Adapter, known)
	}
	id, ready, err := x.relay.Adapters.EnsureAdapter(ctx, x.service.Name, x.req.Model, x.req.Adapter)
	if err != nil {
		x.relay.Log.Info("adapter not brought up", "request_id", x.req.ID, "model", x.req.Model, "adapter", x.req.Adapter, "error", err)
		if !pause.For(ctx, adapterPause) || time.Now().After(x.lastMoment(loadPatience)) {
			return nil, refuse(ReasonNoAdapter, loadRetryAfter)
		}
		return nil, nil
	}
	if !pause.For(ctx, time.Until(ready)) {
		return nil, endedFailure(ctx, outcome.NotRun, nil)
	}
	x.relay.adapters.put(x.req.Model, x.req.Adapter, id)
	e := snapshot.Endpoint(id)
	if e == nil {
		e = x.relay.Inventory.Current().Endpoint(id)
	}
	return e, nil
}

// adapterPause is the time between two tries to bring an adapter up.
const adapterPause = 100 * time.Millisecond
