package era

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/monotime"
)

// Errors of an answer that must not change what is known of the store.
var (
	// ErrOlder means that the answer belongs to an older era than one already
	// seen.
	ErrOlder = errors.New("era: answer of an older era")
	// ErrUnreadable means that the answer states no valid era.
	ErrUnreadable = errors.New("era: answer without a valid era")
)

// Known is what the answers so far say about the era of a store.
type Known struct {
	// Any is true after the first answer that counts.
	Any bool
	// Stated is true after the first answer that states an era. Before that, an
	// answer without one belongs to era 0.
	Stated bool
	// Era is the highest era seen.
	Era int64
}

// maxRise bounds by how much the era may rise at once. A value beyond it is
// corrupt: if it counted, all later answers would be dropped as older ones.
const maxRise = 1000

// Next returns what is known after an answer, or ErrOlder or ErrUnreadable if the
// answer doesn't count.
func (k Known) Next(reading Reading) (Known, error) {
	missing := reading.State == Missing && k.Stated
	if reading.State == Invalid || reading.Era < 0 || missing {
		return k, ErrUnreadable
	}
	if k.Any && reading.Era < k.Era {
		return k, ErrOlder
	}
	if k.Any && reading.Era > k.Era+maxRise {
		return k, ErrUnreadable
	}
	stated := k.Stated || reading.State == Stated
	return Known{Any: true, Stated: stated, Era: reading.Era}, nil
}

// logInterval is the shortest time between two log lines about unreadable
// answers.
const logInterval = time.Minute

// Tracker follows the era of a store over its answers. Its methods are safe for
// concurrent use.
type Tracker struct {
	log *slog.Logger

	mu     sync.Mutex
	known  Known
	onRise []func(from, to int64)

	answered   monotime.Mark
	unreadable monotime.Mark
}

// NewTracker returns a tracker that has seen no answer.
func NewTracker(log *slog.Logger) *Tracker {
	return &Tracker{log: log}
}

// OnRise registers a function that is called when the era rises, before the
// answer that showed it is used. It must not block.
func (t *Tracker) OnRise(call func(from, to int64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRise = append(t.onRise, call)
}

// Era returns the highest era seen, 0 before the first answer.
func (t *Tracker) Era() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known.Era
}

// AnswerAge returns the time since the last answer that counted, or false if
// there was none.
func (t *Tracker) AnswerAge() (time.Duration, bool) {
	return t.answered.Age(monotime.Now())
}

// Observe records the era of an answer and returns it. It returns ErrOlder or
// ErrUnreadable if the answer must not change what is known of the store.
func (t *Tracker) Observe(reading Reading) (int64, error) {
	before, next, err := t.advance(reading)
	if err != nil {
		t.recordDropped(err, before.Era)
		return 0, err
	}
	t.answered.Set(monotime.Now())
	if before.Any && next.Era > before.Era {
		t.announce(before.Era, next.Era)
	}
	return next.Era, nil
}

// Learn records the era that another node has seen.
func (t *Tracker) Learn(number int64) {
	if number <= t.Era() {
		return
	}
	before, next, err := t.advance(Reading{State: Stated, Era: number})
	if err != nil {
		t.recordDropped(err, before.Era)
		return
	}
	if before.Any && next.Era > before.Era {
		t.announce(before.Era, next.Era)
	}
}

func (t *Tracker) advance(reading Reading) (before, next Known, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.known
	next, err = before.Next(reading)
	t.known = next
	return before, next, err
}

// announce calls the functions that are registered for a rise.
func (t *Tracker) announce(from, to int64) {
	t.mu.Lock()
	calls := t.onRise
	t.mu.Unlock()
	for _, call := range calls {
		call(from, to)
	}
}

// recordDropped counts an answer that doesn't count, and logs it if it is
// unreadable and none was logged within logInterval.
func (t *Tracker) recordDropped(err error, known int64) {
	if errors.Is(err, ErrOlder) {
		metrics.GetOrCreateCounter(`chestnut_store_answers_dropped_total{reason="older_era"}`).Inc()
		return
	}
	metrics.GetOrCreateCounter(`chestnut_store_answers_dropped_total{reason="era_unreadable"}`).Inc()
	now := monotime.Now()
	if age, logged := t.unreadable.Age(now); logged && age < logInterval {
		return
	}
	t.unreadable.Set(now)
	t.log.Warn("answer of the store dropped", "error", err, "era", known)
}
