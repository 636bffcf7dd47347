package suspect

import (
	"context"
	"time"
)

// occupyPause is the time between two looks at an endpoint that another
// suspect occupies.
const occupyPause = 50 * time.Millisecond

// occupations are the endpoints at which suspects run: those of this process,
// and those that peers have told of.
type occupations struct {
	own  map[string]*occupation
	peer map[string]peerOccupation
}

// occupation is an endpoint that a suspect of this process has or asks for.
type occupation struct {
	// confirmed means that every peer that answers has granted it.
	confirmed bool
}

type peerOccupation struct {
	router  string
	expires time.Time
}

func newOccupations() *occupations {
	return &occupations{own: map[string]*occupation{}, peer: map[string]peerOccupation{}}
}

// Ask asks all peers for an endpoint and reports whether each that answered
// has granted it.
type Ask func(ctx context.Context, endpoint string) bool

// Occupy waits until this process's suspect is the only one at an endpoint, by
// the word of the peers. leave must be called when the suspect has ended there.
// It returns the error of ctx.
//
// Mutual exclusion is that of two-phase announcing: a process first notes that
// it asks, then asks all. Of two that ask at the same time the one of the lower
// name goes first. A peer that does not answer in time is taken to have no
// suspect there.
func (t *Table) Occupy(ctx context.Context, endpoint string, ask Ask) (leave func(), err error) {
	for {
		if t.reserve(endpoint, time.Now()) {
			if ask(ctx, endpoint) {
				t.confirm(endpoint)
				return func() { t.release(endpoint) }, nil
			}
			t.release(endpoint)
		}
		select {
		case <-time.After(occupyPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (t *Table) reserve(endpoint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.occupied.own[endpoint] != nil {
		return false
	}
	if peer, ok := t.occupied.peer[endpoint]; ok && now.Before(peer.expires) {
		return false
	}
	delete(t.occupied.peer, endpoint)
	t.occupied.own[endpoint] = &occupation{}
	return true
}

func (t *Table) confirm(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.occupied.own[endpoint].confirmed = true
}

func (t *Table) release(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.occupied.own, endpoint)
}

// Grant answers a peer, called peer, that asks for an endpoint until expires.
// self is the name of this process.
func (t *Table) Grant(endpoint, self, peer string, expires, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if own := t.occupied.own[endpoint]; own != nil && (own.confirmed || self < peer) {
		return false
	}
	if have, ok := t.occupied.peer[endpoint]; ok && have.router != peer && now.Before(have.expires) {
		// Another peer has it, and denies it itself if it still does.
		return true
	}
	if latest := now.Add(t.settings.Keep); expires.After(latest) {
		expires = latest
	}
	t.occupied.peer[endpoint] = peerOccupation{router: peer, expires: expires}
	return true
}

// Left notes that a peer's suspect has ended at an endpoint.
func (t *Table) Left(endpoint, peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.occupied.peer[endpoint].router == peer {
		delete(t.occupied.peer, endpoint)
	}
}
