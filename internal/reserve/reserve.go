// Package reserve keeps endpoints for the waiting requests that can use few others: requests that can
// go elsewhere do, and less urgent ones leave them the slots that become free. The caller passes the
// time in.
package reserve

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// MaxEndpoints is the number of endpoints up to which a waiting request claims them. Requests that
	// can use more find a slot as others do, and the claims stay small.
	MaxEndpoints = 8
	// claimTTL is the time for which a claim is in force after it was made: a few intervals in which
	// a waiting request tries again.
	claimTTL = 50 * time.Millisecond
	// recentTTL is the time for which requests that have a choice avoid an endpoint after it was
	// claimed: others that need it are likely to follow.
	recentTTL = 2 * time.Second
)

// Claim is a waiting request that finds no room.
type Claim struct {
	// Priority ranks requests: a lower value is more urgent.
	Priority int
	// Endpoints are the names of those that the request can use.
	Endpoints []string
	// At is when the claim was made.
	At time.Time
}

// Room is an endpoint that has room for a request.
type Room struct {
	Name string
	// Free is the number of free slots.
	Free float64
}

// Request is a request that chooses an endpoint.
type Request struct {
	Priority int
	// Usable is the number of endpoints that the request can use, with or without room.
	Usable int
}

// Left returns the names of the endpoints with room that a request leaves to others.
//
// A claim of an equally or more urgent request that can use fewer endpoints counts. If there is an
// endpoint with room that was not claimed lately, the request leaves all others. If not, it leaves
// as many slots of each as are claimed there by more urgent requests now.
func Left(req Request, room []Room, claims []Claim, now time.Time) []string {
	var claimed []string
	urgent := map[string]int{}
	for _, c := range claims {
		age := now.Sub(c.At)
		if c.Priority > req.Priority || len(c.Endpoints) >= req.Usable || age > recentTTL {
			continue
		}
		claimed = append(claimed, c.Endpoints...)
		if c.Priority < req.Priority && age <= claimTTL {
			for _, name := range c.Endpoints {
				urgent[name]++
			}
		}
	}
	if len(claimed) == 0 {
		return nil
	}
	var left, short []string
	for _, r := range room {
		if slices.Contains(claimed, r.Name) {
			left = append(left, r.Name)
		}
		if r.Free < float64(urgent[r.Name]+1) && urgent[r.Name] > 0 {
			short = append(short, r.Name)
		}
	}
	if len(left) < len(room) {
		return left
	}
	return short
}

// maxClaims bounds the claims that are kept for one service.
const maxClaims = 64

// Book holds the claims at one node. Its methods are safe for concurrent use.
type Book struct {
	mu sync.Mutex
	// services holds the claims of each service by request id.
	services map[string]map[string]Claim
}

// NewBook returns a book without claims.
func NewBook() *Book {
	return &Book{services: map[string]map[string]Claim{}}
}

// Claim records that a request finds no room at the endpoints that it can use.
func (b *Book) Claim(service, request string, claim Claim) {
	if len(claim.Endpoints) == 0 || len(claim.Endpoints) > MaxEndpoints {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	claims, ok := b.services[service]
	if !ok {
		claims = map[string]Claim{}
		b.services[service] = claims
	}
	if _, known := claims[request]; !known && len(claims) >= maxClaims {
		worst := leastImportant(claims, claim.At)
		if !claims[worst].lessImportant(claim, claim.At) {
			return
		}
		delete(claims, worst)
	}
	claims[request] = claim
}

// Release ends the claim of a request that no longer waits. Its endpoints stay those that were
// claimed lately.
func (b *Book) Release(service, request string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if claim, ok := b.services[service][request]; ok && now.Sub(claim.At) <= claimTTL {
		claim.At = now.Add(-claimTTL - 1)
		b.services[service][request] = claim
	}
}

// Claims returns the claims on endpoints of a service.
func (b *Book) Claims(service string, now time.Time) []Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	claims := b.services[service]
	dropOld(claims, now)
	if len(claims) == 0 {
		delete(b.services, service)
		return nil
	}
	return slices.Collect(maps.Values(claims))
}

// lessImportant reports whether c gives way to another claim: those of requests that no longer wait
// do, then the less urgent ones.
func (c Claim) lessImportant(other Claim, now time.Time) bool {
	if waits, otherWaits := now.Sub(c.At) <= claimTTL, now.Sub(other.At) <= claimTTL; waits != otherWaits {
		return otherWaits
	}
	if c.Priority != other.Priority {
		return c.Priority > other.Priority
	}
	return c.At.Before(other.At)
}

// leastImportant returns the request whose claim gives way to all others.
func leastImportant(claims map[string]Claim, now time.Time) (worst string) {
	first := true
	for request, claim := range claims {
		if first || claim.lessImportant(claims[worst], now) {
			worst, first = request, false
		}
	}
	return worst
}

// dropOld drops the claims that count no longer.
func dropOld(claims map[string]Claim, now time.Time) {
	maps.DeleteFunc(claims, func(_ string, claim Claim) bool { return now.Sub(claim.At) > recentTTL })
}
