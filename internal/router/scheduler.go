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

// assignInterval is the longest time between two looks at what waits.
const assignInterval = 20 * time.Millisecond

// loadPause is the time between two calls for the same model's load.
const loadPause = 100 * time.Millisecond

// Times of asking for a further replica: how long a request waits before, and
// the least time between two calls for one model.
const (
	growAfter = 300 * time.Millisecond
	growPause = time.Second
)

// Bounds of what waits over all queues of a router. At either bound a request
// that would have to wait is refused.
const (
	maxWaiting      = 8192
	maxWaitingBytes = 64 << 20
)

// need is what a request asks the scheduler for.
type need struct {
	// queue names the queue that it waits in.
	queue string
	call  *call
	class admit.Class
	bytes int
	// maxTokens bounds the answer; 0 means that it is not bounded.
	maxTokens int
	// tried holds the endpoints that it must not go to.
	tried []string
	// candidates returns the endpoints that it may go to.
	candidates func(now time.Time, tried []string) []place
	// request is the rest of what the choice depends on.
	request choose.Request
	// bringUp makes the model available at an endpoint and returns its name. It
	// is nil where nothing can be brought up.
	bringUp func(ctx context.Context, tried []string) (string, error)
}

// place is a candidate with the keys under which its load is counted.
type place struct {
	choose.Candidate
	keys []string
}

// slot is a request's place at an endpoint.
type slot struct {
	endpoint string
	keys     []string
	// service and begun are set for calls to plain services.
	service string
	begun   time.Time
}

// waiter is a request in a queue.
type waiter struct {
	need *need
	item *admit.Item
	// since is when it began to wait.
	since time.Time
	// done gets the result, at most once.
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
	// loading is true while a call for a load is under way, and loadedAt the
	// end of the last.
	loading  bool
	loadedAt time.Time
	// grownAt is when a further replica was asked for last.
	grownAt time.Time
}

// scheduler gives requests their places at endpoints. Requests that find no
// room wait in bounded queues.
type scheduler struct {
	router  *Router
	chooser choose.Chooser
	kick    chan struct{}

	mu        sync.Mutex
	queues    map[string]*modelQueue
	waiting   waitingTotal
	assigning bool
	version   int64
}

// waitingTotal sums what waits over all queues.
type waitingTotal struct {
	requests int
	bytes    int
}

func newScheduler(r *Router) *scheduler {
	return &scheduler{
		router:  r,
		chooser: choose.Default(),
		kick:    make(chan struct{}, 1),
		queues:  map[string]*modelQueue{},
	}
}

// queue returns the queue of a name. The caller holds mu.
func (s *scheduler) queue(name string) *modelQueue {
	q, ok := s.queues[name]
	if !ok {
		q = &modelQueue{name: name, queue: admit.NewQueue(admit.DefaultSettings()), waiters: map[*admit.Item]*waiter{}}
		s.queues[name] = q
	}
	return q
}

// answered takes over how long a request ran.
func (s *scheduler) answered(name string, first time.Duration, tokens int, rest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q, ok := s.queues[name]; ok {
		q.work.Add(first, tokens, rest)
	}
}

// acquire returns a place at an endpoint, waiting for one if needed. Its errors
// say that the request did not run.
func (s *scheduler) acquire(ctx context.Context, n *need) (slot, error) {
	s.mu.Lock()
	s.prune()
	q := s.queue(n.queue)
	if s.nothingBefore(q, n.class) {
		if got, verdict := s.place(q, n); verdict == choose.Found {
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

// nothingBefore reports whether a request that comes now may start without
// waiting: nothing of its class or one before waits in its queue and, for a
// batch request, nothing interactive in any. The caller holds mu.
func (s *scheduler) nothingBefore(q *modelQueue, class admit.Class) bool {
	if class == admit.Batch && s.waiting.requests > 0 && s.waits(admit.Interactive) {
		return false
	}
	for c := admit.Interactive; c <= class; c++ {
		if q.queue.Len(c) > 0 {
			return false
		}
	}
	return true
}

// waits reports whether a request of a class waits in any queue. The caller
// holds mu.
func (s *scheduler) waits(class admit.Class) bool {
	for _, q := range s.queues {
		if q.queue.Len(class) > 0 {
			return true
		}
	}
	return false
}

// enqueue puts a request into its queue. The caller holds mu.
func (s *scheduler) enqueue(q *modelQueue, n *need) (*waiter, error) {
	if s.waiting.requests >= maxWaiting || s.waiting.bytes+n.bytes > maxWaitingBytes {
		return nil, refused(q.queue.Full())
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
		s.finish(q, evicted, result{err: refused(q.queue.Evicted(evicted, capacity))})
	}
	if refusal != nil {
		return nil, refused(refusal)
	}
	w := &waiter{need: n, item: item, since: now, done: make(chan result, 1)}
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

// finish ends the wait of an item that is no longer in its queue. The caller
// holds mu.
func (s *scheduler) finish(q *modelQueue, item *admit.Item, r result) {
	w := q.waiters[item]
	s.forget(q, item)
	waitSeconds.UpdateDuration(w.since)
	w.done <- r
}

// forget drops an item that is no longer in its queue. The caller holds mu.
func (s *scheduler) forget(q *modelQueue, item *admit.Item) {
	delete(q.waiters, item)
	s.waiting.requests--
	s.waiting.bytes -= item.Bytes
}

// await waits for a request's place, and gives the request up when it can no
// longer end in time or its caller has gone.
func (s *scheduler) await(ctx context.Context, q *modelQueue, w *waiter) (slot, error) {
	last := time.NewTimer(time.Until(w.item.Deadline.Add(-w.item.SafeWork)))
	defer last.Stop()
	select {
	case r := <-w.done:
		return r.slot, r.err
	case <-last.C:
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
		s.forget(q, w.item)
	}
	return slot{}, &outcome.Error{
		Reason: outcome.ReasonDeadline, Run: outcome.NotRun, RetryAfter: time.Second,
		Message: "no endpoint had room in time",
	}
}

// free gives a place back.
func (s *scheduler) free(held slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(held)
}

// release counts a place as free. The caller holds mu.
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
	case s.kick <- struct{}{}:
	default:
	}
}

// place chooses an endpoint and counts the request there. The caller holds mu.
func (s *scheduler) place(q *modelQueue, n *need) (slot, choose.Verdict) {
	now := time.Now()
	places := n.candidates(now, n.tried)
	candidates := make([]choose.Candidate, len(places))
	for i, p := range places {
		candidates[i] = p.Candidate
	}
	req := n.request
	req.Now, req.Tokens, req.Batch = now, q.work.Tokens(n.maxTokens), n.class == admit.Batch
	picked, verdict := s.chooser.Choose(req, candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if verdict != choose.Found {
		return slot{}, verdict
	}
	i := slices.IndexFunc(places, func(p place) bool { return p.Name == picked.Name })
	for _, key := range places[i].keys {
		s.router.loads.Begin(key, now)
	}
	return slot{endpoint: picked.Name, keys: places[i].keys}, verdict
}

// capacity sums what the router may have at the endpoints of a queue. The
// caller holds mu.
func (s *scheduler) capacity(n *need, now time.Time) admit.Capacity {
	var sum admit.Capacity
	for _, p := range n.candidates(now, n.tried) {
		if p.Unreachable || p.Leaving || p.Drained || p.Limit <= 0 {
			continue
		}
		mine := max(p.Limit-int(p.Others), p.Share, 1)
		sum.Slots += mine
		sum.Free += max(0, mine-p.InFlight)
	}
	return sum
}

// prune forgets queues and measurements of what is no longer configured, once
// for each version of the configuration. The caller holds mu.
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

// refused turns a refusal into an error for the caller.
func refused(r *admit.Refusal) error {
	countRefusal(r)
	if r.Reason == admit.Full {
		return &outcome.Error{Reason: outcome.ReasonQueueFull, Run: outcome.NotRun, RetryAfter: r.RetryAfter, Message: "too many requests wait"}
	}
	return &outcome.Error{Reason: outcome.ReasonTooLate, Run: outcome.NotRun, RetryAfter: r.RetryAfter, Message: "the request would not end before its deadline"}
}
