package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// settler tries writes again in the background until the table has taken
// them.
type settler struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup

	mu      sync.Mutex
	pending int
	bytes   int
	idle    chan struct{}
	closed  bool
}

func newSettler(settings Settings) *settler {
	s := &settler{settings: settings, idle: make(chan struct{})}
	close(s.idle)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// add repeats step until it returns nil or an error that another try can't
// mend. It returns false at the bound: the work is then not done.
func (s *settler) add(bytes int, step func(ctx context.Context) error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.pending >= s.settings.MaxUnsettled || s.bytes+bytes > s.settings.MaxUnsettledBytes {
		droppedTotal.Inc()
		return false
	}
	if s.pending == 0 {
		s.idle = make(chan struct{})
	}
	s.pending++
	s.bytes += bytes
	s.work.Go(func() {
		defer s.done(bytes)
		s.repeat(step)
	})
	return true
}

func (s *settler) done(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	s.bytes -= bytes
	if s.pending == 0 {
		close(s.idle)
	}
}

func (s *settler) repeat(step func(ctx context.Context) error) {
	for {
		err := step(s.ctx)
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
			return
		}
		select {
		case <-time.After(s.settings.SettlePause):
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *settler) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

func (s *settler) flush(ctx context.Context) {
	s.mu.Lock()
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

func (s *settler) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.work.Wait()
}

// Release gives up a claim that certainly was not and will not be dispatched.
// If the table is away the release is tried again in the background; until
// then nobody else can claim the key.
func (s *Store) Release(ctx context.Context, held *Claim) error {
	record := held.Record
	record.State = Released
	err := s.update(ctx, held, record)
	if err != nil {
		s.abandon(held.key, held.version, record)
	}
	return err
}

// abandon sees to it that a claim of this process that was not dispatched does
// not stay, although an earlier write of it may still take effect. Its write
// has the same guard as the earlier one, so only one of the two takes effect.
func (s *Store) abandon(key string, guard int64, record Record) {
	record.State = Released
	s.settler.add(0, func(ctx context.Context) error {
		for {
			_, err := s.write(ctx, key, guard, record)
			if !errors.Is(err, ErrConflict) {
				return err
			}
			found, err := s.readAfterConflict(ctx, key, guard)
			if err != nil {
				return err
			}
			if found.Record.RequestID != record.RequestID || found.Record.State != Claimed {
				return nil
			}
			guard = found.Version
		}
	})
}

// Keep keeps the answer of a claim. If the table or the object store is away
// it is tried again in the background, within the bounds of the settings.
func (s *Store) Keep(ctx context.Context, held *Claim, answer Answer) error {
	record, err := s.answered(held.Record, answer)
	if err != nil {
		return err
	}
	step := func(ctx context.Context) error {
		if err := s.putObject(ctx, record, answer.Body); err != nil {
			return err
		}
		return s.update(ctx, held, record)
	}
	err = step(ctx)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		s.settler.add(len(answer.Body), step)
	}
	return err
}

// KeepFound keeps an answer that this process got from the endpoint for a
// claim of another. A holder that keeps it at the same time is no error.
func (s *Store) KeepFound(ctx context.Context, key string, found Found, answer Answer) error {
	held := &Claim{key: key, version: found.Version, Record: found.Record}
	err := s.Keep(ctx, held, answer)
	if errors.Is(err, ErrConflict) {
		return nil
	}
	return err
}

// answered returns the record with the answer in it.
func (s *Store) answered(record Record, answer Answer) (Record, error) {
	if len(answer.Body) > s.settings.MaxAnswerBytes {
		return record, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(answer.Body))
	}
	record.State = Answered
	record.Status, record.ContentType = answer.Status, answer.ContentType
	record.Bytes = len(answer.Body)
	if record.Bytes <= s.settings.InlineBytes {
		record.Body = answer.Body
	} else {
		record.Object = objectKey(record)
	}
	return record, nil
}

// objectKey is where a large answer is kept. An answer may have been put there
// although the row does not say so.
func objectKey(record Record) string {
	return "answer/" + record.RequestID
}

func (s *Store) putObject(ctx context.Context, record Record, body []byte) error {
	if record.Object == "" {
		return nil
	}
	if err := s.objects.Put(ctx, record.Object, body); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}

// Load returns the kept answer of a record. It returns ErrNotFound or
// ErrUnavailable.
func (s *Store) Load(ctx context.Context, record Record) (Answer, error) {
	answer := Answer{Status: record.Status, ContentType: record.ContentType, Body: record.Body}
	if record.Object == "" {
		return answer, nil
	}
	body, err := s.objects.Get(ctx, record.Object)
	if err != nil {
		return Answer{}, readError(err)
	}
	if len(body) != record.Bytes {
		return Answer{}, fmt.Errorf("%w: object %s has %d of %d bytes", ErrNotFound, record.Object, len(body), record.Bytes)
	}
	answer.Body = body
	return answer, nil
}
