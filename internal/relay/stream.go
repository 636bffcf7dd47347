package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
)

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
