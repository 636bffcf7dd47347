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
	if decision.Retry && sleep(ctx, decision.Pause) {
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

// streamBuffer is the size of one read of a stream, in bytes.
const streamBuffer = 4 << 10

// stream passes events on as they come. A stream that may go on at another
// endpoint is passed on in whole events.
func (x *exchange) stream(ctx context.Context, endpoint *inventory.Endpoint, reply *Reply, begun time.Time) tryResult {
	buffer := make([]byte, streamBuffer)
	var first time.Time
	events := 0
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			if first.IsZero() {
				first = time.Now()
			}
			events++
			if err := x.passEvents(reply, buffer[:n]); err != nil {
				return tryResult{run: outcome.Ran, cut: true, cause: err}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return x.streamEnded(endpoint, reply, streamTimes{begun: begun, first: first, events: events})
		default:
			return x.streamBroken(ctx, endpoint, err)
		}
	}
}

// Bounds of a pause between the events of a stream that can go on elsewhere.
const (
	minGapLimit = 1200 * time.Millisecond
	// gapLimitFactor is the bound as a multiple of the longest pause of a stream
	// that is on time.
	gapLimitFactor = 2.5
)

// watchGaps ends a sending whose stream has begun and pauses for so long that
// the caller would leave, if it can go on at another endpoint.
func (x *exchange) watchGaps(reply *Reply, end context.CancelFunc) (stop func()) {
	if !x.route.Resumable {
		return func() {}
	}
	limit := max(minGapLimit, time.Duration(gapLimitFactor*float64(x.route.MaxGap)))
	watched := &watchedBody{ReadCloser: reply.Body, limit: limit, end: end}
	reply.Body = watched
	return watched.stop
}

// watchedBody calls end when bytes have come and then none for a time.
type watchedBody struct {
	io.ReadCloser
	limit time.Duration
	end   func()
	timer *time.Timer
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case n == 0:
	case b.timer == nil:
		b.timer = time.AfterFunc(b.limit, b.end)
	default:
		b.timer.Reset(b.limit)
	}
	return n, err
}

func (b *watchedBody) stop() {
	if b.timer != nil {
		b.timer.Stop()
	}
}

// passEvents passes the whole events on that end with these bytes.
func (x *exchange) passEvents(reply *Reply, data []byte) error {
	whole := x.events.Add(data)
	if len(whole) == 0 {
		if x.events.Full() {
			return errLongEvent
		}
		return nil
	}
	return x.passStream(reply, whole)
}

var errLongEvent = errors.New("event exceeds its bound")

func (x *exchange) passStream(reply *Reply, data []byte) error {
	if !x.begun {
		x.begun = true
		x.status = reply.Status
		firstSeconds.Update(time.Since(x.req.Arrived).Seconds())
		x.answer.Begin(reply, -1)
	}
	if err := x.answer.Write(data); err != nil {
		return err
	}
	return x.answer.Flush()
}

type streamTimes struct {
	begun  time.Time
	first  time.Time
	events int
}

// streamEnded passes the last bytes of a whole stream on.
func (x *exchange) streamEnded(endpoint *inventory.Endpoint, reply *Reply, times streamTimes) tryResult {
	if err := x.passStream(reply, x.events.Rest()); err != nil {
		return tryResult{run: outcome.Ran, cut: true, cause: err}
	}
	if !times.first.IsZero() {
		x.relay.loads.Answered(endpoint.ID, times.first.Sub(times.begun), times.events, time.Since(times.first))
	}
	x.relay.suspects.Answered(x.digest())
	return tryResult{done: true}
}

// streamBroken handles a stream that broke off.
func (x *exchange) streamBroken(ctx context.Context, endpoint *inventory.Endpoint, err error) tryResult {
	x.events.Reset()
	if ctx.Err() == nil {
		x.relay.loads.Failed(endpoint.ID, time.Now(), rand.Float64())
		x.relay.brokeOff(endpoint, x.digest())
		if x.route.Resumable {
			resumesTotal.Inc()
		}
	}
	return tryResult{run: outcome.Ran, cut: x.begun, cause: err}
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

// sleep waits and reports whether the context is still live.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
