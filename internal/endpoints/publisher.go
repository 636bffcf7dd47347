package endpoints

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"chestnutgauge/internal/peer/peerpb"
)

// Times of a publisher.
const (
	// urgentInterval is the shortest time between two deltas.
	urgentInterval = 50 * time.Millisecond
	// BeatInterval is the longest time between two deltas.
	BeatInterval = 2 * time.Second
	// minLoadInterval and maxLoadInterval bound the time between two deltas
	// that carry load.
	minLoadInterval = 250 * time.Millisecond
	maxLoadInterval = 10 * time.Second
)

// Sizes that the load interval is worked out from.
const (
	// loadBudget is the part of a node's 29 KB/s for control that a publisher
	// spends on load, in bytes a second.
	loadBudget = 10_000
	// changeBytes and frameBytes are the size of a change of load and of what
	// carries a delta: gRPC, HTTP/2, TCP and IP headers.
	changeBytes = 24
	frameBytes  = 110
)

// LoadInterval returns the time between two deltas that carry load, so that
// the deltas of all endpoints to all peers stay within the budget.
func LoadInterval(endpoints, peers int) time.Duration {
	bytes := peers * (frameBytes + endpoints*changeBytes)
	interval := time.Duration(float64(bytes) / loadBudget * float64(time.Second))
	return min(max(interval, minLoadInterval), maxLoadInterval)
}

// Published is one endpoint as its owner publishes it.
type Published interface {
	Name() string
	// Revision differs after every change of the state, also after the
	// endpoint was lost and taken again.
	Revision() int64
	State() *peerpb.EndpointState
}

// Source is what a publisher publishes.
type Source interface {
	// Published returns the endpoints and a channel that is closed at the next
	// change.
	Published() ([]Published, <-chan struct{})
}

// Publisher sends the endpoints of an owner as deltas.
type Publisher struct {
	source     Source
	controller string
	streams    atomic.Int32
	coarse     coarseStates
}

// NewPublisher returns a publisher of the controller of an incarnation.
func NewPublisher(source Source, controller string) *Publisher {
	return &Publisher{source: source, controller: controller}
}

// Sender is the sending side of a stream.
type Sender interface {
	Send(*peerpb.EndpointDelta) error
	Context() context.Context
}

// Serve sends deltas until the stream ends: changes that decide whether an
// endpoint may be used within urgentInterval, load at the load interval, and
// an empty delta when there was nothing for BeatInterval.
func (p *Publisher) Serve(stream Sender, withCached bool) error {
	p.streams.Add(1)
	defer p.streams.Add(-1)
	s := &sending{coarse: &p.coarse, withCached: withCached, sent: map[string]*sentEndpoint{}}
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
		if first || now.Sub(lastSent) >= BeatInterval || len(delta.GetChanged())+len(delta.GetRemoved()) > 0 {
			if err := stream.Send(delta); err != nil {
				return err
			}
			lastSent = now
		}
		if load {
			lastLoad = now
		}
		if err := wait(ctx, changed, nextLook(now, lastLoad.Add(interval), lastSent.Add(BeatInterval), s.pending)); err != nil {
			return err
		}
	}
}

// nextLook returns the time until the load or the beat is due.
func nextLook(now, load, beat time.Time, pending bool) time.Duration {
	next := beat
	if pending && load.Before(beat) {
		next = load
	}
	return max(next.Sub(now), 0)
}

// wait waits for a change or until after, but at least urgentInterval.
func wait(ctx context.Context, changed <-chan struct{}, after time.Duration) error {
	if err := pause(ctx, nil, urgentInterval); err != nil {
		return err
	}
	return pause(ctx, changed, after-urgentInterval)
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

// sending is what one stream has sent.
type sending struct {
	coarse     *coarseStates
	withCached bool
	sent       map[string]*sentEndpoint
	nextIndex  uint32
	// pending means that a change of load was held back.
	pending bool
}

type sentEndpoint struct {
	index uint32
	// all and urgent are the versions of the coarse state that was sent.
	all, urgent int64
	state       *peerpb.EndpointState
}

// delta collects what changed, and takes it as sent.
func (s *sending) delta(published []Published, load bool) *peerpb.EndpointDelta {
	delta := &peerpb.EndpointDelta{}
	present := make(map[string]bool, len(published))
	s.pending = false
	for _, one := range published {
		present[one.Name()] = true
		if change := s.change(one, load); change != nil {
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
		s.coarse.keep(present)
	}
	slices.Sort(delta.Removed)
	return delta
}

func (s *sending) change(one Published, load bool) *peerpb.EndpointChange {
	now := s.coarse.of(one, s.withCached)
	sent, known := s.sent[one.Name()]
	if !known {
		s.nextIndex++
		sent = &sentEndpoint{index: s.nextIndex}
		s.sent[one.Name()] = sent
	}
	if known && sent.urgent == now.urgent && (!load || sent.all == now.all) {
		s.pending = s.pending || sent.all != now.all
		return nil
	}
	// With an urgent change the load goes along.
	change := Diff(sent.index, sent.state, now.state, true)
	sent.all, sent.urgent, sent.state = now.all, now.urgent, now.state
	return change
}
