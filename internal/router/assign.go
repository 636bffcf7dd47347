package router

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chestnutgauge/internal/admit"
	"chestnutgauge/internal/choose"
)

// assignLoop gives places to waiting requests until none waits.
func (s *scheduler) assignLoop() {
	tick := time.NewTicker(assignInterval)
	defer tick.Stop()
	for {
		changed := s.router.Directory.Changed()
		s.mu.Lock()
		s.serve(admit.Interactive)
		s.serve(admit.Batch)
		if s.idle() {
			s.assigning = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-s.kick:
		case <-tick.C:
		}
	}
}

func (s *scheduler) idle() bool {
	for _, q := range s.queues {
		if !q.queue.Empty() {
			return false
		}
	}
	return true
}

// serve gives places to the requests of a class, the earliest deadline over
// all queues first. The caller holds mu.
func (s *scheduler) serve(class admit.Class) {
	var waiting []*modelQueue
	for _, q := range s.queues {
		if q.queue.Len(class) > 0 {
			waiting = append(waiting, q)
		}
	}
	for len(waiting) > 0 {
		slices.SortFunc(waiting, func(a, b *modelQueue) int {
			first := a.queue.Head(class).Deadline.Compare(b.queue.Head(class).Deadline)
			return cmp.Or(first, cmp.Compare(a.name, b.name))
		})
		// A queue whose first request finds no place is left until the next
		// look.
		waiting = slices.DeleteFunc(waiting, func(q *modelQueue) bool {
			return !s.serveHead(q, class) || q.queue.Len(class) == 0
		})
	}
}

// serveHead gives the first request of a queue a place if there is one, or
// refuses it if it would not end in time. It returns false if it goes on
// waiting.
func (s *scheduler) serveHead(q *modelQueue, class admit.Class) bool {
	head := q.queue.Head(class)
	w := q.waiters[head]
	// More may be known than when the request came.
	work, _ := q.work.Expect(w.need.maxTokens)
	if time.Now().Add(work).After(head.Deadline) {
		q.queue.Remove(head)
		s.finish(q, head, result{err: refused(q.queue.TooLate())})
		return true
	}
	got, verdict := s.place(q, w.need)
	switch verdict {
	case choose.Found:
		q.queue.Take(head)
		s.finish(q, head, result{slot: got})
		return true
	case choose.Absent:
		s.load(q, w)
	case choose.Full:
		s.grow(q, w)
	}
	return false
}

// load has the model of a queue brought up at an endpoint. One call for each
// queue is under way at a time; all that wait share its result. The caller
// holds mu.
func (s *scheduler) load(q *modelQueue, w *waiter) {
	if w.need.bringUp == nil {
		q.queue.Remove(w.item)
		s.finish(q, w.item, result{err: noEndpoint()})
		return
	}
	if q.loading || time.Since(q.loadedAt) < loadPause {
		return
	}
	q.loading = true
	tried := slices.Clone(w.need.tried)
	deadline := w.need.call.deadline
	go func() {
		// The call goes on when the caller goes away: others wait for it.
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		name, err := w.need.bringUp(ctx, tried)
		s.loaded(q, name, err, ctx.Err() != nil)
	}()
}

// loaded takes over the end of a call for a load. An error refuses all that
// wait, unless only the deadline of the request that made the call has passed.
func (s *scheduler) loaded(q *modelQueue, name string, err error, deadline bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.loading = false
	q.loadedAt = time.Now()
	switch {
	case err == nil:
		for _, w := range q.waiters {
			w.need.tried = slices.DeleteFunc(w.need.tried, func(tried string) bool { return tried == name })
		}
	case !deadline:
		for item := range q.waiters {
			q.queue.Remove(item)
			s.finish(q, item, result{err: err})
		}
	}
	s.wake()
}

// grow asks for a replica beside those that are full, once a request with a
// person behind it has waited for some time. Whether there is one is up to the
// operators' limit; those that wait go on waiting. The caller holds mu.
func (s *scheduler) grow(q *modelQueue, w *waiter) {
	now := time.Now()
	waited := now.Sub(w.since) >= growAfter
	if !waited || w.need.class != admit.Interactive || w.need.bringUp == nil || q.loading || now.Sub(q.grownAt) < growPause {
		return
	}
	q.loading = true
	q.grownAt = now
	growsTotal.Inc()
	full := slices.Clone(w.need.tried)
	for _, p := range w.need.candidates(now, w.need.tried) {
		full = append(full, p.Name)
	}
	deadline := w.need.call.deadline
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		_, err := w.need.bringUp(ctx, full)
		s.mu.Lock()
		defer s.mu.Unlock()
		q.loading = false
		if err != nil {
			s.router.Log.Debug("no further replica", "model", q.name, "error", err)
		}
		s.wake()
	}()
}
