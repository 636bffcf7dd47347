package suspect

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

// Weights of the evidence from which a digest is suspected. trustedWeight applies if a
// response with it was completed within trustTime.
const (
	suspectWeight = 2
	trustedWeight = 6
	trustTime     = time.Minute
)

// Limits of a Registry.
const (
	registrySize = 1024
	// trustedSize is the number of digests of completed responses that are stored.
	trustedSize = 8192
	// unansweredSize is the number of crashed endpoints for which requests without a
	// response are stored, maxUnanswered the number of these requests.
	unansweredSize = 256
	maxUnanswered  = 2
	// maxBlamed is the number of digests of one request that a crash is blamed on.
	maxBlamed = 64
)

// Registry holds what all nodes know of the digests that were on endpoints when these
// crashed. Its size is bounded. Its methods are safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	marks *lru.Cache[Digest, *evidence]
	// trusted is when a response with a digest was last completed at this node.
	trusted *lru.Cache[Digest, time.Time]
	// unanswered are the requests without a response on an endpoint when it crashed.
	unanswered *lru.Cache[string, []Digest]
	// first is the version of the empty registry. It is random, so that those of two
	// processes differ.
	first   int64
	version int64
	// ownChanged receives a value when this node has changed the evidence.
	ownChanged chan struct{}
	changed    chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	// The only error of New is a size below 1.
	marks, _ := lru.New[Digest, *evidence](registrySize)
	trusted, _ := lru.New[Digest, time.Time](trustedSize)
	unanswered, _ := lru.New[string, []Digest](unansweredSize)
	first := 1 + rand.Int64N(1<<53)
	return &Registry{
		marks:      marks,
		trusted:    trusted,
		unanswered: unanswered,
		first:      first,
		version:    first,
		ownChanged: make(chan struct{}, 1),
		changed:    make(chan struct{}),
	}
}

// Len returns the number of digests with evidence.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.marks.Len()
}

// OwnChanged returns a channel that receives a value when this node has learned of a
// crash, or that a suspect's response was completed.
func (r *Registry) OwnChanged() <-chan struct{} {
	return r.ownChanged
}

// Watch returns a channel that is closed when the evidence changes.
func (r *Registry) Watch() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Check returns what is known of a request.
func (r *Registry) Check(req Request, now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var verdict Verdict
	if r.marks.Len() == 0 {
		return verdict
	}
	for _, digest := range req.digests() {
		e, ok := r.marks.Get(digest)
		if !ok {
			continue
		}
		verdict = verdict.worst(r.verdict(req, digest, e, now))
	}
	return verdict
}

// verdict returns the state of a request due to the evidence against one of its
// digests. The caller holds mu.
func (r *Registry) verdict(req Request, digest Digest, e *evidence, now time.Time) Verdict {
	until := e.blockedUntil(now)
	weight := e.weight(now)
	threshold := suspectWeight
	if r.trusts(digest, now) {
		threshold = trustedWeight
	}
	switch {
	case weight < threshold:
		return Verdict{}
	case now.Before(until) && r.explains(req, e, now):
		return Verdict{State: Blocked, Digests: []Digest{digest}, Repeated: true, Until: until}
	}
	return Verdict{State: Suspected, Digests: []Digest{digest}, Repeated: weight > crashWeight}
}

// explains reports whether a request has all that the crashes in the evidence may be due
// to. If not, it may be harmless although it has the digest. The caller holds mu.
func (r *Registry) explains(req Request, e *evidence, now time.Time) bool {
	return !slices.ContainsFunc(e.companions(now), func(companion Digest) bool {
		return !req.has(companion) && !r.harmless(companion, now)
	})
}

// harmless reports whether a response with a digest was completed recently, here or after
// the crashes that it was blamed for. The caller holds mu.
func (r *Registry) harmless(digest Digest, now time.Time) bool {
	if r.trusts(digest, now) {
		return true
	}
	e, ok := r.marks.Peek(digest)
	return ok && e.weight(now) == 0
}

// trusts reports whether a response with a digest was completed within trustTime, at this
// node or, after a crash, at any. The caller holds mu.
func (r *Registry) trusts(digest Digest, now time.Time) bool {
	if at, ok := r.trusted.Peek(digest); ok && now.Sub(at) <= trustTime {
		return true
	}
	e, ok := r.marks.Peek(digest)
	return ok && !e.content && e.generation > 0 && now.Sub(e.clearedAt) <= trustTime
}

// Crashed records the requests that were on an endpoint when it crashed, and returns
// their verdicts now.
func (r *Registry) Crashed(endpoint string, victims []Victim, now time.Time) []Verdict {
	r.mu.Lock()
	changed := false
	for _, victim := range victims {
		for _, digest := range r.blamed(victim.Request, now) {
			c := crash{
				endpoint: endpoint,
				at:       now,
				begun:    victim.Begun,
				alone:    victim.Alone,
				with:     victim.Request.companions(digest),
			}
			e := r.evidence(digest, digest == victim.Request.Content)
			changed = r.add(digest, e, c, now, true) || changed
		}
	}
	if changed {
		r.notify(true)
	}
	r.mu.Unlock()
	verdicts := make([]Verdict, 0, len(victims))
	for _, victim := range victims {
		verdicts = append(verdicts, r.Check(victim.Request, now))
	}
	return verdicts
}

// blamed returns the digests of a request that a crash is blamed on. If it has too many
// parts, those that are trusted are left out first. The caller holds mu.
func (r *Registry) blamed(req Request, now time.Time) []Digest {
	digests := req.digests()
	if len(digests) <= maxBlamed {
		return digests
	}
	trusted := func(digest Digest) bool { return r.trusts(digest, now) }
	untrusted := slices.DeleteFunc(slices.Clone(digests), trusted)
	return untrusted[:min(maxBlamed, len(untrusted))]
}

// evidence returns the evidence against a digest, and stores it if there was none. The
// caller holds mu.
func (r *Registry) evidence(digest Digest, content bool) *evidence {
	e, ok := r.marks.Get(digest)
	if !ok {
		e = &evidence{content: content}
		r.marks.Add(digest, e)
	}
	return e
}

// add merges a crash into the evidence against a digest. The caller holds mu.
func (r *Registry) add(digest Digest, e *evidence, c crash, now time.Time, own bool) bool {
	if e.content && !c.begun {
		r.addUnanswered(c.endpoint, digest)
	}
	unanswered, _ := r.unanswered.Peek(c.endpoint)
	c.beside = c.beside || len(unanswered) > 1
	if !e.add(c, now) {
		return false
	}
	r.bump(e, own)
	return true
}

// addUnanswered records a request without a response on an endpoint when it crashed.
// The caller holds mu.
func (r *Registry) addUnanswered(endpoint string, content Digest) {
	known, _ := r.unanswered.Get(endpoint)
	if len(known) >= maxUnanswered || slices.Contains(known, content) {
		return
	}
	known = append(slices.Clone(known), content)
	r.unanswered.Add(endpoint, known)
	if len(known) > 1 {
		r.markBeside(endpoint)
	}
}

// markBeside records that several requests had not begun on an endpoint when it crashed,
// in all evidence about that crash. The caller holds mu.
func (r *Registry) markBeside(endpoint string) {
	for _, e := range r.marks.Values() {
		i := e.index(endpoint)
		if i < 0 || e.crashes[i].beside {
			continue
		}
		e.crashes[i].beside = true
		r.bump(e, true)
	}
}

// bump gives evidence that has changed a new version. The caller holds mu.
func (r *Registry) bump(e *evidence, own bool) {
	r.version++
	e.version = r.version
	if own {
		e.ownVersion = r.version
	}
}

// notify tells those who wait for a change. The caller holds mu.
func (r *Registry) notify(own bool) {
	close(r.changed)
	r.changed = make(chan struct{})
	if !own {
		return
	}
	select {
	case r.ownChanged <- struct{}{}:
	default:
	}
}

// Answered records that a response to a request was completed, and reports whether that
// clears it of a crash.
func (r *Registry) Answered(req Request, now time.Time) (cleared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range req.Parts {
		r.trusted.Add(part, now)
	}
	for _, digest := range req.digests() {
		e, ok := r.marks.Peek(digest)
		if !ok || !e.clear(now) {
			continue
		}
		cleared = true
		r.bump(e, true)
	}
	if cleared {
		r.notify(true)
	}
	return cleared
}
