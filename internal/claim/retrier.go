package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// retrier retries writes in the background until they succeed or fail
// permanently.
type retrier struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup

	mu sync.Mutex
	// pending and bytes are the number and the total size of the writes.
	pending int
	bytes   int
	// idle is closed while no writes are pending.
	idle   chan struct{}
	closed bool
}

func newRetrier(settings Settings) *retrier {
	r := &retrier{settings: settings, idle: make(chan struct{})}
	close(r.idle)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// add retries step in the background until it returns nil or a permanent error.
// It returns false, and drops the step, if the limit is reached or the retrier
// is closed.
func (r *retrier) add(bytes int, step func(ctx context.Context) error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.pending >= r.settings.MaxUnsettled || r.bytes+bytes > r.settings.MaxUnsettledBytes {
		droppedTotal.Inc()
		return false
	}
	if r.pending == 0 {
		r.idle = make(chan struct{})
	}
	r.pending++
	r.bytes += bytes
	r.work.Go(func() {
		defer r.done(bytes)
		r.retry(step)
	})
	return true
}

// done records the end of a write.
func (r *retrier) done(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	r.bytes -= bytes
	if r.pending == 0 {
		close(r.idle)
	}
}

// retry retries step while it fails with ErrUnavailable or ErrUnknown.
func (r *retrier) retry(step func(ctx context.Context) error) {
	for {
		err := step(r.ctx)
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
			return
		}
		select {
		case <-time.After(r.settings.RetryInterval):
		case <-r.ctx.Done():
			return
		}
	}
}

// count returns the number of pending writes.
func (r *retrier) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending
}

// flush waits until no writes are pending or ctx is done.
func (r *retrier) flush(ctx context.Context) {
	r.mu.Lock()
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// close stops all retries and waits until they have stopped.
func (r *retrier) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.work.Wait()
}

// Release releases a claim whose request was not and will not be dispatched. If
// the write fails, it is retried in the background; until it succeeds, the key
// cannot be claimed.
func (s *Store) Release(ctx context.Context, held *Claim) error {
	record := held.Record
	record.State = Released
	err := s.update(ctx, held, record)
	if err != nil {
		s.releaseInBackground(held.key, held.version, record)
	}
	return err
}

// releaseInBackground releases, in the background, a claim of this process that
// was not dispatched. An earlier write of the claim may still take effect. The
// release has the same guard, so only one of the two takes effect; if it is the
// earlier write, the release is retried with the new version.
func (s *Store) releaseInBackground(key string, guard int64, record Record) {
	record.State = Released
	s.retrier.add(0, func(ctx context.Context) error {
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

// SaveAnswer stores the response of a claim. If the table or the object store
// is unavailable, it returns the error and retries the write in the background,
// within the limits of the settings.
func (s *Store) SaveAnswer(ctx context.Context, held *Claim, answer Answer) error {
	record, err := s.withAnswer(held.Record, answer)
	if err != nil {
		return err
	}
	step := func(ctx context.Context) error {
		if err := s.putObject(ctx, record, answer.Body); err != nil {
			return err
		}
		return s.updateOrRestore(ctx, held, record)
	}
	err = step(ctx)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		s.retrier.add(len(answer.Body), step)
	}
	return err
}

// updateOrRestore writes a new record of a held claim. If the table has lost
// writes of the claim, so that its row is missing or holds an earlier record of
// it, the record is written over that.
func (s *Store) updateOrRestore(ctx context.Context, held *Claim, record Record) error {
	err := s.update(ctx, held, record)
	if !errors.Is(err, ErrConflict) {
		return err
	}
	found, readErr := s.readAfterConflict(ctx, held.key, held.version)
	if readErr != nil {
		return readErr
	}
	earlier := found.Record.State == Claimed && found.Record.RequestID == record.RequestID
	if found.Version != 0 && !earlier {
		return err
	}
	held.version = found.Version
	restoredTotal.Inc()
	return s.update(ctx, held, record)
}

// SaveFoundAnswer stores a response that this process fetched from the endpoint
// for a claim of another process. It is no error if the holder stores the
// response concurrently.
func (s *Store) SaveFoundAnswer(ctx context.Context, key string, found VersionedRecord, answer Answer) error {
	held := &Claim{key: key, version: found.Version, Record: found.Record}
	err := s.SaveAnswer(ctx, held, answer)
	if errors.Is(err, ErrConflict) {
		return nil
	}
	return err
}

// withAnswer returns the record with the response added. It returns ErrTooLarge
// if the response exceeds the maximum size.
func (s *Store) withAnswer(record Record, answer Answer) (Record, error) {
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

// objectKey returns the key of a large response in the object store. An object
// may exist there even if the row does not refer to it.
func objectKey(record Record) string {
	return "answer/" + record.RequestID
}

// putObject stores a large response in the object store. It does nothing for a
// response that fits in the row.
func (s *Store) putObject(ctx context.Context, record Record, body []byte) error {
	if record.Object == "" {
		return nil
	}
	if err := s.objects.Put(ctx, record.Object, body); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}

// LoadAnswer returns the stored response of a record. It returns ErrNotFound or
// ErrUnavailable.
func (s *Store) LoadAnswer(ctx context.Context, record Record) (Answer, error) {
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
