package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"chestnutgauge/internal/membudget"
	"chestnutgauge/internal/outcome"
)

// maxBufferedBody is the number of bytes of a response that are buffered before
// it is forwarded. The rest of a longer response is forwarded as it arrives.
const maxBufferedBody = 1 << 20

// forwardBuffered reads a response to its end, or until the buffer is full, and
// forwards it.
func (x *exchange) forwardBuffered(ctx context.Context, s *sending) attemptResult {
	reply := s.reply
	share := x.relay.Memory.Open()
	defer share.Close()
	body, whole, err := readBuffered(reply.Body, share)
	if err == nil && len(body) == 0 && reply.Unframed {
		err = errHeadOnly
	}
	if err != nil {
		return x.bodyLost(ctx, s, len(body) > 0, err)
	}
	buffered := &bufferedReply{Reply: *reply, body: body}
	if reply.Status >= http.StatusInternalServerError && x.route.Repeatable() && !s.way.triesOthers() {
		result := attemptResult{run: outcome.Ran, cause: statusError(reply.Status)}
		if whole {
			result.reply = buffered
		}
		return result
	}
	took := time.Since(s.started)
	x.relay.loads.Answered(s.endpoint.ID, took, 1, 0)
	firstSeconds.Update(time.Since(x.req.Arrived).Seconds())
	if !whole {
		return x.forwardRest(ctx, s, buffered)
	}
	x.answeredWhole(reply)
	x.forward(buffered)
	return attemptResult{done: true}
}

// errHeadOnly is the cause of responses without a body that only the end of their connection ends.
// They can't be told from ones that were cut short after, or inside, their header.
var errHeadOnly = errors.New("response ended after its header")

// readBuffered reads a body to its end, until the buffer is full, or until there is no memory
// for more. The rest is then forwarded as fast as the caller takes it. whole means that the
// body was read to its end.
func readBuffered(from io.Reader, share *membudget.Share) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(share.Reader(io.LimitReader(from, maxBufferedBody)))
	if errors.Is(err, membudget.ErrFull) {
		return body, false, nil
	}
	return body, len(body) < maxBufferedBody, err
}

// bodyLost handles a response whose connection was lost before its end. begun means
// that a part of its body had arrived.
func (x *exchange) bodyLost(ctx context.Context, s *sending, begun bool, err error) attemptResult {
	result := attemptResult{run: outcome.Ran, truncated: x.started, cause: err}
	if ctx.Err() == nil {
		result.runs = x.interrupted(s, begun)
	}
	return result
}

// forwardRest forwards a response that fills the buffer, and then what follows
// as it arrives.
func (x *exchange) forwardRest(ctx context.Context, s *sending, buffered *bufferedReply) attemptResult {
	x.started = true
	x.status = buffered.Status
	x.answer.Begin(&buffered.Reply, int(buffered.Length))
	x.progress.sent.record(time.Now())
	if err := x.answer.Write(buffered.body); err != nil {
		return attemptResult{run: outcome.Ran, truncated: true, cause: err}
	}
	chunk := make([]byte, streamBuffer)
	for {
		n, err := buffered.Body.Read(chunk)
		if n > 0 {
			if err := x.answer.Write(chunk[:n]); err != nil {
				return attemptResult{run: outcome.Ran, truncated: true, cause: err}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			x.answeredWhole(s.reply)
			return attemptResult{done: true}
		case err != nil:
			return x.bodyLost(ctx, s, true, err)
		}
	}
}

// forward forwards a response that was read completely.
func (x *exchange) forward(reply *bufferedReply) {
	x.started = true
	x.status = reply.Status
	x.answer.Begin(&reply.Reply, len(reply.body))
	x.progress.sent.record(time.Now())
	if err := x.answer.Write(reply.body); err != nil {
		x.relay.Log.Info("caller disconnected while an error response was forwarded", "request_id", x.req.ID, "error", err)
	}
}

// bufferedReply is a response that was read completely.
type bufferedReply struct {
	Reply
	body []byte
}
