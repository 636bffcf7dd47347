package router

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chestnutgauge/internal/admit"
	"chestnutgauge/internal/choose"
)

// assignLoop assigns slots to waiting requests until none waits.
func (s *scheduler) assignLoop() {
	tick := time.NewTicker(assignInterval)
	defer tick.Stop()
	for {
		changed := s.router.Directory.Changed()
		s.mu.Lock()
		s.assign(admit.Interactive)
		s.assign(admit.Batch)
		if s.idle() {
			s.assigning = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-s.notify:
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

// assign assigns slots to the requests of a class, earliest deadline over all
// queues first. The caller holds mu.
func (s *scheduler) assign(class admit.Class) {
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
		// A queue whose first request finds no slot is skipped until the next
		// iteration of assignLoop.
		waiting = slices.DeleteFunc(waiting, func(q *modelQueue) bool {
			return !s.assignHead(q, class) || q.queue.Len(class) == 0
		})
	}
}

// assignHead assigns a slot to the first request of a queue if there is one, or
// refuses the request if it would not finish before its deadline. It returns
// false if the request continues to wait.
func (s *scheduler) assignHead(q *modelQueue, class admit.Class) bool {
	head := q.queue.Head(class)
	w := q.waiters[head]
	// The estimate may be better than when the request was enqueued.
	work, _ := q.work.Expect(w.slotRequest.maxTokens)
	if time.Now().Add(work).After(head.Deadline) {
		q.queue.Remove(head)
		s.finish(q, head, result{err: refusalError(q.queue.TooLate())})
		return true
	}
	got, verdict := s.tryAcquire(q, w.slotRequest)
	switch verdict {
	case choose.Found:
		q.queue.Dispatch(head)
		s.finish(q, head, result{slot: got})
		return true
	case choose.Absent:
		s.requestLoad(q, w)
	case choose.Full:
		s.requestReplica(q, w)
	}
	return false
}

// requestLoad has the model of a queue loaded at an endpoint. At most one such
// call is in progress for each queue; all waiting requests share its result.
// The caller holds mu.
func (s *scheduler) requestLoad(q *modelQueue, w *waiter) {
	if w.slotRequest.loadModel == nil {
		q.queue.Remove(w.item)
		s.finish(q, w.item, result{err: noEndpoint()})
		return
	}
	if q.loading || time.Since(q.loadedAt) < loadRetryInterval {
		return
	}
	q.loading = true
	tried := slices.Clone(w.slotRequest.tried)
	deadline := w.slotRequest.call.deadline
	go func() {
		// The call continues if the caller disconnects: other requests wait for
		// it.
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		name, err := w.slotRequest.loadModel(ctx, tried)
		s.loadFinished(q, name, err, ctx.Err() != nil)
	}()
}

// loadFinished handles the result of a load. An error refuses all waiting
// requests, unless only the deadline of the request that made the call has
// passed.
func (s *scheduler) loadFinished(q *modelQueue, name string, err error, deadline bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.loading = false
	q.loadedAt = time.Now()
	switch {
	case err == nil:
		for _, w := range q.waiters {
			w.slotRequest.tried = slices.DeleteFunc(w.slotRequest.tried, func(tried string) bool { return tried == name })
		}
	case !deadline:
		for item := range q.waiters {
			q.queue.Remove(item)
			s.finish(q, item, result{err: err})
		}
	}
	s.wake()
}

// requestReplica requests a replica beside those that are full, once an
// interactive request has waited for some time. The operators' limit decides
// whether one is loaded; the waiting requests continue to wait. The caller
// holds mu.
func (s *scheduler) requestReplica(q *modelQueue, w *waiter) {
	now := time.Now()
	waited := now.Sub(w.since) >= replicaRequestDelay
	if !waited || w.slotRequest.class != admit.Interactive || w.slotRequest.loadModel == nil || q.loading || now.Sub(q.replicaRequestedAt) < replicaRequestInterval {
		return
	}
	q.loading = true
	q.replicaRequestedAt = now
	replicaRequestsTotal.Inc()
	full := slices.Clone(w.slotRequest.tried)
	for _, p := range w.slotRequest.candidates(now, w.slotRequest.tried) {
		full = append(full, p.Name)
	}
	deadline := w.slotRequest.call.deadline
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		_, err := w.slotRequest.loadModel(ctx, full)
		s.mu.Lock()
		defer s.mu.Unlock()
		q.loading = false
		if err != nil {
			s.router.Log.Debug("further replica not loaded", "model", q.name, "error", err)
		}
		s.wake()
	}()
}
