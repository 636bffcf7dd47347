package endpoints

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"chestnutgauge/internal/peer/peerpb"
)

// Intervals of a publisher.
const (
	// minDeltaInterval is the minimum time between two deltas.
	minDeltaInterval = 50 * time.Millisecond
	// MaxDeltaInterval is the maximum time between two deltas.
	MaxDeltaInterval = 2 * time.Second
	// minLoadInterval and maxLoadInterval limit the time between two deltas
	// that carry load.
	minLoadInterval = 250 * time.Millisecond
	maxLoadInterval = 10 * time.Second
)

// Sizes from which the load interval is computed.
const (
	// loadBudget is the part of a node's budget of 29 KB/s for control traffic
	// that a publisher spends on load, in bytes per second.
	loadBudget = 10_000
	// changeBytes is the size of a change of load, and frameBytes the overhead
	// of a delta: gRPC, HTTP/2, TCP and IP headers.
	changeBytes = 24
	frameBytes  = 110
)

// LoadInterval returns the time between two deltas that carry load, chosen so
// that the deltas of all endpoints to all peers stay within loadBudget.
func LoadInterval(endpoints, peers int) time.Duration {
	bytes := peers * (frameBytes + endpoints*changeBytes)
	interval := time.Duration(float64(bytes) / loadBudget * float64(time.Second))
	return min(max(interval, minLoadInterval), maxLoadInterval)
}

// Published is an endpoint as its owner publishes it.
type Published interface {
	Name() string
	// Revision returns a number that differs after every change of the state,
	// and after the endpoint was lost and taken again.
	Revision() int64
	State() *peerpb.EndpointState
}

// Source provides the endpoints to publish.
type Source interface {
	// Published returns the endpoints and a channel that is closed at the next
	// change.
	Published() ([]Published, <-chan struct{})
}

// Publisher sends the endpoints of an owner as deltas to any number of streams.
type Publisher struct {
	source     Source
	controller string
	streams    atomic.Int32
	compact    compactStates
}

// NewPublisher returns a publisher. controller is the incarnation of the
// controller that owns the endpoints.
func NewPublisher(source Source, controller string) *Publisher {
	return &Publisher{source: source, controller: controller}
}

// Sender is the sending side of a stream.
type Sender interface {
	Send(*peerpb.EndpointDelta) error
	Context() context.Context
}

// Serve sends deltas until the stream ends: changes that affect whether an
// endpoint may be used within minDeltaInterval, load at the load interval, and
// an empty delta if nothing was sent for MaxDeltaInterval.
func (p *Publisher) Serve(stream Sender, withCached bool) error {
	p.streams.Add(1)
	defer p.streams.Add(-1)
	s := &streamState{compact: &p.compact, withCached: withCached, sent: map[string]*sentEndpoint{}}
	ctx := stream.Context()
	var lastLoad, lastSent time.Time
	for first := true; ; first = false {
		published, changed := p.source.Published()
		now := time.Now()
		interval := LoadInterval(len(published), int(p.streams.Load()))
		load := now.Sub(lastLoad) >= interval
		delta := s.delta(published, load)
		delta.Snapshot = first
		delta.Controller = p.controller
		if first || now.Sub(lastSent) >= MaxDeltaInterval || len(delta.GetChanged())+len(delta.GetRemoved()) > 0 {
			if err := stream.Send(delta); err != nil {
				return err
			}
			lastSent = now
		}
		if load {
			lastLoad = now
		}
		if err := wait(ctx, changed, nextWait(now, lastLoad.Add(interval), lastSent.Add(MaxDeltaInterval), s.loadPending)); err != nil {
			return err
		}
	}
}

// nextWait returns the time until the next delta is due: one with load if a
// change of load has been deferred, or an empty one.
func nextWait(now, load, keepAlive time.Time, loadPending bool) time.Duration {
	next := keepAlive
	if loadPending && load.Before(keepAlive) {
		next = load
	}
	return max(next.Sub(now), 0)
}

// wait waits for a change or until after has passed, but at least for
// minDeltaInterval.
func wait(ctx context.Context, changed <-chan struct{}, after time.Duration) error {
	if err := pause(ctx, nil, minDeltaInterval); err != nil {
		return err
	}
	return pause(ctx, changed, after-minDeltaInterval)
}

func pause(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// streamState holds the states last sent on one stream.
type streamState struct {
	compact    *compactStates
	withCached bool
	sent       map[string]*sentEndpoint
	nextIndex  uint32
	// loadPending means that a change of load has been deferred.
	loadPending bool
}

type sentEndpoint struct {
	index uint32
	// all and urgent are the versions of the compact state that was sent.
	all, urgent int64
	state       *peerpb.EndpointState
}

// delta returns the changes since the last delta and records them as sent.
func (s *streamState) delta(published []Published, load bool) *peerpb.EndpointDelta {
	delta := &peerpb.EndpointDelta{}
	present := make(map[string]bool, len(published))
	s.loadPending = false
	for _, endpoint := range published {
		present[endpoint.Name()] = true
		if change := s.change(endpoint, load); change != nil {
			delta.Changed = append(delta.Changed, change)
		}
	}
	for name := range s.sent {
		if !present[name] {
			delete(s.sent, name)
			delta.Removed = append(delta.Removed, name)
		}
	}
	if len(delta.Removed) > 0 {
		s.compact.retain(present)
	}
	slices.Sort(delta.Removed)
	return delta
}

func (s *streamState) change(endpoint Published, load bool) *peerpb.EndpointChange {
	current := s.compact.get(endpoint, s.withCached)
	sent, known := s.sent[endpoint.Name()]
	if !known {
		s.nextIndex++
		sent = &sentEndpoint{index: s.nextIndex}
		s.sent[endpoint.Name()] = sent
	}
	if known && sent.urgent == current.urgent && (!load || sent.all == current.all) {
		s.loadPending = s.loadPending || sent.all != current.all
		return nil
	}
	// An urgent change includes the load.
	change := Diff(sent.index, sent.state, current.state, true)
	sent.all, sent.urgent, sent.state = current.all, current.urgent, current.state
	return change
}
