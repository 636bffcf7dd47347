package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelEngine carries out orders, loses answers and carries orders out late. It
// checks the number of orders when it carries one out.
type modelEngine struct {
	accepted int64
	models   map[string][]string
	late     []lateOrder
}

type lateOrder struct {
	order    Order
	accepted int64
}

// capacity is the number of models that an engine holds.
const capacity = 3

// carryOut does an order if its number is right.
func (e *modelEngine) carryOut(t *rapid.T, order Order, accepted int64) bool {
	if accepted != e.accepted {
		return false
	}
	e.accepted++
	if order.Unload {
		delete(e.models, order.Model)
	} else {
		e.models[order.Model] = nil
	}
	require.LessOrEqual(t, len(e.models), capacity, "an engine above its memory crashes")
	return true
}

// fates of an order.
const (
	answered = iota
	answerLost
	carriedOutLate
	never
	fates
)

// give sends an order to the engine, which treats it by its fate.
func (e *modelEngine) give(t *rapid.T, order Order, accepted int64, fate int) Result {
	switch fate {
	case answerLost:
		e.carryOut(t, order, accepted)
		return Unknown
	case carriedOutLate:
		e.late = append(e.late, lateOrder{order, accepted})
		return Unknown
	case never:
		return Unknown
	}
	if e.carryOut(t, order, accepted) {
		return Accepted
	}
	return Conflict
}

// TestNeverAboveMemory draws orders, fates, entries and reports, and checks that
// an owner who trusts its book never orders an engine above its memory, and
// that the book can be used again in the end.
func TestNeverAboveMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := &modelEngine{models: map[string][]string{}}
		book := NewBook(Engine{ID: "e"})
		now := start
		report := func() {
			book.Calling = true
			book.Reported(Report{Accepted: engine.accepted, Models: engine.models}, now, now)
		}
		report()
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				if book.Ready() {
					orderOne(t, engine, book, now)
				}
			},
			"carry out late": func(t *rapid.T) {
				if len(engine.late) > 0 {
					next := engine.late[0]
					engine.late = engine.late[1:]
					engine.carryOut(t, next.order, next.accepted)
				}
			},
			"entry": func(*rapid.T) { book.Seen(engine.models, now) },
			"time passes": func(*rapid.T) {
				now = now.Add(ReportLag)
				if book.NeedsReport(now) {
					report()
				}
			},
		})
		engine.late = nil
		for range 10 {
			now = now.Add(10 * time.Second)
			if book.NeedsReport(now) {
				report()
			}
		}
		require.True(t, book.Ready())
	})
}

// orderOne gives an order that the book allows.
func orderOne(t *rapid.T, engine *modelEngine, book *Book, now time.Time) {
	order := Order{Model: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "model")}
	_, held := book.Models[order.Model]
	order.Unload = held
	if !held && used(book)+1 > capacity {
		return
	}
	book.Sent(order, now, time.Second)
	fate := rapid.IntRange(0, fates-1).Draw(t, "fate")
	book.Answered(order, engine.give(t, order, book.Accepted, fate), now)
}

// used returns the models whose memory counts.
func used(book *Book) int {
	n := len(book.Models)
	if reserved := book.Reserved(); reserved != "" && book.Models[reserved] == nil {
		n++
	}
	return n
}
