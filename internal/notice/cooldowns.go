package notice

import (
	"maps"
	"sync"
	"time"
)

// Timing of a cooldown.
const (
	// MaxCooldown bounds the time that an endpoint can ask for.
	MaxCooldown = 5 * time.Minute
	// endJitter is the maximum time by which the end of a cooldown is delayed, so
	// that clients don't all return at once.
	endJitter = 100 * time.Millisecond
	// slowStartStep is the time after which the number of requests allowed since
	// the end of a cooldown doubles.
	slowStartStep = 50 * time.Millisecond
	// slowStartSteps is the number of steps after which requests are no longer
	// limited.
	slowStartSteps = 8
)

// cooldown is the cooldown of one endpoint, followed by a slow start.
type cooldown struct {
	end time.Time
	// sent is the number of requests sent since the end.
	sent int
}

// over reports whether requests are no longer limited.
func (c cooldown) over(now time.Time) bool {
	return now.Sub(c.end) >= slowStartSteps*slowStartStep
}

// nextRequest returns the earliest time at which another request may be sent:
// one at the end of the cooldown, and twice as many in all with each step after
// it.
func (c cooldown) nextRequest() time.Time {
	steps := 0
	for allowed := 1; allowed <= c.sent; allowed *= 2 {
		steps++
	}
	return c.end.Add(time.Duration(min(steps, slowStartSteps)) * slowStartStep)
}

// Cooldowns are the cooldowns of endpoints. The methods are safe for concurrent
// use.
type Cooldowns[K comparable] struct {
	mu        sync.Mutex
	endpoints map[K]cooldown
}

// NewCooldowns returns Cooldowns without an entry.
func NewCooldowns[K comparable]() *Cooldowns[K] {
	return &Cooldowns[K]{endpoints: map[K]cooldown{}}
}

// Start starts or extends the cooldown of an endpoint that asked for a time at
// now, and returns its end. jitter, from 0 to 1, delays the end.
func (c *Cooldowns[K]) Start(key K, asked time.Duration, now time.Time, jitter float64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.endpoints, func(_ K, known cooldown) bool { return known.over(now) })
	end := now.Add(min(asked, MaxCooldown) + time.Duration(jitter*float64(endJitter)))
	if known := c.endpoints[key].end; known.After(end) {
		end = known
	}
	c.endpoints[key] = cooldown{end: end}
	return end
}

// TrySend reports whether a request may be sent to an endpoint now, and counts it if
// so.
func (c *Cooldowns[K]) TrySend(key K, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.endpoints[key]
	if !ok || known.over(now) {
		return true
	}
	if known.nextRequest().After(now) {
		return false
	}
	known.sent++
	c.endpoints[key] = known
	return true
}

// State is what holds for an endpoint at a time.
type State struct {
	// Until is the time until which no request may be sent, or zero if one may be
	// sent now.
	Until time.Time
	// AvailableAt is when one is expected to be possible, or zero if one may be sent
	// now. It is not before Until.
	AvailableAt time.Time
	// Limited reports that requests are limited: the endpoint is in cooldown or in
	// the slow start after it.
	Limited bool
}

// State returns the state of an endpoint.
func (c *Cooldowns[K]) State(key K, now time.Time) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.endpoints[key]
	if !ok || known.over(now) {
		return State{}
	}
	state := State{Limited: true}
	if next := known.nextRequest(); next.After(now) {
		state.Until = next
		state.AvailableAt = next
	}
	return state
}
