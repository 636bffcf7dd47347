// Package orders keeps the books of engines that a node owns: what each holds,
// how many orders it has accepted, and which order is under way. An order that
// got no answer counts as carried out and as not carried out until the engine
// shows which.
package orders

import (
	"context"
	"time"
)

// Engine is one start of an engine.
type Engine struct {
	ID      string
	Born    int64
	Address string
}

// Order loads or unloads a model, or an adapter of a model that is loaded.
type Order struct {
	Unload bool
	Model  string
	// Adapter is empty for the model itself.
	Adapter string
}

// Result is an engine's answer to an order.
type Result int

// Results.
const (
	// Unknown means that no answer came: the order may be carried out, also
	// seconds later.
	Unknown Result = iota
	// Accepted means that the order is being carried out.
	Accepted
	// Holds means that what was ordered holds already.
	Holds
	// Conflict means that another order is under way, or that the engine has
	// accepted another number of orders than was said.
	Conflict
	// Busy means that the engine had no time for the order.
	Busy
	// Rejected means that the engine is another, or that the order is wrong.
	Rejected
)

// String returns the name of the result for log lines.
func (r Result) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "busy", "rejected"}[r]
}

// Report is what an engine says of itself, some time after it was so.
type Report struct {
	Born     int64
	Busy     bool
	Accepted int64
	Models   map[string][]string
	// Coming are adapters on their way, as MODEL/NAME.
	Coming []string
}

// Engines gives orders and reads reports.
type Engines interface {
	// Order gives an order to an engine that has accepted so many orders, under
	// a fence. An error comes with Unknown unless the order was not sent.
	Order(ctx context.Context, to Engine, order Order, accepted, fence int64) (Result, error)
	Report(ctx context.Context, of Engine) (Report, error)
}

// Held is a model that an engine holds.
type Held struct {
	Since time.Time
	// Adapters are the model's adapters, each with its last use.
	Adapters map[string]time.Time
}

// Pending is an order on a model that is under way.
type Pending struct {
	Order Order
	// Answered tells that the engine accepted it; else it may have.
	Answered bool
	SentAt   time.Time
	// DueAt is when it should be done.
	DueAt time.Time
}

// Times of the books.
const (
	// ReportLag is the age that a report may have.
	ReportLag = 400 * time.Millisecond
	// LateOrder is the longest time after which an order without an answer may
	// still be carried out.
	LateOrder = 13 * time.Second
)

// Book is what is known of one engine. It reads no clock and is not safe for
// concurrent use.
type Book struct {
	Engine   Engine
	Accepted int64
	Models   map[string]*Held
	Pending  *Pending
	// Read tells that the engine's state is known.
	Read bool
	// Calling tells that a call to the engine is under way.
	Calling bool
	// ReadAfter is when the engine should be asked for its state.
	ReadAfter time.Time
	// lastOrder is when the last order was sent.
	lastOrder time.Time
	// lost is an order on a model without an answer. Its memory counts until
	// the engine can no longer carry it out.
	lost *Pending
}

// NewBook returns the book of an engine that must be asked for its state.
func NewBook(engine Engine) *Book {
	return &Book{Engine: engine, Models: map[string]*Held{}}
}

// Ready reports whether the engine can be given an order on a model.
func (b *Book) Ready() bool {
	return b.Read && !b.Calling && b.Pending == nil
}

// NeedsReport reports whether the engine must be asked for its state now.
func (b *Book) NeedsReport(now time.Time) bool {
	if b.Calling || now.Before(b.ReadAfter) {
		return false
	}
	return !b.Read || b.Pending != nil && now.After(b.Pending.DueAt)
}

// Sent notes that an order is being sent.
func (b *Book) Sent(order Order, now time.Time, takes time.Duration) {
	b.Calling = true
	b.lastOrder = now
	if order.Adapter == "" {
		b.Pending = &Pending{Order: order, SentAt: now, DueAt: now.Add(takes + ReportLag)}
	}
}

// Answered takes over the answer to an order.
func (b *Book) Answered(order Order, result Result, now time.Time) {
	b.Calling = false
	switch result {
	case Accepted:
		b.accepted(order, now)
	case Holds:
		b.holds(order, now)
	case Unknown:
		// The next order names the same number of orders: at most one of the
		// two is carried out, and a conflict shows that it was this one.
		if order.Adapter == "" {
			b.lost = b.Pending
			b.Pending = nil
		}
	default:
		if order.Adapter == "" {
			b.Pending = nil
		}
		b.reread(now.Add(ReportLag))
	}
}

// reread has the engine asked for its state.
func (b *Book) reread(after time.Time) {
	b.Read = false
	b.ReadAfter = after
}

func (b *Book) accepted(order Order, now time.Time) {
	b.Accepted++
	// The engine checks the number of orders: an earlier one without an answer
	// can no longer be carried out.
	b.lost = nil
	if order.Adapter != "" {
		b.apply(order, now)
		return
	}
	b.Pending.Answered = true
}

func (b *Book) holds(order Order, now time.Time) {
	b.apply(order, now)
	if order.Adapter != "" && order.Unload {
		b.Accepted++
		return
	}
	if order.Adapter == "" {
		b.Pending = nil
	}
	b.reread(now)
}

// apply changes what the engine holds.
func (b *Book) apply(order Order, now time.Time) {
	held := b.Models[order.Model]
	switch {
	case order.Adapter != "" && held == nil:
	case order.Adapter != "" && order.Unload:
		delete(held.Adapters, order.Adapter)
	case order.Adapter != "":
		held.Adapters[order.Adapter] = now
	case order.Unload:
		delete(b.Models, order.Model)
	case held == nil:
		b.Models[order.Model] = &Held{Since: now, Adapters: map[string]time.Time{}}
	}
}

// Reported takes over a report that was asked for at a time.
func (b *Book) Reported(report Report, asked, now time.Time) {
	b.Calling = false
	b.ReadAfter = now.Add(ReportLag / 2)
	fresh := asked.Sub(b.lastOrder) >= ReportLag
	if report.Accepted < b.Accepted && !fresh {
		return
	}
	if report.Busy {
		b.Accepted = max(b.Accepted, report.Accepted)
		return
	}
	b.Accepted = report.Accepted
	b.takeModels(report.Models, now)
	if fresh || b.Pending != nil && b.done(report.Models) {
		b.Pending = nil
	}
	if b.lost != nil && now.Sub(b.lost.SentAt) > LateOrder {
		b.lost = nil
	}
	b.Read = b.Pending == nil
}

// Seen takes over what the inventory says that the engine holds. What comes
// before the answer to the order under way is left out: it is looked at again.
func (b *Book) Seen(models map[string][]string, now time.Time) {
	if b.Pending == nil || b.Calling || !b.Read || !b.done(models) {
		return
	}
	b.apply(b.Pending.Order, now)
	b.Pending = nil
}

// done reports whether models show the pending order carried out.
func (b *Book) done(models map[string][]string) bool {
	_, held := models[b.Pending.Order.Model]
	return held != b.Pending.Order.Unload
}

func (b *Book) takeModels(models map[string][]string, now time.Time) {
	for name := range b.Models {
		if _, ok := models[name]; !ok {
			delete(b.Models, name)
		}
	}
	for name, adapters := range models {
		held := b.Models[name]
		if held == nil {
			held = &Held{Since: now, Adapters: map[string]time.Time{}}
			b.Models[name] = held
		}
		before := held.Adapters
		held.Adapters = make(map[string]time.Time, len(adapters))
		for _, adapter := range adapters {
			held.Adapters[adapter] = before[adapter]
		}
	}
}

// Reserved returns the model whose memory must be counted although the engine
// is not known to hold it, or "".
func (b *Book) Reserved() string {
	switch {
	case b.Pending != nil && !b.Pending.Order.Unload:
		return b.Pending.Order.Model
	case b.lost != nil && !b.lost.Order.Unload:
		return b.lost.Order.Model
	}
	return ""
}

// AdapterCount returns the number of adapters that the engine holds.
func (b *Book) AdapterCount() int {
	n := 0
	for _, held := range b.Models {
		n += len(held.Adapters)
	}
	return n
}
