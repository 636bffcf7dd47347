// Package placement selects the engine to load a model on: filters exclude
// engines that cannot hold the model, scorers assign expected costs in seconds
// to each remaining engine, and the engine with the lowest total is selected.
// The package works on a snapshot and does no I/O.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutgauge/internal/engine"
)

// Candidate is an engine as its owner last reported it.
type Candidate struct {
	Name       string
	DataCentre string
	// Usable is false while the engine is unreachable, leaving or drained.
	Usable      bool
	MemoryTotal int64
	MemoryUsed  int64
	// Evictable is the part of MemoryUsed that is used by idle models, in bytes,
	// EvictableModels the number of these models.
	Evictable       int64
	EvictableModels int
	// Tier is where the engine stores the model's checkpoint.
	Tier            engine.Tier
	TokensPerSecond float64
	// Running and Queued are the numbers of requests that the engine reports.
	Running int
	Queued  int
	// Loading is the number of loads in progress.
	Loading int
	// Replicas is the number of the model's slots in the engine's data centre.
	Replicas int
}

// Request is the model to place.
type Request struct {
	Model           string
	MemoryBytes     int64
	CheckpointBytes int64
	// DataCentre is the callers' data centre.
	DataCentre string
	// Avoid lists engines that must not be used.
	Avoid []string
}

// Settings are the parameters of the scorers.
type Settings struct {
	// RemoteBytesPerSecond is the expected throughput of the weight store.
	RemoteBytesPerSecond float64
	// DiskBytesPerSecond is the expected throughput of an engine's local disk.
	DiskBytesPerSecond float64
	// StartTime is the part of the load time that does not depend on the tier.
	StartTime time.Duration
	// EvictionCost is the expected wait caused later by evicting one model.
	EvictionCost time.Duration
	// LoadQueueTime is the delay added by each load in progress.
	LoadQueueTime time.Duration
	// ReplicaCost is added for each replica in the same data centre, so that
	// replicas are spread over data centres.
	ReplicaCost time.Duration
	// DistanceCost is added for engines outside the callers' data centre.
	DistanceCost time.Duration
	// ExpectedTokens is the number of tokens that the model is expected to
	// generate while it is loaded.
	ExpectedTokens float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		RemoteBytesPerSecond: 1e9,
		DiskBytesPerSecond:   4e9,
		StartTime:            500 * time.Millisecond,
		EvictionCost:         500 * time.Millisecond,
		LoadQueueTime:        500 * time.Millisecond,
		ReplicaCost:          5 * time.Second,
		DistanceCost:         200 * time.Millisecond,
		ExpectedTokens:       200,
	}
}

// Filter reports whether an engine can take the model.
type Filter func(Request, Candidate) bool

// Scorer returns the expected cost of an engine in seconds.
type Scorer func(Settings, Request, Candidate) float64

// Policy is a set of filters and scorers.
type Policy struct {
	Settings Settings
	Filters  []Filter
	Scorers  []Scorer
}

// ByTier returns the policy that weighs checkpoint tier, speed, memory, load
// and spread.
func ByTier(settings Settings) Policy {
	return Policy{
		Settings: settings,
		Filters:  []Filter{IsUsable, NotAvoided, Fits},
		Scorers:  []Scorer{LoadTime, Eviction, Work, Load, Spread},
	}
}

// ByFreeMemory returns the policy that selects the engine with the most free
// memory. It is the baseline in benchmarks.
func ByFreeMemory(settings Settings) Policy {
	return Policy{
		Settings: settings,
		Filters:  []Filter{IsUsable, NotAvoided, Fits},
		Scorers:  []Scorer{FreeMemory},
	}
}

// Choice is a selected engine and its cost.
type Choice struct {
	Candidate Candidate
	// Cost is the expected cost in seconds.
	Cost float64
}

// Pick returns the candidate with the lowest cost, or false if no candidate
// passes the filters. Ties are broken by a hash of model and engine, so that
// models are spread over equal engines.
func (p Policy) Pick(req Request, candidates []Candidate) (Choice, bool) {
	var choices []Choice
	for _, candidate := range candidates {
		if p.passes(req, candidate) {
			choices = append(choices, Choice{candidate, p.cost(req, candidate)})
		}
	}
	if len(choices) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(choices, func(a, b Choice) int {
		if c := cmp.Compare(a.Cost, b.Cost); c != 0 {
			return c
		}
		return cmp.Compare(tieBreaker(req, a), tieBreaker(req, b))
	})
	return best, true
}

// passes reports whether a candidate passes all filters.
func (p Policy) passes(req Request, candidate Candidate) bool {
	for _, filter := range p.Filters {
		if !filter(req, candidate) {
			return false
		}
	}
	return true
}

// cost returns the sum of all scorers, in seconds.
func (p Policy) cost(req Request, candidate Candidate) float64 {
	var sum float64
	for _, score := range p.Scorers {
		sum += score(p.Settings, req, candidate)
	}
	return sum
}

// tieBreaker returns the hash that breaks ties.
func tieBreaker(req Request, choice Choice) uint64 {
	return xxhash.Sum64String(req.Model + "\x00" + choice.Candidate.Name)
}

// IsUsable is the filter for engines that accept new work.
func IsUsable(_ Request, c Candidate) bool {
	return c.Usable
}

// NotAvoided is the filter for engines that are not on the avoid list.
func NotAvoided(req Request, c Candidate) bool {
	return !slices.Contains(req.Avoid, c.Name)
}

// Fits is the filter for engines with enough memory once idle models are
// evicted.
func Fits(req Request, c Candidate) bool {
	return c.MemoryTotal-c.MemoryUsed+c.Evictable >= req.MemoryBytes
}

// LoadTime scores the expected load time.
func LoadTime(s Settings, req Request, c Candidate) float64 {
	start := s.StartTime.Seconds()
	switch c.Tier {
	case engine.TierMemory:
		return start
	case engine.TierDisk:
		return start + float64(req.CheckpointBytes)/s.DiskBytesPerSecond
	}
	return start + float64(req.CheckpointBytes)/s.RemoteBytesPerSecond
}

// Eviction scores the evictions that the load requires.
func Eviction(s Settings, req Request, c Candidate) float64 {
	missing := req.MemoryBytes - (c.MemoryTotal - c.MemoryUsed)
	if missing <= 0 || c.Evictable == 0 {
		return 0
	}
	evicted := float64(missing) / float64(c.Evictable) * float64(c.EvictableModels)
	return max(1, evicted) * s.EvictionCost.Seconds()
}

// Work scores the engine's speed.
func Work(s Settings, _ Request, c Candidate) float64 {
	return s.ExpectedTokens / max(1, c.TokensPerSecond)
}

// Load scores the engine's current requests and loads.
func Load(s Settings, req Request, c Candidate) float64 {
	busy := float64(c.Running+c.Queued) * 0.04 * Work(s, req, c)
	return busy + float64(c.Loading)*s.LoadQueueTime.Seconds()
}

// Spread scores the distance to the callers and the existing replicas in the
// engine's data centre.
func Spread(s Settings, req Request, c Candidate) float64 {
	cost := float64(c.Replicas) * s.ReplicaCost.Seconds()
	if c.DataCentre != req.DataCentre {
		cost += s.DistanceCost.Seconds()
	}
	return cost
}

// FreeMemory scores free memory alone.
func FreeMemory(_ Settings, _ Request, c Candidate) float64 {
	return -float64(c.MemoryTotal - c.MemoryUsed)
}
