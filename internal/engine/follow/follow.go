// Package follow reads a request's whole answer from an engine over as many
// connections as it takes: a stream that is cut, goes silent, skips tokens or
// repeats them is resumed on a new connection at the first token that is
// missing.
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

// ErrIncomplete means that the rest of an answer could not be had. It wraps
// the engine's last error.
var ErrIncomplete = errors.New("follow: answer incomplete")

// Settings of a stream.
type Settings struct {
	// ProgressTimeout is the time without a chunk after which the engine is
	// asked, on a new connection, whether it has gone on.
	ProgressTimeout time.Duration
	// MissingChecks is the number of such questions in a row that the engine
	// does not answer, or answers with having no record of the request, before
	// the connection is cut.
	MissingChecks int
	// Attempts is the number of resumptions in a row without a new token.
	Attempts int
	// FirstPause is the wait before the second resumption in a row. It doubles
	// up to MaxPause.
	FirstPause time.Duration
	MaxPause   time.Duration
	// EndEarly ends the stream as soon as the engine can't be reached while no
	// token was yielded: for requests that may be sent to another engine.
	EndEarly bool
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{
		ProgressTimeout: 2 * time.Second,
		MissingChecks:   3,
		Attempts:        8,
		FirstPause:      50 * time.Millisecond,
		MaxPause:        time.Second,
	}
}

// maxDoublings bounds the growth of the progress timeout.
const maxDoublings = 4

// Stream is an engine.Stream that yields each token of the answer once and in
// order. It is not safe for concurrent use.
type Stream struct {
	ctx      context.Context
	engine   engine.Engine
	settings Settings
	id       string
	offset   int
	done     bool
	failures int

	current engine.Stream
	// cancel ends the current connection.
	cancel context.CancelFunc
	watch  *time.Timer

	mu sync.Mutex
	// watched is the context of the current connection, nil between two.
	watched context.Context
	missing int
	seen    int
}

var _ engine.Stream = (*Stream)(nil)

// Run starts a request. Until the engine has accepted it, errors are those of
// engine.Engine.Run; nothing is sent twice.
func Run(ctx context.Context, e engine.Engine, req engine.Request, settings Settings) (*Stream, error) {
	s := newStream(ctx, e, req.ID, 0, settings)
	err := s.open(func(ctx context.Context) (engine.Stream, error) { return e.Run(ctx, req) })
	if err == nil {
		return s, nil
	}
	if !errors.Is(err, engine.ErrUnknown) {
		s.end()
		return nil, err
	}
	// The request may have arrived.
	if err := s.reconnect(err); err != nil {
		s.end()
		return nil, err
	}
	return s, nil
}

// Resume continues a request that was started before, after offset tokens. It
// returns the errors of engine.Engine.Resume.
func Resume(ctx context.Context, e engine.Engine, id string, offset int, settings Settings) (*Stream, error) {
	s := newStream(ctx, e, id, offset, settings)
	if err := s.open(s.resumption); err != nil {
		if errors.Is(err, engine.ErrNoRequest) {
			s.end()
			return nil, err
		}
		if err := s.reconnect(err); err != nil {
			s.end()
			return nil, err
		}
	}
	return s, nil
}

func newStream(ctx context.Context, e engine.Engine, id string, offset int, settings Settings) *Stream {
	s := &Stream{ctx: ctx, engine: e, settings: settings, id: id, offset: offset, seen: offset}
	s.watch = time.AfterFunc(settings.ProgressTimeout, s.check)
	return s
}

// Offset returns the number of tokens yielded or skipped so far.
func (s *Stream) Offset() int {
	return s.offset
}

// Next implements engine.Stream. It returns ErrIncomplete when the answer
// can't be had.
func (s *Stream) Next() (engine.Chunk, error) {
	if s.done {
		return engine.Chunk{}, io.EOF
	}
	for {
		chunk, err := s.current.Next()
		if err == nil && s.fits(chunk) {
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

// fits reports whether a chunk is the next one.
func (s *Stream) fits(chunk engine.Chunk) bool {
	return chunk.RequestID == s.id && chunk.Offset == s.offset && (chunk.Tokens > 0 || chunk.Done || chunk.Text == "")
}

// stale reports whether a chunk belongs to another request or holds only what
// was yielded before. One that begins before the offset and ends after it can't
// be split, since its text does not show where a token ends.
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
		s.failures = 0
	}
	s.mu.Lock()
	s.seen = s.offset
	s.missing = 0
	s.mu.Unlock()
	if s.done {
		s.watch.Stop()
	} else {
		s.watch.Reset(s.settings.ProgressTimeout)
	}
}

// patience is the time until the next check of a connection. It doubles with
// each resumption in a row, so that an engine whose streams start slowly is
// heard in the end.
func (s *Stream) patience() time.Duration {
	return s.settings.ProgressTimeout << min(s.failures, maxDoublings)
}

// resumption opens a stream at the offset.
func (s *Stream) resumption(ctx context.Context) (engine.Stream, error) {
	return s.engine.Resume(ctx, s.id, s.offset)
}

// open makes the connection that Next reads, with a context of its own.
func (s *Stream) open(connect func(context.Context) (engine.Stream, error)) error {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancel, s.watched = cancel, ctx
	s.mu.Unlock()
	stream, err := connect(ctx)
	if err != nil {
		cancel()
		return err
	}
	s.current = stream
	return nil
}

// reconnect resumes the answer on a new connection.
func (s *Stream) reconnect(cause error) error {
	for {
		s.disconnect()
		if s.ctx.Err() != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, s.ctx.Err())
		}
		if s.failures >= s.settings.Attempts {
			return fmt.Errorf("%w: %w", ErrIncomplete, cause)
		}
		if !s.pause() {
			return fmt.Errorf("%w: %w", ErrIncomplete, s.ctx.Err())
		}
		s.failures++
		err := s.open(s.resumption)
		if err == nil {
			s.watch.Reset(s.patience())
			return nil
		}
		if errors.Is(err, engine.ErrNoRequest) || s.endsEarly(err) {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		cause = err
	}
}

func (s *Stream) endsEarly(err error) bool {
	return s.settings.EndEarly && s.offset == 0 && errors.Is(err, engine.ErrNotSent)
}

// pause waits before a resumption; the first in a row goes at once.
func (s *Stream) pause() bool {
	if s.failures == 0 {
		return true
	}
	d := min(s.settings.FirstPause<<(s.failures-1), s.settings.MaxPause)
	timer := time.NewTimer(d)
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
	s.watched = nil
	s.mu.Unlock()
	cancel()
	if s.current != nil {
		_ = s.current.Close()
		s.current = nil
	}
}

// check runs when no chunk has come for a while. It asks the engine on another
// connection; if the engine has gone on without this stream, the connection is
// cut, which makes the reader resume.
func (s *Stream) check() {
	s.mu.Lock()
	watched, cancel, seen := s.watched, s.cancel, s.seen
	s.mu.Unlock()
	if watched == nil {
		return
	}
	status, err := s.engine.RunStatus(watched, s.id)
	if watched.Err() != nil {
		return
	}
	if s.behind(status, err, seen) {
		cancel()
		return
	}
	s.watch.Reset(s.settings.ProgressTimeout)
}

// behind reports whether the engine's answer shows that the stream is dead.
func (s *Stream) behind(status engine.RunStatus, err error, seen int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.missing++
		return s.missing >= s.settings.MissingChecks
	}
	s.missing = 0
	ended := status.Phase == engine.RunDone || status.Phase == engine.RunFailed
	return ended || status.Tokens > seen
}

func (s *Stream) end() {
	s.watch.Stop()
	s.disconnect()
}

// Close implements engine.Stream. It does not cancel the request.
func (s *Stream) Close() error {
	s.end()
	return nil
}
