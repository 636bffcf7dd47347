package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/retry"
	"chestnutgauge/internal/sse"
	"chestnutgauge/internal/suspect"
)

// exchange is one request on its way.
type exchange struct {
	relay   *Relay
	req     *Request
	answer  Answer
	route   *catalog.Route
	service *catalog.Service
	version int64
	// limit is the request's last moment.
	limit time.Time

	sendings int
	// unsent counts the tries that got no connection.
	unsent int
	// counted tells that the demand for the model was counted.
	counted bool
	// ran counts the endpoints that may have run the request.
	ran      int
	tried    []string
	endpoint string
	status   int
	begun    bool
	events   sse.Splitter
	// candidates is the number of endpoints at the last choice that serve the
	// request's model; of these, spared ones had failed and leaving ones are
	// being drained.
	candidates, spared, leaving int
}

// splitPoint places a request among the targets of its route.
func splitPoint(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

func (x *exchange) budget() *lockedBudget {
	return &lockedBudget{relay: x.relay, service: x.service.Name}
}

// lockedBudget guards a budget by the relay's mutex.
type lockedBudget struct {
	relay   *Relay
	service string
}

// Request counts a request.
func (b *lockedBudget) Request() {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	b.relay.budget(b.service).Request()
}

// Decide tells whether a repeat follows.
func (b *lockedBudget) Decide(f retry.Failure) retry.Decision {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.budget(b.service).Decide(f)
}

// tryResult is the end of one sending.
type tryResult struct {
	done bool
	run  outcome.Run
	// unsent means that no connection was made, so that the endpoint was not
	// troubled.
	unsent bool
	// cut means that the answer had begun and broke off.
	cut   bool
	cause error
	// reply is an endpoint's failure that is passed on if no repeat follows.
	reply *bufferedReply
}

// run sends the request until it is answered or given up.
func (x *exchange) run(ctx context.Context) *Failure {
	for {
		endpoint, failure := x.place(ctx)
		if failure != nil {
			return x.withRun(failure)
		}
		result := x.send(ctx, endpoint)
		if result.done {
			return nil
		}
		if failure, again := x.after(ctx, endpoint, result); !again {
			return failure
		}
	}
}

// withRun corrects what a refusal says when an earlier sending may have run.
func (x *exchange) withRun(failure *Failure) *Failure {
	if x.ran > 0 && failure.Run == outcome.NotRun {
		failure.Run = outcome.Unknown
		failure.RetryAfter = 0
	}
	return failure
}

// after decides what follows a sending that failed.
func (x *exchange) after(ctx context.Context, endpoint *inventory.Endpoint, result tryResult) (*Failure, bool) {
	if result.run != outcome.NotRun {
		x.ran++
	}
	x.tried = append(x.tried, endpoint.ID)
	if result.unsent {
		x.unsent++
	}
	decision := retry.Decision{}
	if x.mayRepeat(ctx, result) {
		decision = x.budget().Decide(retry.Failure{
			Now:        time.Now(),
			Deadline:   x.limit,
			Tries:      x.tries(),
			Run:        result.run,
			Refused:    result.unsent,
			Idempotent: x.route.Repeatable(),
			Jitter:     rand.Float64(),
		})
	}
	x.relay.Log.Info("sending failed", "request_id", x.req.ID, "endpoint", endpoint.ID, "run", string(result.run),
		"begun", x.begun, "sendings", x.sendings, "repeat", decision.Retry, "error", errorText(result.cause))
	if decision.Retry && pause.For(ctx, decision.Pause) {
		return nil, true
	}
	return x.giveUp(ctx, result), false
}

// tries returns the number of tries for the backoff. Those without a connection
// never are the last.
func (x *exchange) tries() int {
	return min(x.sendings+x.unsent, max(x.sendings, maxSendings-1))
}

// mayRepeat reports whether a repeat is allowed, whatever the budget says.
func (x *exchange) mayRepeat(ctx context.Context, result tryResult) bool {
	if ctx.Err() != nil || x.ran >= x.route.MaxEndpoints {
		return false
	}
	return !x.begun || x.route.Resumable
}

// giveUp returns the final failure, or passes the endpoint's own failure on.
func (x *exchange) giveUp(ctx context.Context, result tryResult) *Failure {
	if result.reply != nil && !x.begun {
		x.pass(result.reply)
		return nil
	}
	run := result.run
	if x.ran > 0 {
		run = outcome.Unknown
	}
	switch {
	case ctx.Err() != nil:
		return endedFailure(ctx, run, result.cause)
	case run == outcome.NotRun:
		return &Failure{Reason: ReasonFull, Run: run, RetryAfter: fullPause, Cause: result.cause}
	}
	return &Failure{Reason: ReasonBroken, Run: run, Cause: result.cause}
}

// fullPause is told to callers whose request the endpoints had no room for.
const fullPause = 300 * time.Millisecond

func (x *exchange) pass(reply *bufferedReply) {
	x.begun = true
	x.status = reply.Status
	x.answer.Begin(&reply.Reply, len(reply.body))
	if err := x.answer.Write(reply.body); err != nil {
		x.relay.Log.Info("caller gone while a failure was passed on", "request_id", x.req.ID, "error", err)
	}
}

// bufferedReply is an answer that was read whole.
type bufferedReply struct {
	Reply
	body []byte
}

// send sends the request to an endpoint and passes the answer on.
func (x *exchange) send(ctx context.Context, endpoint *inventory.Endpoint) tryResult {
	r := x.relay
	x.endpoint = endpoint.ID
	sendingsTotal.Inc()
	begun := time.Now()
	r.loads.Begin(endpoint.ID, begun)
	defer func() { r.loads.End(endpoint.ID, time.Now()) }()
	if x.req.Model != "" {
		r.Demand.Begin(x.service.Name, x.req.Model, x.req.Adapter, endpoint.ID)
		defer r.Demand.End(x.service.Name, x.req.Model, x.req.Adapter, endpoint.ID)
	}
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	try := Try{Deadline: x.limit, Priority: x.route.Priority, LastEvent: x.lastEvent()}
	r.Log.Info("request sent", "request_id", x.req.ID, "endpoint", endpoint.ID, "address", endpoint.Address,
		"inventory_version", r.Inventory.Current().Version, "left_ms", time.Until(x.limit).Milliseconds(), "resume_after", try.LastEvent)
	reply, err := r.Sender.Send(sending, endpoint, x.req, try)
	if err != nil {
		return x.sendFailed(ctx, endpoint, err)
	}
	x.sendings++
	r.Demand.Reached(endpoint.ID, true)
	defer func() { _ = reply.Body.Close() }()
	if reply.HasLoad {
		r.loads.Report(endpoint.ID, reply.Load.Running, reply.Load.Waiting, time.Now())
	}
	switch {
	case reply.NotRun:
		return x.notRun(endpoint, reply)
	case x.route.Kind == catalog.Stream && reply.Status < http.StatusMultipleChoices:
		stop := x.watchGaps(reply, cancel)
		defer stop()
		return x.stream(ctx, endpoint, reply, begun)
	}
	return x.whole(ctx, endpoint, reply, begun)
}

func (x *exchange) lastEvent() string {
	if id := x.events.LastID(); id != "" {
		return id
	}
	return x.req.LastEvent
}

func (x *exchange) sendFailed(ctx context.Context, endpoint *inventory.Endpoint, err error) tryResult {
	var failed *SendError
	run := outcome.Unknown
	if errors.As(err, &failed) && !failed.Sent {
		run = outcome.NotRun
	}
	if run != outcome.NotRun {
		x.sendings++
	}
	if ctx.Err() == nil {
		x.relay.loads.Failed(endpoint.ID, time.Now(), rand.Float64())
		x.relay.Demand.Reached(endpoint.ID, run != outcome.NotRun)
		if run != outcome.NotRun {
			x.relay.brokeOff(endpoint, x.digest())
		}
	}
	return tryResult{run: run, unsent: run == outcome.NotRun, cause: err}
}

func (x *exchange) digest() suspect.Digest {
	return suspect.Of(x.req.Method, x.req.Host, x.req.Target, x.req.Model, string(x.req.Body))
}

// notRun handles an endpoint's word that it did not run the request.
func (x *exchange) notRun(endpoint *inventory.Endpoint, reply *Reply) tryResult {
	if reply.Strange {
		x.relay.adapters.forget(x.req.Model, x.req.Adapter, endpoint.ID)
	} else {
		x.relay.loads.Busy(endpoint.ID, time.Now())
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxWhole))
	return tryResult{run: outcome.NotRun, cause: statusError(reply.Status)}
}

// maxWhole bounds the bytes of an answer that is read whole before it is
// passed on.
const maxWhole = 1 << 20

// whole reads an answer to its end and passes it on.
func (x *exchange) whole(ctx context.Context, endpoint *inventory.Endpoint, reply *Reply, begun time.Time) tryResult {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxWhole))
	if err != nil {
		if ctx.Err() == nil {
			x.relay.loads.Failed(endpoint.ID, time.Now(), rand.Float64())
			x.relay.brokeOff(endpoint, x.digest())
		}
		return tryResult{run: outcome.Ran, cause: err}
	}
	buffered := &bufferedReply{Reply: *reply, body: body}
	if reply.Status >= http.StatusInternalServerError && x.route.Repeatable() {
		return tryResult{run: outcome.Ran, cause: statusError(reply.Status), reply: buffered}
	}
	if x.begun {
		// A resumed stream can't turn into another answer.
		return tryResult{run: outcome.Ran, cause: statusError(reply.Status), cut: true}
	}
	took := time.Since(begun)
	x.relay.loads.Answered(endpoint.ID, took, 1, 0)
	firstSeconds.Update(time.Since(x.req.Arrived).Seconds())
	if reply.Status < http.StatusBadRequest {
		x.relay.suspects.Answered(x.digest())
	}
	x.pass(buffered)
	return tryResult{done: true}
}

type statusError int

// Error implements error.
func (e statusError) Error() string {
	return "endpoint answered " + http.StatusText(int(e))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
