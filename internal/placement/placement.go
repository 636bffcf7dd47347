// Package placement chooses the engine that a model is loaded on: filters
// leave out engines that can't hold it, scorers give each of the others an
// expected cost in seconds, and the lowest sum wins. It works on a snapshot
// and does no I/O.
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
	// Evictable is the part of MemoryUsed that belongs to idle models, and
	// EvictableModels their number.
	Evictable       int64
	EvictableModels int
	// Tier is where the engine holds the model's checkpoint.
	Tier            engine.Tier
	TokensPerSecond float64
	// Running and Queued are the requests that the engine reports.
	Running int
	Queued  int
	// Loading is the number of loads in progress.
	Loading int
	// Replicas is the number of the model's slots in the engine's data centre.
	Replicas int
}

// Wanted is the model to place.
type Wanted struct {
	Model           string
	MemoryBytes     int64
	CheckpointBytes int64
	// DataCentre is where the callers wait.
	DataCentre string
	// Avoid names engines that can't be used.
	Avoid []string
}

// Settings of the scorers.
type Settings struct {
	// RemoteBytesPerSecond is the expected speed of the weight store.
	RemoteBytesPerSecond float64
	// DiskBytesPerSecond is the expected speed of an engine's own disk.
	DiskBytesPerSecond float64
	// StartTime is the part of a load that depends on no tier.
	StartTime time.Duration
	// EvictionCost is the expected later wait for a model that is evicted.
	EvictionCost time.Duration
	// LoadQueueTime is the delay that each load in progress adds.
	LoadQueueTime time.Duration
	// ReplicaCost is added for each replica that the data centre has already,
	// so that replicas spread.
	ReplicaCost time.Duration
	// DistanceCost is added outside the callers' data centre.
	DistanceCost time.Duration
	// ExpectedTokens is the work that the model is expected to do while it is
	// loaded.
	ExpectedTokens float64
}

// DefaultSettings returns the settings used when none are given.
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

// Filter tells whether an engine can take the model.
type Filter func(Wanted, Candidate) bool

// Scorer returns the expected cost of an engine in seconds.
type Scorer func(Settings, Wanted, Candidate) float64

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

// ByFreeMemory returns the policy that only takes the most free memory. It is
// the baseline of the measurement.
func ByFreeMemory(settings Settings) Policy {
	return Policy{
		Settings: settings,
		Filters:  []Filter{IsUsable, NotAvoided, Fits},
		Scorers:  []Scorer{FreeMemory},
	}
}

// Choice is a chosen engine and its cost.
type Choice struct {
	Candidate Candidate
	// Cost is the expected cost in seconds.
	Cost float64
}

// Pick returns the candidate of the lowest cost. Equal costs are told apart by
// a hash of model and engine, so that models spread over equal engines.
func (p Policy) Pick(wanted Wanted, candidates []Candidate) (Choice, bool) {
	var choices []Choice
	for _, candidate := range candidates {
		if p.passes(wanted, candidate) {
			choices = append(choices, Choice{candidate, p.cost(wanted, candidate)})
		}
	}
	if len(choices) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(choices, func(a, b Choice) int {
		if c := cmp.Compare(a.Cost, b.Cost); c != 0 {
			return c
		}
		return cmp.Compare(weight(wanted, a), weight(wanted, b))
	})
	return best, true
}

func (p Policy) passes(wanted Wanted, candidate Candidate) bool {
	for _, filter := range p.Filters {
		if !filter(wanted, candidate) {
			return false
		}
	}
	return true
}

func (p Policy) cost(wanted Wanted, candidate Candidate) float64 {
	var sum float64
	for _, score := range p.Scorers {
		sum += score(p.Settings, wanted, candidate)
	}
	return sum
}

func weight(wanted Wanted, choice Choice) uint64 {
	return xxhash.Sum64String(wanted.Model + "\x00" + choice.Candidate.Name)
}

// IsUsable is the filter for engines that take new work.
func IsUsable(_ Wanted, c Candidate) bool {
	return c.Usable
}

// NotAvoided is the filter for engines that the callers can use.
func NotAvoided(w Wanted, c Candidate) bool {
	return !slices.Contains(w.Avoid, c.Name)
}

// Fits is the filter for engines with enough memory once what is idle is
// evicted.
func Fits(w Wanted, c Candidate) bool {
	return c.MemoryTotal-c.MemoryUsed+c.Evictable >= w.MemoryBytes
}

// LoadTime scores the expected time of the load.
func LoadTime(s Settings, w Wanted, c Candidate) float64 {
	start := s.StartTime.Seconds()
	switch c.Tier {
	case engine.TierMemory:
		return start
	case engine.TierDisk:
		return start + float64(w.CheckpointBytes)/s.DiskBytesPerSecond
	}
	return start + float64(w.CheckpointBytes)/s.RemoteBytesPerSecond
}

// Eviction scores what has to be evicted first.
func Eviction(s Settings, w Wanted, c Candidate) float64 {
	short := w.MemoryBytes - (c.MemoryTotal - c.MemoryUsed)
	if short <= 0 || c.Evictable == 0 {
		return 0
	}
	evicted := float64(short) / float64(c.Evictable) * float64(c.EvictableModels)
	return max(1, evicted) * s.EvictionCost.Seconds()
}

// Work scores the engine's speed.
func Work(s Settings, _ Wanted, c Candidate) float64 {
	return s.ExpectedTokens / max(1, c.TokensPerSecond)
}

// Load scores the requests and loads that the engine has already.
func Load(s Settings, w Wanted, c Candidate) float64 {
	busy := float64(c.Running+c.Queued) * 0.04 * Work(s, w, c)
	return busy + float64(c.Loading)*s.LoadQueueTime.Seconds()
}

// Spread scores the distance to the callers and the replicas that the data
// centre has already.
func Spread(s Settings, w Wanted, c Candidate) float64 {
	cost := float64(c.Replicas) * s.ReplicaCost.Seconds()
	if c.DataCentre != w.DataCentre {
		cost += s.DistanceCost.Seconds()
	}
	return cost
}

// FreeMemory scores free memory alone.
func FreeMemory(_ Settings, _ Wanted, c Candidate) float64 {
	return -float64(c.MemoryTotal - c.MemoryUsed)
}
