package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"chestnutgauge/internal/membudget"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/sse"
)

// streamBuffer is the size of one read of a stream, in bytes.
const streamBuffer = 4 << 10

// forwardStream forwards a stream's events as they arrive, and only complete
// ones, so that a resumable stream can be resumed at another endpoint.
func (x *exchange) forwardStream(ctx context.Context, s *sending) attemptResult {
	buffer := make([]byte, streamBuffer)
	share := x.relay.Memory.Open()
	defer share.Close()
	times := streamTimings{started: s.started, continues: x.started}
	x.events.Reset()
	x.position.beginAttempt()
	for {
		n, err := s.reply.Body.Read(buffer)
		if n > 0 {
			times.record(time.Now())
			times.reads++
			if err := x.forwardEvents(s, &times, buffer[:n], share); err != nil {
				return x.rejected(s, err)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return x.streamEnded(ctx, s, times)
		default:
			return x.streamInterrupted(ctx, s, times.begun, err)
		}
	}
}

// forwardEvents forwards the complete events that end within data, as far as they may follow what the
// caller has. The bytes of an event that is not complete are held by share. The error is that of the rest, of
// the caller's connection, or of an event that there is no memory for.
func (x *exchange) forwardEvents(s *sending, times *streamTimings, data []byte, share *membudget.Share) error {
	if !share.Grow(heldOfEvent(len(x.events.Rest()) + len(data))) {
		return errNoEventMemory
	}
	defer func() { share.Shrink(heldOfEvent(len(x.events.Rest()))) }()
	accepted, moved, rejection := x.position.accept(x.events.Add(data))
	times.moved = times.moved || moved
	s.stalls.received(sse.HasEvent(accepted), x.events.EventBegun())
	if len(accepted) > 0 {
		if err := x.forwardBytes(s, accepted); err != nil {
			return err
		}
		if !times.begun {
			times.begun = true
			x.relay.waiting.remove(s)
		}
	}
	if rejection == nil && x.events.Full() {
		return errEventTooLong
	}
	return rejection
}

// Causes of streams that end since an event of theirs is too long, or longer than there is memory for.
var (
	errEventTooLong  = errors.New("server-sent event exceeds the size limit")
	errNoEventMemory = fmt.Errorf("server-sent event: %w", membudget.ErrFull)
)

const (
	// smallEvent is the number of bytes of a stream's events for which there is always memory.
	smallEvent = 2 * streamBuffer
	// eventCopies is how often an event is held while it grows: its buffer grows by copying.
	eventCopies = 2
)

// heldOfEvent returns how many bytes an event of a length counts as.
func heldOfEvent(length int) int64 {
	if length <= smallEvent {
		return 0
	}
	return eventCopies * int64(length)
}

func (x *exchange) forwardBytes(s *sending, data []byte) error {
	if !x.started {
		x.started = true
		x.position.begun = true
		x.begunAt(s)
		x.status = s.reply.Status
		firstSeconds.Update(time.Since(x.req.Arrived).Seconds())
		x.answer.Begin(s.reply, -1)
	}
	x.progress.sent.record(time.Now())
	err := x.answer.Write(data)
	if err == nil {
		err = x.answer.Flush()
	}
	x.position.undelivered = x.position.undelivered || err != nil
	return err
}

// streamTimings are the times of one attempt's stream. A resumed stream has
// several attempts.
type streamTimings struct {
	byteTimes
	started time.Time
	// reads counts the reads that returned bytes.
	reads int
	// continues means that the caller had a part of the response before.
	continues bool
	// begun means that a part of the stream was forwarded, moved that this held an event.
	begun, moved bool
}

// errStreamCut is the cause of streams whose end shows that they were interrupted.
var errStreamCut = errors.New("stream ended inside or before an event")

// streamEnded handles a stream whose body has ended. One that ended inside an event was
// interrupted, and so was one without an event if only the end of its connection ended
// it. One without an event does not complete a response that had begun before.
func (x *exchange) streamEnded(ctx context.Context, s *sending, times streamTimings) attemptResult {
	switch {
	case len(x.events.Rest()) > 0, !times.moved && s.reply.Unframed:
		return x.streamInterrupted(ctx, s, times.begun, errStreamCut)
	case !times.moved && times.continues:
		return x.rejected(s, errNoEvents)
	}
	return x.streamComplete(s, times)
}

// streamComplete ends the response with a complete stream.
func (x *exchange) streamComplete(s *sending, times streamTimings) attemptResult {
	if err := x.forwardBytes(s, nil); err != nil {
		return attemptResult{run: outcome.Ran, truncated: true, cause: err}
	}
	if !times.first.IsZero() {
		x.relay.loads.Answered(s.endpoint.ID, times.first.Sub(times.started), times.reads, time.Since(times.first))
	}
	if x.slowEngine(times) {
		x.relay.Demand.Late(x.service.Name, x.req.Model)
	}
	x.relay.loads.Paused(s.endpoint.ID, times.longestPause, time.Now())
	x.answeredWhole(s.reply)
	return attemptResult{done: true}
}

// slowEngine reports whether a complete stream was late because of its engine.
func (x *exchange) slowEngine(times streamTimings) bool {
	slowStart := x.route.TargetLatency > 0 && times.first.Sub(times.started) > x.route.TargetLatency
	return slowStart || x.route.MaxGap > 0 && times.longestPause > x.route.MaxGap
}

// streamInterrupted handles a stream whose connection was lost. begun means that a part
// of it had arrived.
func (x *exchange) streamInterrupted(ctx context.Context, s *sending, begun bool, err error) attemptResult {
	if s.withdrawn() {
		return attemptResult{run: outcome.Ran, truncated: x.started, cause: errSuspected}
	}
	result := attemptResult{run: outcome.Ran, truncated: x.started, cause: err}
	if ctx.Err() == nil {
		result.runs = x.interrupted(s, begun)
		if x.route.Resumable {
			resumesTotal.Inc()
		}
	}
	return result
}
