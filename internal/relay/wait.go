package relay

import (
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/waitqueue"
)

// wait is the time during which a request has no endpoint.
type wait struct {
	x         *exchange
	key       waitqueue.Key
	startTime time.Time
	// counted reports whether the demand for the model includes the request as
	// a waiting one.
	counted bool
	// reason says what the request last waited for, or is empty if it did not
	// wait.
	reason string
	// held reports whether the request was held back for other teams.
	held bool
	// claimed reports whether the request has claimed the endpoints that it can use.
	claimed bool
	// waiter is nil while the request is not in a queue.
	waiter *waitqueue.Waiter
}

// newWait returns the wait of a request that needs an endpoint now. The request
// is enqueued at once if requests that precede it wait for the same service and
// model.
func (x *exchange) newWait() *wait {
	w := &wait{x: x, key: waitqueue.Key{Service: x.service.Name, Model: x.req.Model}, startTime: time.Now()}
	if x.relay.queues.HasAhead(w.key, w.request(), w.startTime) {
		w.enqueue()
	}
	return w
}

// resumedPriority is the priority of streams that have begun. It precedes all
// others.
const resumedPriority = -1

func (w *wait) request() waitqueue.Request {
	req := waitqueue.Request{
		Priority:   w.x.queuePriority(),
		Team:       w.x.teamName(),
		Work:       w.x.work(),
		Arrived:    w.x.req.Arrived,
		Exempt:     w.x.started || w.x.required.Required,
		Restricted: len(w.x.tried) > 0 || w.x.req.Adapter != "" || w.x.required.Required,
	}
	if target := w.x.route.TargetLatency; target > 0 {
		req.Due = req.Arrived.Add(target)
	}
	return req
}

func (w *wait) enqueue() {
	w.waiter = w.x.relay.queues.Enqueue(w.key, w.request(), time.Now())
	w.measureWaiting(1)
}

// mayDispatch reports whether the request may take an endpoint.
func (w *wait) mayDispatch() bool {
	return w.waiter == nil || w.waiter.MayDispatch(time.Now())
}

// ready returns a channel that receives a value when the request may be
// dispatched. It is nil, and blocks, while the request is not in a queue.
func (w *wait) ready() <-chan struct{} {
	if w.waiter == nil {
		return nil
	}
	return w.waiter.Ready()
}

// blocked records that there is no endpoint now. The request is enqueued if
// endpoints serve the model but have no room.
func (w *wait) blocked(verdict choose.Verdict) {
	w.reason = waitReasons[verdict]
	if w.held {
		w.reason = waitedForShare
	}
	if !w.counted && w.key.Model != "" {
		w.counted = true
		w.x.relay.Demand.AddWaiting(w.key.Service, w.key.Model, w.x.required, 1)
	}
	if w.waiter == nil && verdict != choose.Absent {
		w.enqueue()
	}
	w.claim(verdict)
}

// predictedWait returns how long the request is expected to remain in the
// queue, or 0 if it is in none or that is unknown.
func (w *wait) predictedWait(now time.Time) time.Duration {
	if w.waiter == nil {
		return 0
	}
	return w.waiter.PredictedWait(now)
}

// finish ends the wait. endpoint is nil if the request has none.
func (w *wait) finish(endpoint *inventory.Endpoint) {
	// A node that forwards the request counts as none: it counts the request itself.
	dispatched := endpoint != nil && !endpoint.Node
	w.measureEnd(endpoint != nil, dispatched)
	if w.waiter != nil {
		w.waiter.Remove(time.Now(), dispatched)
	} else if dispatched {
		w.x.relay.queues.Dispatched(w.key, w.request(), time.Now())
	}
	if w.claimed {
		w.x.relay.claims.Release(w.key.Service, w.x.req.ID, time.Now())
	}
	if w.counted {
		w.x.relay.Demand.AddWaiting(w.key.Service, w.key.Model, w.x.required, -1)
		modelWaitSeconds.Update(time.Since(w.startTime).Seconds())
	}
	if w.reason != "" {
		w.x.progress.waited += time.Since(w.startTime)
		w.x.progress.waitedFor = w.reason
	}
}
