package relay

import (
	"errors"
	"net/http"
	"strconv"

	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/sse"
)

// Causes of attempts that may not add to a response.
var (
	errUnsigned  = errors.New("relay: a success without a signature")
	errNotStream = errors.New("relay: the response is no stream of events")
	errNotNext   = errors.New("relay: an event does not follow the last one")
	errNoEvents  = errors.New("relay: the response brings no event, which does not show that the stream is complete")
)

// streamPosition is how far a caller has a stream. It decides what the body of an attempt may add to
// the response: only events, whose ids increase, and that are next to the last one if another attempt
// brought that.
type streamPosition struct {
	// lastID is the id of the last event, or empty if that has none.
	lastID string
	// last is the greatest id so far, if any was a number. known means that it is that of the last
	// event.
	last            uint64
	numbered, known bool
	// step is the largest difference between the ids of two successive events.
	step uint64
	// begun means that the response to the caller is a stream, events that the caller has an event of
	// it.
	begun, events bool
	// undelivered means that a piece may not have reached the caller.
	undelivered bool
	// continuing means that the current attempt goes on after an event, joining that it has brought
	// none yet. opening means that nothing of its body has been accepted.
	continuing, joining, opening bool
}

// positionAfter returns the position of a caller that has a stream up to an event.
func positionAfter(id string) streamPosition {
	last, err := strconv.ParseUint(id, 10, 64)
	return streamPosition{lastID: id, last: last, numbered: err == nil, known: err == nil}
}

// continuable reports whether another attempt may go on with a stream that has begun.
func (p *streamPosition) continuable() bool {
	return p.begun && !p.undelivered && (p.known || !p.events)
}

// beginAttempt notes that the events of another attempt follow.
func (p *streamPosition) beginAttempt() {
	p.continuing, p.joining, p.opening = p.known, p.known, true
}

// accept returns the part of complete events that the caller may get, and whether that moves the
// position. The error tells why the rest may not follow. The body of an attempt may begin with a byte
// order mark, which is left out if the response to the caller has begun.
func (p *streamPosition) accept(complete []byte) (accepted []byte, moved bool, err error) {
	if !p.opening || len(complete) == 0 {
		return p.acceptEvents(complete)
	}
	p.opening = false
	events := sse.TrimMark(complete)
	accepted, moved, err = p.acceptEvents(events)
	if mark := len(complete) - len(events); !p.begun && len(accepted) > 0 {
		accepted = complete[:mark+len(accepted)]
	}
	return accepted, moved, err
}

// acceptEvents is accept for events that follow others, or a byte order mark.
func (p *streamPosition) acceptEvents(complete []byte) (accepted []byte, moved bool, err error) {
	length := 0
	for text := range sse.Split(complete) {
		event, err := sse.Parse(text)
		if err != nil {
			return complete[:length], moved, err
		}
		if event.HasID || event.HasData {
			if err := p.advance(event.ID); err != nil {
				return complete[:length], moved, err
			}
			moved = true
		}
		length += len(text)
	}
	return complete, moved, nil
}

// advance moves the position to an event with an id, which may be empty.
func (p *streamPosition) advance(id string) error {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return p.advanceUnnumbered(id)
	}
	switch {
	case p.numbered && number <= p.last:
		return errNotNext
	case p.joining && p.events && number-p.last > max(p.step, 1):
		// The stream has not skipped as many ids so far, so an event is missing.
		return errNotNext
	}
	if p.numbered {
		p.step = max(p.step, number-p.last)
	}
	p.lastID, p.last, p.numbered, p.known = id, number, true, true
	p.events, p.joining = true, false
	return nil
}

// advanceUnnumbered moves the position to an event without a number, of which it can't be told whether
// it follows the last one.
func (p *streamPosition) advanceUnnumbered(id string) error {
	if p.continuing {
		return errNotNext
	}
	p.lastID, p.known, p.events = id, false, true
	return nil
}

// lastEvent returns the id of the event after which the next attempt goes on. ok is false if the
// stream has begun and none can.
func (x *exchange) lastEvent() (id string, ok bool) {
	ok = !x.started || x.route.Resumable && x.position.continuable()
	if x.position.lastID != "" {
		return x.position.lastID, ok
	}
	return x.req.LastEvent, ok
}

// mayAdd returns why the response of an attempt may not add to the caller's, whatever its body holds,
// or nil.
func (x *exchange) mayAdd(reply *Reply) error {
	switch {
	case x.started:
		return mayContinue(reply)
	case !x.isStream(reply):
		return nil
	case x.position.known:
		return mayContinue(reply)
	}
	return nil
}

// mayContinue returns why a response may not go on with a stream, or nil.
func mayContinue(reply *Reply) error {
	switch {
	case reply.Status >= http.StatusMultipleChoices:
		return statusError(reply.Status)
	case !reply.Signed:
		return errUnsigned
	case !reply.EventStream:
		return errNotStream
	}
	return nil
}

// rejected handles a response that may not add to the caller's, for a reason other than a lost
// connection. An error response is read to its end, so that its connection can be used again.
func (x *exchange) rejected(s *sending, cause error) attemptResult {
	if !x.position.undelivered {
		streamsRejected.Inc()
	}
	var status statusError
	if errors.As(cause, &status) {
		s.drain()
	}
	result := attemptResult{run: outcome.Ran, truncated: x.started, cause: cause}
	if s.reply.Runs != nil {
		result.runs = s.reply.Runs()
	}
	return result
}
