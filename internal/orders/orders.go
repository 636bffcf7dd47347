// Package orders tracks the engines that a node owns: the models loaded on
// each, the number of orders it has accepted, and the order in progress. The
// outcome of an order without a response is unknown until the engine's state
// shows it; meanwhile the memory that the order may use is reserved.
package orders

import (
	"context"
	"time"
)

// Engine is one incarnation of an engine.
type Engine struct {
	ID string
	// StartedAtMS is the start time of the incarnation, in Unix milliseconds.
	StartedAtMS int64
	Address     string
}

// Order loads or unloads a model, or an adapter of a model that is loaded.
type Order struct {
	Unload bool
	Model  string
	// Adapter is empty for the model itself.
	Adapter string
}

// Result is an engine's response to an order.
type Result int

// Results of an order.
const (
	// Unknown means that no response was received: the engine may execute the
	// order, possibly seconds later.
	Unknown Result = iota
	// Accepted means that the engine is executing the order.
	Accepted
	// AlreadyDone means that the engine is already in the state that the order
	// requests.
	AlreadyDone
	// Conflict means that another order is in progress, or that the engine has
	// accepted a different number of orders than the order stated.
	Conflict
	// Busy means that the engine was too busy to accept the order.
	Busy
	// Rejected means that the engine has restarted as another incarnation or that
	// the order is invalid.
	Rejected
)

// String returns the name of the result for log lines.
func (r Result) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "busy", "rejected"}[r]
}

// Report is the state that an engine reports. It may be up to ReportLag old.
type Report struct {
	// StartedAtMS is the start time of the incarnation, in Unix milliseconds.
	StartedAtMS int64
	// Busy reports that an order is in progress.
	Busy bool
	// Accepted is the number of orders that the engine has accepted.
	Accepted int64
	// Models maps the loaded models to their adapters.
	Models map[string][]string
	// LoadingAdapters are the adapters being loaded, as MODEL/NAME.
	LoadingAdapters []string
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Order sends an order under a fencing token to an engine that has accepted
	// the given number of orders so far. With an error, the result is Unknown,
	// unless the order was not sent.
	Order(ctx context.Context, to Engine, order Order, accepted, fence int64) (Result, error)
	Report(ctx context.Context, engine Engine) (Report, error)
}

// LoadedModel is a model loaded on an engine.
type LoadedModel struct {
	// Since is when the model was first seen after it was not loaded; zero if it
	// was loaded in the first report.
	Since time.Time
	// Adapters maps the model's adapters to the time of their last use.
	Adapters map[string]time.Time
}

// Pending is an order on a model that is in progress.
type Pending struct {
	Order Order
	// Confirmed reports that the engine has accepted the order. Until then it is
	// not known whether the engine has received it.
	Confirmed bool
	SentAt    time.Time
	// DueAt is when the engine's reports should show the order as executed.
	DueAt time.Time
}

// Delays of engines.
const (
	// ReportLag is the maximum age of a report.
	ReportLag = 400 * time.Millisecond
	// MaxExecutionDelay is the maximum time after which an engine may still
	// execute an order that got no response.
	MaxExecutionDelay = 13 * time.Second
)

// Tracker tracks the state of one engine. It reads no clock and is not safe for
// concurrent use.
type Tracker struct {
	Engine Engine
	// Accepted is the number of orders that the engine has accepted.
	Accepted int64
	Models   map[string]*LoadedModel
	// Pending is the order in progress, or nil.
	Pending *Pending
	// StateKnown reports that the engine's state is known.
	StateKnown bool
	// reported is set by the first report.
	reported bool
	// CallInFlight reports that a call to the engine is in flight.
	CallInFlight bool
	// NextReport is the earliest time of the next report request.
	NextReport time.Time
	// lastOrder is when the last order was sent.
	lastOrder time.Time
	// unconfirmed is an order on a model that got no response. The memory of its
	// model stays reserved until the engine can no longer execute it.
	unconfirmed *Pending
}

// NewTracker returns a tracker for an engine whose state has yet to be read.
func NewTracker(engine Engine) *Tracker {
	return &Tracker{Engine: engine, Models: map[string]*LoadedModel{}}
}

// Ready reports whether an order may be sent to the engine.
func (t *Tracker) Ready() bool {
	return t.StateKnown && !t.CallInFlight && t.Pending == nil
}

// NeedsReport reports whether the engine's report must be requested now.
func (t *Tracker) NeedsReport(now time.Time) bool {
	if t.CallInFlight || now.Before(t.NextReport) {
		return false
	}
	return !t.StateKnown || t.Pending != nil && now.After(t.Pending.DueAt)
}

// Sent records that an order is being sent. expected is its expected duration.
func (t *Tracker) Sent(order Order, now time.Time, expected time.Duration) {
	t.CallInFlight = true
	t.lastOrder = now
	if order.Adapter == "" {
		t.Pending = &Pending{Order: order, SentAt: now, DueAt: now.Add(expected + ReportLag)}
	}
}

// Answered records the response to an order.
func (t *Tracker) Answered(order Order, result Result, now time.Time) {
	t.CallInFlight = false
	switch result {
	case Accepted:
		t.accepted(order, now)
	case AlreadyDone:
		t.alreadyDone(order, now)
	case Unknown:
		// The next order states the same number of accepted orders, so the
		// engine executes at most one of the two. A conflict shows that it was
		// this one.
		if order.Adapter == "" {
			t.unconfirmed = t.Pending
			t.Pending = nil
		}
	default:
		if order.Adapter == "" {
			t.Pending = nil
		}
		t.scheduleReport(now.Add(ReportLag))
	}
}

// scheduleReport marks the engine's state as unknown, to be read after the
// given time.
func (t *Tracker) scheduleReport(after time.Time) {
	t.StateKnown = false
	t.NextReport = after
}

// accepted records that the engine accepted an order.
func (t *Tracker) accepted(order Order, now time.Time) {
	t.Accepted++
	// The engine checks the number of accepted orders, so it can no longer
	// execute an earlier order that got no response.
	t.unconfirmed = nil
	if order.Adapter != "" {
		t.apply(order, now)
		return
	}
	t.Pending.Confirmed = true
}

// alreadyDone records that the engine is already in the state that an order
// requests.
func (t *Tracker) alreadyDone(order Order, now time.Time) {
	t.apply(order, now)
	if order.Adapter != "" && order.Unload {
		t.Accepted++
		return
	}
	if order.Adapter == "" {
		t.Pending = nil
	}
	t.scheduleReport(now)
}

// apply updates the loaded models and adapters by an executed order.
func (t *Tracker) apply(order Order, now time.Time) {
	loaded := t.Models[order.Model]
	switch {
	case order.Adapter != "" && loaded == nil:
	case order.Adapter != "" && order.Unload:
		delete(loaded.Adapters, order.Adapter)
	case order.Adapter != "":
		loaded.Adapters[order.Adapter] = now
	case order.Unload:
		delete(t.Models, order.Model)
	case loaded == nil:
		t.Models[order.Model] = &LoadedModel{Since: now, Adapters: map[string]time.Time{}}
	}
}

// Reported records a report that was requested at requestedAt. It ignores a
// report that shows fewer accepted orders than the tracker, unless the report
// is certain to be newer than the last order.
func (t *Tracker) Reported(report Report, requestedAt, now time.Time) {
	t.CallInFlight = false
	t.NextReport = now.Add(ReportLag / 2)
	fresh := requestedAt.Sub(t.lastOrder) >= ReportLag
	if report.Accepted < t.Accepted && !fresh {
		return
	}
	if report.Busy {
		t.Accepted = max(t.Accepted, report.Accepted)
		return
	}
	t.Accepted = report.Accepted
	loadedSince := now
	if !t.reported {
		loadedSince = time.Time{}
	}
	t.reported = true
	t.setModels(report.Models, loadedSince)
	if fresh || t.Pending != nil && t.done(report.Models) {
		t.Pending = nil
	}
	if t.unconfirmed != nil && now.Sub(t.unconfirmed.SentAt) > MaxExecutionDelay {
		t.unconfirmed = nil
	}
	t.StateKnown = t.Pending == nil
}

// Observed records the models that the inventory shows on the engine. They are
// ignored until the response to the order in progress is known: the caller
// passes them again.
func (t *Tracker) Observed(models map[string][]string, now time.Time) {
	if t.Pending == nil || t.CallInFlight || !t.StateKnown || !t.done(models) {
		return
	}
	t.apply(t.Pending.Order, now)
	t.Pending = nil
}

// done reports whether models show that the pending order was executed.
func (t *Tracker) done(models map[string][]string) bool {
	_, loaded := models[t.Pending.Order.Model]
	return loaded != t.Pending.Order.Unload
}

// setModels replaces the loaded models and keeps the load time of models and
// the last use of adapters that were known before. Other models count as loaded
// since the given time.
func (t *Tracker) setModels(models map[string][]string, since time.Time) {
	for name := range t.Models {
		if _, ok := models[name]; !ok {
			delete(t.Models, name)
		}
	}
	for name, adapters := range models {
		loaded := t.Models[name]
		if loaded == nil {
			loaded = &LoadedModel{Since: since, Adapters: map[string]time.Time{}}
			t.Models[name] = loaded
		}
		lastUsed := loaded.Adapters
		loaded.Adapters = make(map[string]time.Time, len(adapters))
		for _, adapter := range adapters {
			loaded.Adapters[adapter] = lastUsed[adapter]
		}
	}
}

// Reserved returns the model of a load whose completion is not known, or "".
// Its memory counts as used.
func (t *Tracker) Reserved() string {
	switch {
	case t.Pending != nil && !t.Pending.Order.Unload:
		return t.Pending.Order.Model
	case t.unconfirmed != nil && !t.unconfirmed.Order.Unload:
		return t.unconfirmed.Order.Model
	}
	return ""
}

// AdapterCount returns the number of adapters loaded on the engine.
func (t *Tracker) AdapterCount() int {
	n := 0
	for _, loaded := range t.Models {
		n += len(loaded.Adapters)
	}
	return n
}
