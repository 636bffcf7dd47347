package load

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Settings of the durations that are expected.
const (
	// durationSamples is the number of durations that are kept of each kind of work.
	durationSamples = 64
	// durationAge is the age up to which a duration counts.
	durationAge = 5 * time.Minute
	// durationQuantile is the quantile of the durations that is expected. Of all that are kept it
	// leaves out the longest one, which a single failure may have caused.
	durationQuantile = 0.98
	// enoughSamples is the number of durations from which the smaller factor applies.
	enoughSamples = 20
	// knownFactor and littleKnownFactor are the parts of the quantile that are expected, as the next
	// request may take longer than any so far.
	knownFactor       = 1.25
	littleKnownFactor = 2
	// durationMargin is added for the time that the response takes to the caller.
	durationMargin = 200 * time.Millisecond
	// fixedTokens are added to the tokens of two requests that are compared, so that a short one says
	// little of a long one.
	fixedTokens = 16
)

// Work is a kind of work whose requests take similar times. Model is empty for plain services.
type Work struct {
	Service string
	Model   string
	Route   string
}

// similar are the kinds of work whose durations count for another one, the most similar ones first.
var similar = []func(a, b Work) bool{
	func(a, b Work) bool { return a == b },
	func(a, b Work) bool { return a.Service == b.Service && a.Model == b.Model },
	func(a, b Work) bool { return a.Service == b.Service },
}

// Durations records how long the requests of each kind of work took of late, and how long those in
// progress have taken so far. Its methods are safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	kinds map[Work]*durations
}

// NewDurations returns Durations of which nothing is known.
func NewDurations() *Durations {
	return &Durations{kinds: map[Work]*durations{}}
}

// durations are those of one kind of work.
type durations struct {
	// ended is a ring of the last durations, next the index of the oldest one if it is full.
	ended   []duration
	next    int
	running map[*Timing]struct{}
}

// duration is how long a request took until its response began, and from then to its end.
type duration struct {
	first, rest time.Duration
	tokens      int
	at          time.Time
}

// Timing is a request in progress.
type Timing struct {
	owner  *Durations
	work   Work
	tokens int
	began  time.Time
}

// Begin records that a request began. tokens is the length of the response that it asks for, or 0.
func (d *Durations) Begin(work Work, tokens int, now time.Time) *Timing {
	t := &Timing{owner: d, work: work, tokens: tokens, began: now}
	d.mu.Lock()
	defer d.mu.Unlock()
	kind := d.kinds[work]
	if kind == nil {
		d.prune(now)
		kind = &durations{running: map[*Timing]struct{}{}}
		d.kinds[work] = kind
	}
	kind.running[t] = struct{}{}
	return t
}

// End ends a request whose response began at a time, and is whole now.
func (t *Timing) End(first, now time.Time) {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if kind := t.remove(); kind != nil {
		kind.add(duration{first: first.Sub(t.began), rest: now.Sub(first), tokens: t.tokens, at: now})
	}
}

// Drop ends a request whose duration says nothing of others. It has no effect after End.
func (t *Timing) Drop() {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	t.remove()
}

// remove ends the request and returns its kind, or nil if it had ended before. The caller holds mu.
func (t *Timing) remove() *durations {
	kind := t.owner.kinds[t.work]
	if kind == nil {
		return nil
	}
	if _, running := kind.running[t]; !running {
		return nil
	}
	delete(kind.running, t)
	return kind
}

// add adds a duration to the ring.
func (k *durations) add(sample duration) {
	if len(k.ended) < durationSamples {
		k.ended = append(k.ended, sample)
		return
	}
	k.ended[k.next] = sample
	k.next = (k.next + 1) % durationSamples
}

// of returns how long a response of a length would have taken.
func (s duration) of(tokens int) time.Duration {
	if tokens <= 0 || s.tokens <= 0 {
		return s.first + s.rest
	}
	scale := float64(tokens+fixedTokens) / float64(s.tokens+fixedTokens)
	return s.first + time.Duration(scale*float64(s.rest))
}

// Expected returns the time within which nearly every request of a kind of work ends that begins now.
// known is false if nothing is known of the service. Without enough requests, those on other routes count
// as well, and then those of other models; it takes no less than the work's own requests may.
func (d *Durations) Expected(work Work, tokens int, now time.Time) (expected time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ended, running []observation
	for _, counts := range similar {
		ended, running = d.observations(func(other Work) bool { return counts(work, other) }, tokens, now)
		if len(ended) > 0 {
			expected = max(expected, expectedBy(ended, running, now))
		}
		if len(ended) >= enoughSamples {
			break
		}
	}
	return expected, len(ended) > 0
}

// expectedBy returns the time within which nearly every request ends that begins now, by others like it.
func expectedBy(ended, running []observation, now time.Time) time.Duration {
	times := sortedTimes(slices.Concat(ended, running))
	longest := times[int(math.Ceil(durationQuantile*float64(len(times))))-1]
	factor := knownFactor
	if len(ended) < enoughSamples {
		factor = littleKnownFactor
	}
	return time.Duration(factor*float64(longest+growth(ended, now))) + durationMargin
}

// observations returns the durations of some kinds of work that count.
func (d *Durations) observations(counts func(Work) bool, tokens int, now time.Time) (ended, running []observation) {
	for work, kind := range d.kinds {
		if counts(work) {
			endedThere, runningThere := kind.observations(tokens, now)
			ended, running = append(ended, endedThere...), append(running, runningThere...)
		}
	}
	return ended, running
}

// observations returns the durations that count for a request that asks for a number of tokens: of
// requests that have ended, and of those in progress the time so far if that is longer than any of these.
func (k *durations) observations(tokens int, now time.Time) (ended, running []observation) {
	var longest time.Duration
	for _, sample := range k.ended {
		if now.Sub(sample.at) <= durationAge {
			took := sample.of(tokens)
			longest = max(longest, took)
			ended = append(ended, observation{sample.at.Add(-sample.first - sample.rest), took})
		}
	}
	for t := range k.running {
		if elapsed := now.Sub(t.began); elapsed > longest {
			running = append(running, observation{t.began, elapsed})
		}
	}
	return ended, running
}

// prune deletes the kinds of work that have had no request of late. The caller holds mu.
func (d *Durations) prune(now time.Time) {
	for work, kind := range d.kinds {
		recent := func(s duration) bool { return now.Sub(s.at) <= durationAge }
		if len(kind.running) == 0 && !slices.ContainsFunc(kind.ended, recent) {
			delete(d.kinds, work)
		}
	}
}
