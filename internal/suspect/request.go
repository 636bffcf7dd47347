package suspect

import (
	"slices"
	"time"
)

// Request identifies what a request runs. Requests that share a digest are assumed
// to have the same effect on an endpoint.
type Request struct {
	// Content identifies the whole request, but not the attempt.
	Content Digest
	// Parts are the parts of the prompt that other requests may share.
	Parts []Digest
	// Caller identifies who sent the request. No crash is blamed on it alone.
	Caller Digest
}

// digests returns what a crash can be blamed on.
func (r Request) digests() []Digest {
	return append([]Digest{r.Content}, r.Parts...)
}

// has reports whether a digest identifies the request, a part of it or its caller.
func (r Request) has(digest Digest) bool {
	return digest == r.Content || digest == r.Caller || slices.Contains(r.Parts, digest)
}

// maxCompanions is the number of companions that are stored for each crash.
const maxCompanions = 16

// companions returns the other digests of the request, to which a crash may be due
// instead of the one. The content has none, since requests with the same content have
// the same parts and caller.
func (r Request) companions(of Digest) []Digest {
	if of == r.Content {
		return nil
	}
	others := make([]Digest, 0, maxCompanions)
	for _, digest := range append([]Digest{r.Caller, r.Content}, r.Parts...) {
		if digest != of && len(others) < maxCompanions {
			others = append(others, digest)
		}
	}
	return others
}

// State is what is known of a request.
type State int

// States of a request.
const (
	// Unsuspected means that no crash is blamed on the request.
	Unsuspected State = iota
	// Suspected means that the request was on an endpoint that crashed, and may only
	// run while no other suspect is on its endpoint.
	Suspected
	// Blocked means that an endpoint crashed on which the request was the only
	// suspect, and no other request new, or two endpoints on which it was the only
	// suspect. The request may not run.
	Blocked
)

// Verdict is the state of a request and its reason.
type Verdict struct {
	State State
	// Digests are those that the state is due to.
	Digests []Digest
	// Repeated means that more than one crash counts against one of them.
	Repeated bool
	// Until is when a blocked request may run again as a suspect.
	Until time.Time
}

// Victim is a request that lost its connection to an endpoint that crashed.
type Victim struct {
	Request Request
	// Begun means that a part of the response had arrived, Alone that the request was
	// the only suspect on the endpoint.
	Begun bool
	Alone bool
}

// worst returns the verdict on a request with digests of both verdicts.
func (v Verdict) worst(other Verdict) Verdict {
	switch {
	case other.State > v.State:
		return other
	case other.State < v.State || v.State == Unsuspected:
		return v
	}
	v.Digests = append(v.Digests, other.Digests...)
	v.Repeated = v.Repeated || other.Repeated
	if other.Until.After(v.Until) {
		v.Until = other.Until
	}
	return v
}
