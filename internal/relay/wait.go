package relay

import (
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/line"
)

// wait is the time that a request spends without an endpoint.
type wait struct {
	x     *exchange
	key   line.Key
	began time.Time
	// counted tells that the demand for the model includes the request as one
	// that waits.
	counted bool
	// place is nil while the request stands in no line.
	place *line.Place
}

// newWait returns the wait of a request that comes now. It joins the line of
// those that wait for the same, if they go before it.
func (x *exchange) newWait() *wait {
	w := &wait{x: x, key: line.Key{Service: x.service.Name, Model: x.req.Model}, began: time.Now()}
	if x.relay.lines.HasBefore(w.key, w.request(), w.began) {
		w.join()
	}
	return w
}

// resumedPriority is that of streams that have begun: before all others.
const resumedPriority = -1

func (w *wait) request() line.Request {
	req := line.Request{
		Priority: w.x.route.Priority,
		Arrived:  w.x.req.Arrived,
		Choosy:   len(w.x.tried) > 0 || w.x.req.Adapter != "",
	}
	if w.x.begun {
		req.Priority = resumedPriority
	}
	if target := w.x.route.Target; target > 0 {
		req.Due = req.Arrived.Add(target)
	}
	return req
}

func (w *wait) join() {
	w.place = w.x.relay.lines.Join(w.key, w.request(), time.Now())
}

// turn reports whether the request may take an endpoint.
func (w *wait) turn() bool {
	return w.place == nil || w.place.First(time.Now())
}

// next returns a channel that is sent to when the request's turn comes.
func (w *wait) next() <-chan struct{} {
	if w.place == nil {
		return nil
	}
	return w.place.Turn()
}

// begin notes that there is no endpoint now. A request stands in line while
// endpoints serve what it asks for but have no room.
func (w *wait) begin(verdict choose.Verdict) {
	if !w.counted && w.key.Model != "" {
		w.counted = true
		w.x.relay.Demand.Waits(w.key.Service, w.key.Model, 1)
	}
	if w.place == nil && verdict != choose.Absent {
		w.join()
	}
}

// foretold returns for how long the request is expected to stand in line, 0 if
// it stands in none or that can't be told.
func (w *wait) foretold(now time.Time) time.Duration {
	if w.place == nil {
		return 0
	}
	return w.place.Wait(now)
}

// end ends the wait. placed tells that the request has an endpoint.
func (w *wait) end(placed bool) {
	if w.place != nil {
		w.place.Leave(time.Now(), placed)
	}
	if w.counted {
		w.x.relay.Demand.Waits(w.key.Service, w.key.Model, -1)
		modelWaitSeconds.Update(time.Since(w.began).Seconds())
	}
}
