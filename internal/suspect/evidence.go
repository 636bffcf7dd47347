package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Weights of a crash as evidence against a digest. A request that crashes endpoints
// mostly does so before its response begins.
const (
	crashWeight      = 2
	begunCrashWeight = 1
)

// Limits of the evidence against a digest.
const (
	// maxCrashes is the number of crashes that are stored.
	maxCrashes = 8
	// crashRetention is how long a crash counts, aloneRetention the same if the
	// request was alone on its endpoint.
	crashRetention = 10 * time.Minute
	aloneRetention = 4 * time.Hour
	// firstBlock is how long a digest is blocked after a first crash alone. Each
	// further one multiplies the time by blockFactor.
	firstBlock  = 30 * time.Second
	blockFactor = 4
	maxBlock    = time.Hour
)

// crash is a crash of an endpoint as evidence against a digest.
type crash struct {
	// endpoint identifies one incarnation of the endpoint.
	endpoint string
	at       time.Time
	// begun means that a part of the responses to all requests with the digest had
	// arrived, alone that one of them was the only suspect on the endpoint, and beside
	// that a request with another content had no response there either.
	begun  bool
	alone  bool
	beside bool
	// with are the companions of the digest in all its requests on the endpoint.
	with []Digest
}

func (c crash) weight() int {
	if c.begun {
		return begunCrashWeight
	}
	return crashWeight
}

func (c crash) expired(now time.Time) bool {
	retention := crashRetention
	if c.alone {
		retention = aloneRetention
	}
	return now.Sub(c.at) > retention
}

// evidence is all evidence against a digest.
type evidence struct {
	// generation is the number of times that the digest was cleared, clearedAt when this
	// node last learned of that. crashes are those since.
	generation int64
	clearedAt  time.Time
	crashes    []crash
	// content means that the digest identifies a whole request.
	content bool
	// version is that of the registry when the evidence last changed, ownVersion the
	// same for changes by this node.
	version    int64
	ownVersion int64
}

// weight returns the weight of the crashes that count.
func (e *evidence) weight(now time.Time) int {
	sum := 0
	for _, c := range e.crashes {
		if !c.expired(now) {
			sum += c.weight()
		}
	}
	return sum
}

// crashesAlone returns the crashes that count in which a request with the digest was the
// only suspect on the endpoint.
func (e *evidence) crashesAlone(now time.Time) []crash {
	var alone []crash
	for _, c := range e.crashes {
		if c.alone && !c.expired(now) {
			alone = append(alone, c)
		}
	}
	return alone
}

// blockedUntil returns the end of the block due to the evidence, or zero without one. A
// single crash alone proves nothing if other requests had not begun there either.
func (e *evidence) blockedUntil(now time.Time) time.Time {
	alone := e.crashesAlone(now)
	if len(alone) == 0 || len(alone) == 1 && alone[0].beside {
		return time.Time{}
	}
	block := firstBlock
	last := alone[0].at
	for _, c := range alone[1:] {
		block = min(block*blockFactor, maxBlock)
		if c.at.After(last) {
			last = c.at
		}
	}
	return last.Add(block)
}

// index returns the index of the crash of an endpoint, or -1.
func (e *evidence) index(endpoint string) int {
	return slices.IndexFunc(e.crashes, func(c crash) bool { return c.endpoint == endpoint })
}

// add merges a crash and reports whether the evidence has changed. Merging is
// commutative and idempotent, so that the order in which nodes learn does not matter.
func (e *evidence) add(c crash, now time.Time) bool {
	i := e.index(c.endpoint)
	if i < 0 {
		return e.insert(c, now)
	}
	known := e.crashes[i]
	merged := known.merge(c)
	e.crashes[i] = merged
	return !merged.equal(known)
}

// merge returns the crash of one endpoint that two nodes saw, or two requests.
func (c crash) merge(other crash) crash {
	merged := c
	merged.begun = c.begun && other.begun
	merged.alone = c.alone || other.alone
	merged.beside = c.beside || other.beside
	merged.with = intersect(c.with, other.with)
	if other.at.Before(c.at) {
		merged.at = other.at
	}
	return merged
}

func (c crash) equal(other crash) bool {
	return c.begun == other.begun && c.alone == other.alone && c.beside == other.beside &&
		c.at.Equal(other.at) && len(c.with) == len(other.with)
}

// intersect returns the digests that are in both lists.
func intersect(a, b []Digest) []Digest {
	return slices.DeleteFunc(slices.Clone(a), func(d Digest) bool { return !slices.Contains(b, d) })
}

// companions returns what all requests with the digest had that were on endpoints whose
// crashes count.
func (e *evidence) companions(now time.Time) []Digest {
	var common []Digest
	first := true
	for _, c := range e.crashes {
		switch {
		case c.expired(now):
		case first:
			common, first = c.with, false
		default:
			common = intersect(common, c.with)
		}
	}
	return common
}

// insert adds the crash of an endpoint without one. If there are too many, the ones that
// prove most are kept.
func (e *evidence) insert(c crash, now time.Time) bool {
	if c.expired(now) {
		return false
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(known crash) bool { return known.expired(now) })
	e.crashes = append(e.crashes, c)
	if len(e.crashes) <= maxCrashes {
		return true
	}
	slices.SortFunc(e.crashes, compareProof)
	dropped := e.crashes[maxCrashes]
	e.crashes = e.crashes[:maxCrashes]
	return dropped.endpoint != c.endpoint
}

// compareProof orders crashes by what they prove, the strongest first. The order is the
// same at all nodes, so that all keep the same ones.
func compareProof(a, b crash) int {
	return cmp.Or(cmp.Compare(a.proof(), b.proof()), cmp.Compare(a.endpoint, b.endpoint))
}

// proof returns the rank of a crash, 0 for the strongest.
func (c crash) proof() int {
	switch {
	case c.alone:
		return 0
	case !c.begun:
		return 1
	}
	return 2
}

// expired reports whether the evidence has no effect any more, at any node.
func (e *evidence) expired(now time.Time) bool {
	live := slices.ContainsFunc(e.crashes, func(c crash) bool { return !c.expired(now) })
	return !live && now.Sub(e.clearedAt) > aloneRetention
}

// clear begins a new generation if there is a crash, and reports whether there is.
func (e *evidence) clear(now time.Time) bool {
	return len(e.crashes) > 0 && e.advance(e.generation+1, now)
}

// advance begins a later generation, and reports whether it is one.
func (e *evidence) advance(generation int64, now time.Time) bool {
	if generation <= e.generation {
		return false
	}
	e.generation, e.clearedAt, e.crashes = generation, now, nil
	return true
}
