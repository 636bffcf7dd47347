// Package follow reads the complete response to a request from an engine, over
// several connections if necessary: a stream that is interrupted, stalls, skips
// tokens or repeats them is resumed on a new connection at the first missing
// token.
package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"chestnutgauge/internal/engine"
)

// ErrIncomplete means that the rest of a response could not be read. It wraps
// the engine's last error.
var ErrIncomplete = errors.New("follow: answer incomplete")

// Settings are the timeouts and retry limits of a stream.
type Settings struct {
	// ProgressTimeout is the time without a chunk after which the engine's
	// progress is checked over a new connection.
	ProgressTimeout time.Duration
	// MaxFailedChecks is the number of consecutive checks that get no response,
	// or report no record of the request, after which the connection is closed.
	MaxFailedChecks int
	// Attempts is the maximum number of consecutive resumptions without a new
	// token.
	Attempts int
	// InitialBackoff is the delay before the second consecutive resumption. It
	// doubles with each further one, up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// FailFast ends the stream if the engine can't be reached and no token has
	// been returned. Use it for requests that may be sent to another engine.
	FailFast bool
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ProgressTimeout: 2 * time.Second,
		MaxFailedChecks: 3,
		Attempts:        8,
		InitialBackoff:  50 * time.Millisecond,
		MaxBackoff:      time.Second,
	}
}

// maxDoublings limits how often the progress timeout is doubled.
const maxDoublings = 4

// Stream is an engine.Stream that returns each token of the response once and
// in order. It is not safe for concurrent use.
type Stream struct {
	ctx      context.Context
	engine   engine.Engine
	settings Settings
	id       string
	offset   int
	done     bool
	// resumptions is the number of consecutive resumptions without a new token.
	resumptions int

	current engine.Stream
	// cancel ends the current connection.
	cancel        context.CancelFunc
	progressTimer *time.Timer

	mu sync.Mutex
	// streamCtx is the context of the current connection, nil while there is
	// none.
	streamCtx    context.Context
	failedChecks int
	// received is a copy of offset for check, which runs on another goroutine.
	received int
}

var _ engine.Stream = (*Stream)(nil)

// Run starts a request. Until the engine has accepted it, errors are those of
// engine.Engine.Run. The request is sent only once.
func Run(ctx context.Context, e engine.Engine, req engine.Request, settings Settings) (*Stream, error) {
	s := newStream(ctx, e, req.ID, 0, settings)
	// After an unknown outcome, the engine may have received the request.
	return s.start(
		func(ctx context.Context) (engine.Stream, error) { return e.Run(ctx, req) },
		func(err error) bool { return !errors.Is(err, engine.ErrUnknown) },
	)
}

// Resume continues the response to a request that was started before, after
// offset tokens. It returns engine.ErrNoRequest if the engine has no record of
// the request, and ErrIncomplete if the response can't be resumed.
func Resume(ctx context.Context, e engine.Engine, id string, offset int, settings Settings) (*Stream, error) {
	s := newStream(ctx, e, id, offset, settings)
	return s.start(s.resume, func(err error) bool { return errors.Is(err, engine.ErrNoRequest) })
}

// start opens the stream, and reconnects after an error that is not final. If
// that fails, it ends the stream.
func (s *Stream) start(open func(context.Context) (engine.Stream, error), final func(error) bool) (*Stream, error) {
	err := s.open(open)
	if err == nil {
		return s, nil
	}
	if !final(err) {
		err = s.reconnect(err)
	}
	if err != nil {
		s.end()
		return nil, err
	}
	return s, nil
}

func newStream(ctx context.Context, e engine.Engine, id string, offset int, settings Settings) *Stream {
	s := &Stream{ctx: ctx, engine: e, settings: settings, id: id, offset: offset, received: offset}
	s.progressTimer = time.AfterFunc(settings.ProgressTimeout, s.check)
	return s
}

// Offset returns the number of tokens returned or skipped so far.
func (s *Stream) Offset() int {
	return s.offset
}

// Next implements engine.Stream. It returns ErrIncomplete if the rest of the
// response can't be read.
func (s *Stream) Next() (engine.Chunk, error) {
	if s.done {
		return engine.Chunk{}, io.EOF
	}
	for {
		chunk, err := s.current.Next()
		if err == nil && s.isNext(chunk) {
			s.accept(chunk)
			return chunk, nil
		}
		if err == nil && s.stale(chunk) {
			continue
		}
		if err == nil {
			err = fmt.Errorf("%w: chunk at %d, want %d", engine.ErrUnknown, chunk.Offset, s.offset)
		}
		if err := s.reconnect(err); err != nil {
			return engine.Chunk{}, err
		}
	}
}

// isNext reports whether a chunk starts at the current offset.
func (s *Stream) isNext(chunk engine.Chunk) bool {
	return chunk.RequestID == s.id && chunk.Offset == s.offset && (chunk.Tokens > 0 || chunk.Done || chunk.Text == "")
}

// stale reports whether a chunk belongs to another request or holds only tokens
// that were returned before. A chunk that starts before the offset and ends
// after it can't be split, because the text does not show the token boundaries.
func (s *Stream) stale(chunk engine.Chunk) bool {
	if chunk.RequestID != s.id {
		return true
	}
	return chunk.Offset < s.offset && chunk.Offset+chunk.Tokens <= s.offset
}

func (s *Stream) accept(chunk engine.Chunk) {
	s.offset += chunk.Tokens
	s.done = chunk.Done
	if chunk.Tokens > 0 {
		s.resumptions = 0
	}
	s.mu.Lock()
	s.received = s.offset
	s.failedChecks = 0
	s.mu.Unlock()
	if s.done {
		s.progressTimer.Stop()
	} else {
		s.progressTimer.Reset(s.settings.ProgressTimeout)
	}
}

// checkDelay returns the time until the next check of a connection. It doubles
// with each consecutive resumption, so that an engine whose streams start
// slowly eventually gets enough time.
func (s *Stream) checkDelay() time.Duration {
	return s.settings.ProgressTimeout << min(s.resumptions, maxDoublings)
}

// resume opens a stream at the offset.
func (s *Stream) resume(ctx context.Context) (engine.Stream, error) {
	return s.engine.Resume(ctx, s.id, s.offset)
}

// open opens the connection that Next reads, with its own context.
func (s *Stream) open(connect func(context.Context) (engine.Stream, error)) error {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancel, s.streamCtx = cancel, ctx
	s.mu.Unlock()
	stream, err := connect(ctx)
	if err != nil {
		cancel()
		return err
	}
	s.current = stream
	return nil
}

// reconnect resumes the response on a new connection.
func (s *Stream) reconnect(cause error) error {
	for {
		s.disconnect()
		if s.ctx.Err() != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, s.ctx.Err())
		}
		if s.resumptions >= s.settings.Attempts {
			return fmt.Errorf("%w: %w", ErrIncomplete, cause)
		}
		if !s.pause() {
			return fmt.Errorf("%w: %w", ErrIncomplete, s.ctx.Err())
		}
		s.resumptions++
		err := s.open(s.resume)
		if err == nil {
			s.progressTimer.Reset(s.checkDelay())
			return nil
		}
		if errors.Is(err, engine.ErrNoRequest) || s.failsFast(err) {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		cause = err
	}
}

// failsFast reports whether err ends the stream because of Settings.FailFast.
func (s *Stream) failsFast(err error) bool {
	return s.settings.FailFast && s.offset == 0 && errors.Is(err, engine.ErrNotSent)
}

// pause waits before a resumption, except before the first consecutive one. It
// returns false if the context ended.
func (s *Stream) pause() bool {
	if s.resumptions == 0 {
		return true
	}
	backoff := min(s.settings.InitialBackoff<<(s.resumptions-1), s.settings.MaxBackoff)
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *Stream) disconnect() {
	s.mu.Lock()
	cancel := s.cancel
	s.streamCtx = nil
	s.mu.Unlock()
	cancel()
	if s.current != nil {
		_ = s.current.Close()
		s.current = nil
	}
}

// check runs when no chunk has arrived before the progress timer expires. It
// reads the request's status over another connection; if the engine has
// progressed without this stream, it closes the stream's connection, which makes
// Next resume.
func (s *Stream) check() {
	s.mu.Lock()
	streamCtx, cancel, received := s.streamCtx, s.cancel, s.received
	s.mu.Unlock()
	if streamCtx == nil {
		return
	}
	status, err := s.engine.RunStatus(streamCtx, s.id)
	if streamCtx.Err() != nil {
		return
	}
	if s.stalled(status, err, received) {
		cancel()
		return
	}
	s.progressTimer.Reset(s.settings.ProgressTimeout)
}

// stalled reports whether the result of a check shows that the stream is dead.
func (s *Stream) stalled(status engine.RunStatus, err error, received int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failedChecks++
		return s.failedChecks >= s.settings.MaxFailedChecks
	}
	s.failedChecks = 0
	ended := status.Phase == engine.RunDone || status.Phase == engine.RunFailed
	return ended || status.Tokens > received
}

func (s *Stream) end() {
	s.progressTimer.Stop()
	s.disconnect()
}

// Close implements engine.Stream. It does not cancel the request.
func (s *Stream) Close() error {
	s.end()
	return nil
}
