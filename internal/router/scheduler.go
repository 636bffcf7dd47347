package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/admit"
	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/outcome"
)

// assignInterval is the maximum time between two assignments of slots to
// waiting requests.
const assignInterval = 20 * time.Millisecond

// loadRetryInterval is the time between two load calls for the same model.
const loadRetryInterval = 100 * time.Millisecond

// Timing of requests for a further replica: how long a request must have
// waited, and the minimum time between two calls for one model.
const (
	replicaRequestDelay    = 300 * time.Millisecond
	replicaRequestInterval = time.Second
)

// Limits on the waiting requests over all queues of a router. At either limit a
// request that would have to wait is refused.
const (
	maxWaiting      = 8192
	maxWaitingBytes = 64 << 20
)

// slotRequest is a request to the scheduler for a slot.
type slotRequest struct {
	// queue is the name of the queue in which it waits.
	queue string
	call  *call
	class admit.Class
	bytes int
	// maxTokens bounds the response; 0 means unbounded.
	maxTokens int
	// tried holds the endpoints to exclude.
	tried []string
	// candidates returns the eligible endpoints.
	candidates func(now time.Time, tried []string) []slotCandidate
	// choice holds the other inputs of the endpoint choice.
	choice choose.Request
	// loadModel loads the model at an endpoint other than those in tried and
	// returns the endpoint's name. It is nil if nothing can be loaded.
	loadModel func(ctx context.Context, tried []string) (string, error)
}

// slotCandidate is a candidate with the keys under which its load is counted.
type slotCandidate struct {
	choose.Candidate
	keys []string
}

// slot is a request's slot at an endpoint.
type slot struct {
	endpoint string
	keys     []string
	// service and startTime are set for calls to plain services.
	service   string
	startTime time.Time
}

// waiter is a request in a queue.
type waiter struct {
	slotRequest *slotRequest
	item        *admit.Item
	// since is when it was enqueued.
	since time.Time
	// done receives the result, at most once.
	done chan result
}

type result struct {
	slot slot
	err  error
}

// modelQueue is the queue of one model, adapter or service.
type modelQueue struct {
	name    string
	queue   *admit.Queue
	waiters map[*admit.Item]*waiter
	work    admit.WorkModel
	// loading reports whether a load call is in progress; loadedAt is when the
	// last one ended.
	loading  bool
	loadedAt time.Time
	// replicaRequestedAt is when a further replica was last requested.
	replicaRequestedAt time.Time
}

// scheduler assigns endpoint slots to requests. Requests that find no free slot
// wait in bounded queues.
type scheduler struct {
	router  *Router
	chooser choose.Chooser
	notify  chan struct{}

	mu        sync.Mutex
	queues    map[string]*modelQueue
	waiting   waitingTotal
	assigning bool
	version   int64
}

// waitingTotal is the total of the waiting requests over all queues.
type waitingTotal struct {
	requests int
	bytes    int
}

func newScheduler(r *Router) *scheduler {
	return &scheduler{
		router:  r,
		chooser: choose.Default(),
		notify:  make(chan struct{}, 1),
		queues:  map[string]*modelQueue{},
	}
}

// queue returns the queue of a name, creating it if needed. The caller holds
// mu.
func (s *scheduler) queue(name string) *modelQueue {
	q, ok := s.queues[name]
	if !ok {
		q = &modelQueue{name: name, queue: admit.NewQueue(admit.DefaultSettings()), waiters: map[*admit.Item]*waiter{}}
		s.queues[name] = q
	}
	return q
}

// recordRun records how long a request ran.
func (s *scheduler) recordRun(name string, first time.Duration, tokens int, rest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q, ok := s.queues[name]; ok {
		q.work.Add(first, tokens, rest)
	}
}

// acquire returns a slot at an endpoint, waiting for one if needed. An error
// means that the request did not run.
func (s *scheduler) acquire(ctx context.Context, n *slotRequest) (slot, error) {
	s.mu.Lock()
	s.prune()
	q := s.queue(n.queue)
	if s.mayStart(q, n.class) {
		if got, verdict := s.tryAcquire(q, n); verdict == choose.Found {
			s.mu.Unlock()
			return got, nil
		}
	}
	w, err := s.enqueue(q, n)
	s.mu.Unlock()
	if err != nil {
		return slot{}, err
	}
	return s.await(ctx, q, w)
}

// mayStart reports whether a new request may start without waiting: no request
// of its class or a more urgent one waits in its queue and, for a batch
// request, no interactive one waits in any queue. The caller holds mu.
func (s *scheduler) mayStart(q *modelQueue, class admit.Class) bool {
	if class == admit.Batch && s.waiting.requests > 0 && s.anyWaiting(admit.Interactive) {
		return false
	}
	for c := admit.Interactive; c <= class; c++ {
		if q.queue.Len(c) > 0 {
			return false
		}
	}
	return true
}

// anyWaiting reports whether a request of a class waits in any queue. The
// caller holds mu.
func (s *scheduler) anyWaiting(class admit.Class) bool {
	for _, q := range s.queues {
		if q.queue.Len(class) > 0 {
			return true
		}
	}
	return false
}

// enqueue adds a request to its queue. The caller holds mu.
func (s *scheduler) enqueue(q *modelQueue, n *slotRequest) (*waiter, error) {
	if s.waiting.requests >= maxWaiting || s.waiting.bytes+n.bytes > maxWaitingBytes {
		return nil, refusalError(q.queue.Full())
	}
	now := time.Now()
	work, safe := q.work.Expect(n.maxTokens)
	capacity := s.capacity(n, now)
	item, evicted, refusal := q.queue.Offer(now, admit.Request{
		Organisation: n.call.organisation,
		Class:        n.class,
		Deadline:     n.call.deadline,
		Work:         work,
		SafeWork:     safe,
		Bytes:        n.bytes,
	}, capacity)
	if evicted != nil {
		s.finish(q, evicted, result{err: refusalError(q.queue.Evicted(evicted, capacity))})
	}
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	w := &waiter{slotRequest: n, item: item, since: now, done: make(chan result, 1)}
	q.waiters[item] = w
	s.waiting.requests++
	s.waiting.bytes += item.Bytes
	if !s.assigning {
		s.assigning = true
		go s.assignLoop()
	}
	s.wake()
	return w, nil
}

// finish delivers the result of an item that is no longer in its queue. The
// caller holds mu.
func (s *scheduler) finish(q *modelQueue, item *admit.Item, r result) {
	w := q.waiters[item]
	s.removeWaiter(q, item)
	waitSeconds.UpdateDuration(w.since)
	w.done <- r
}

// removeWaiter removes the waiter of an item that is no longer in its queue.
// The caller holds mu.
func (s *scheduler) removeWaiter(q *modelQueue, item *admit.Item) {
	delete(q.waiters, item)
	s.waiting.requests--
	s.waiting.bytes -= item.Bytes
}

// await waits for a request's slot. It abandons the request when it can no
// longer finish before its deadline, or when ctx ends.
func (s *scheduler) await(ctx context.Context, q *modelQueue, w *waiter) (slot, error) {
	abandon := time.NewTimer(time.Until(w.item.Deadline.Add(-w.item.SafeWork)))
	defer abandon.Stop()
	select {
	case r := <-w.done:
		return r.slot, r.err
	case <-abandon.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case r := <-w.done:
		if r.err == nil {
			s.release(r.slot)
		}
	default:
		q.queue.Remove(w.item)
		s.removeWaiter(q, w.item)
	}
	return slot{}, &outcome.Error{
		Reason: outcome.ReasonDeadline, Run: outcome.NotRun, RetryAfter: time.Second,
		Message: "no endpoint had room in time",
	}
}

// free releases a slot.
func (s *scheduler) free(held slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(held)
}

// release counts a slot as free. The caller holds mu.
func (s *scheduler) release(held slot) {
	now := time.Now()
	for _, key := range held.keys {
		s.router.loads.End(key, now)
	}
	if s.assigning {
		s.wake()
	}
}

func (s *scheduler) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// tryAcquire chooses an endpoint and counts the request there, without waiting.
// The caller holds mu.
func (s *scheduler) tryAcquire(q *modelQueue, n *slotRequest) (slot, choose.Verdict) {
	now := time.Now()
	places := n.candidates(now, n.tried)
	candidates := make([]choose.Candidate, len(places))
	for i, p := range places {
		candidates[i] = p.Candidate
	}
	req := n.choice
	req.Now, req.Tokens, req.Batch = now, q.work.Tokens(n.maxTokens), n.class == admit.Batch
	picked, verdict := s.chooser.Choose(req, candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if verdict != choose.Found {
		return slot{}, verdict
	}
	i := slices.IndexFunc(places, func(p slotCandidate) bool { return p.Name == picked.Name })
	for _, key := range places[i].keys {
		s.router.loads.Begin(key, now)
	}
	return slot{endpoint: picked.Name, keys: places[i].keys}, verdict
}

// capacity sums the slots available to this router at the endpoints of a
// request. The caller holds mu.
func (s *scheduler) capacity(n *slotRequest, now time.Time) admit.Capacity {
	var sum admit.Capacity
	for _, p := range n.candidates(now, n.tried) {
		if p.Unreachable || p.Leaving || p.Drained || p.Limit <= 0 {
			continue
		}
		available := max(p.Limit-int(p.OtherLoad), p.Share, 1)
		sum.Slots += available
		sum.Free += max(0, available-p.InFlight)
	}
	return sum
}

// prune removes queues and measurements that are no longer configured, once for
// each version of the configuration. The caller holds mu.
func (s *scheduler) prune() {
	current := s.router.Config.Current()
	if current.Version == s.version {
		return
	}
	s.version = current.Version
	for name, q := range s.queues {
		if q.queue.Empty() && !q.loading && !configured(current, name) {
			delete(s.queues, name)
		}
	}
	s.router.loads.Prune(loadKeys(current))
}

// refusalError converts a refusal into an error for the caller.
func refusalError(r *admit.Refusal) error {
	countRefusal(r)
	if r.Reason == admit.Full {
		return &outcome.Error{Reason: outcome.ReasonQueueFull, Run: outcome.NotRun, RetryAfter: r.RetryAfter, Message: "too many requests wait"}
	}
	return &outcome.Error{Reason: outcome.ReasonTooLate, Run: outcome.NotRun, RetryAfter: r.RetryAfter, Message: "the request would not end before its deadline"}
}
