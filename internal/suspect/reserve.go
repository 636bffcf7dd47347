package suspect

import (
	"context"
	"time"
)

// reserveRetryInterval is the interval at which the reservation of an endpoint
// is retried while it is reserved for another suspect.
const reserveRetryInterval = 50 * time.Millisecond

// reservations holds the endpoints reserved for suspects, by this process and
// by peers that have requested them.
type reservations struct {
	own  map[string]*reservation
	peer map[string]peerReservation
}

// reservation is an endpoint that this process has reserved, or is requesting,
// for a suspect.
type reservation struct {
	// confirmed means that every peer that responded has granted it.
	confirmed bool
}

// peerReservation is an endpoint that a peer has reserved.
type peerReservation struct {
	router  string
	expires time.Time
}

func newReservations() *reservations {
	return &reservations{own: map[string]*reservation{}, peer: map[string]peerReservation{}}
}

// AskPeers requests an endpoint from all peers and reports whether each peer
// that responded has granted it.
type AskPeers func(ctx context.Context, endpoint string) bool

// Reserve waits until an endpoint is reserved for a suspect of this process and
// all peers that respond have granted the reservation. The caller must call
// done when the suspect has ended there. The only error is that of ctx.
//
// Mutual exclusion works in two phases: a process first records its own
// request, then asks all peers. Of two processes that request an endpoint
// concurrently, the one with the lower name gets it. A peer that does not
// respond in time is assumed to have no suspect at the endpoint.
func (t *Table) Reserve(ctx context.Context, endpoint string, ask AskPeers) (done func(), err error) {
	for {
		if t.reserveLocally(endpoint, time.Now()) {
			if ask(ctx, endpoint) {
				t.confirm(endpoint)
				return func() { t.release(endpoint) }, nil
			}
			t.release(endpoint)
		}
		select {
		case <-time.After(reserveRetryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reserveLocally records this process's request for an endpoint. It returns
// false if the endpoint is already reserved, here or by a peer.
func (t *Table) reserveLocally(endpoint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reserved.own[endpoint] != nil {
		return false
	}
	if peer, ok := t.reserved.peer[endpoint]; ok && now.Before(peer.expires) {
		return false
	}
	delete(t.reserved.peer, endpoint)
	t.reserved.own[endpoint] = &reservation{}
	return true
}

// confirm records that the peers have granted an endpoint.
func (t *Table) confirm(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reserved.own[endpoint].confirmed = true
}

// release removes this process's reservation of an endpoint.
func (t *Table) release(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.reserved.own, endpoint)
}

// Grant decides on the request of the named peer for an endpoint until expires,
// and records the reservation if it is granted. self is the name of this
// process.
func (t *Table) Grant(endpoint, self, peer string, expires, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if own := t.reserved.own[endpoint]; own != nil && (own.confirmed || self < peer) {
		return false
	}
	if current, ok := t.reserved.peer[endpoint]; ok && current.router != peer && now.Before(current.expires) {
		// Another peer has reserved the endpoint; it denies the request itself if
		// the reservation still exists.
		return true
	}
	if latest := now.Add(t.settings.TTL); expires.After(latest) {
		expires = latest
	}
	t.reserved.peer[endpoint] = peerReservation{router: peer, expires: expires}
	return true
}

// PeerReleased records that a peer has released an endpoint.
func (t *Table) PeerReleased(endpoint, peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reserved.peer[endpoint].router == peer {
		delete(t.reserved.peer, endpoint)
	}
}
