// Package placement simulates the placement of models and compares cold-start
// waits of placement by expected cost and by free memory only.
package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/placement"
)

// Parameters of the simulation. Engines differ in speed and memory.
const (
	engines     = 12
	models      = 65
	dataCentres = 4
	activations = 20_000
	// diskCheckpoints and memoryCheckpoints are the numbers of checkpoints that an
	// engine caches on its disk and in its memory.
	diskCheckpoints   = 20
	memoryCheckpoints = 2
	// meanInterval is the mean time between two activations, keepAlive the time for
	// which an activated model stays loaded.
	meanInterval = 20 * time.Second
	keepAlive    = 3 * time.Minute
	// freeSlotShare is the share of activations at which the model's slot is free.
	// The others load the model where the slot is bound.
	freeSlotShare = 0.5
	gigabyte      = 1_000_000_000
)

// modelSpec is one model.
type modelSpec struct {
	// memory and checkpoint are sizes in bytes.
	memory, checkpoint int64
	// slot is the engine that the model's slot is bound to, -1 for none.
	slot int
}

// loaded is one model at an engine. It expires at until.
type loaded struct {
	model int
	until time.Duration
}

// host is one engine.
type host struct {
	// total is the memory in bytes, speed the generation rate in tokens per second.
	total  int64
	speed  float64
	loaded []loaded
	// cached holds the models with a cached checkpoint, the most recently loaded
	// first. The first memoryCheckpoints are in memory.
	cached []int
}

// simulation is the state of one simulation run.
type simulation struct {
	rng                      *rand.Rand
	policy                   placement.Policy
	models                   []modelSpec
	hosts                    []host
	waits                    *hdrhistogram.Histogram
	remote, evicted, refused int
}

// Run compares the policies on the same activations.
func Run(seed uint64) report.Table {
	table := report.Table{
		Title:   fmt.Sprintf("%d activations of %d models on %d engines in %d data centres, seed %d", activations, models, engines, dataCentres, seed),
		Columns: []string{"placement", "loads", "p50", "p95", "p99", "mean wait of all activations", "from the weight store", "evictions", "refused"},
	}
	settings := placement.DefaultSettings()
	policies := []struct {
		name   string
		policy placement.Policy
	}{
		{"free memory only", placement.ByFreeMemory(settings)},
		{"expected cost (tier, speed, memory, load, spread)", placement.ByTier(settings)},
	}
	for _, p := range policies {
		sim := run(seed, p.policy)
		at := func(quantile float64) time.Duration {
			return time.Duration(sim.waits.ValueAtQuantile(quantile)) * time.Millisecond
		}
		mean := time.Duration(sim.waits.Mean()*float64(sim.waits.TotalCount())/activations) * time.Millisecond
		table.Add(p.name, sim.waits.TotalCount(), at(50), at(95), at(99), mean, sim.remote, sim.evicted, sim.refused)
	}
	return table
}

func run(seed uint64, policy placement.Policy) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 4)), policy: policy,
		waits: hdrhistogram.New(1, 10*time.Minute.Milliseconds(), 3),
	}
	for range models {
		memory := int64(4+sim.rng.IntN(16)) * gigabyte
		sim.models = append(sim.models, modelSpec{memory: memory, checkpoint: memory * 3 / 4, slot: -1})
	}
	for i := range engines {
		sim.hosts = append(sim.hosts, host{total: int64(24+24*(i%3)) * gigabyte, speed: 40 * float64(1+i%4)})
	}
	var now time.Duration
	for range activations {
		now += time.Duration(sim.rng.ExpFloat64() * float64(meanInterval))
		sim.activate(sim.randomModel(), sim.rng.IntN(dataCentres), sim.rng.Float64() < freeSlotShare, now)
	}
	return sim
}

// randomModel returns a random model; models with a low index are more likely.
func (sim *simulation) randomModel() int {
	return min(models-1, int(math.Abs(sim.rng.NormFloat64())*models/2.5))
}

// activate loads a model for callers in a data centre, unless it is loaded.
func (sim *simulation) activate(model, dataCentre int, slotFree bool, now time.Duration) {
	spec := &sim.models[model]
	sim.expire(now)
	if spec.slot >= 0 && sim.extendIfLoaded(spec.slot, model, now) {
		return
	}
	if spec.slot < 0 || slotFree {
		candidates := sim.candidates(model, now)
		choice, ok := sim.policy.Pick(sim.request(model, dataCentre), candidates)
		if !ok {
			sim.refused++
			return
		}
		spec.slot = slices.IndexFunc(candidates, func(c placement.Candidate) bool { return c.Name == choice.Candidate.Name })
	}
	sim.load(model, now)
}

func (sim *simulation) request(model, dataCentre int) placement.Request {
	return placement.Request{
		Model: fmt.Sprint("m", model), MemoryBytes: sim.models[model].memory,
		CheckpointBytes: sim.models[model].checkpoint, DataCentre: fmt.Sprint(dataCentre),
	}
}

func (sim *simulation) candidates(model int, now time.Duration) []placement.Candidate {
	out := make([]placement.Candidate, 0, engines)
	for i := range sim.hosts {
		h := &sim.hosts[i]
		c := placement.Candidate{
			Name: fmt.Sprintf("e%d", i), DataCentre: fmt.Sprint(i % dataCentres), Usable: true,
			MemoryTotal: h.total, Tier: h.tier(model), TokensPerSecond: h.speed,
		}
		for _, l := range h.loaded {
			c.MemoryUsed += sim.models[l.model].memory
			if !l.inUse(now) {
				c.Evictable += sim.models[l.model].memory
				c.EvictableModels++
			}
		}
		out = append(out, c)
	}
	return out
}

// inUse reports whether requests run at a model, which is the case for the first
// sixth of keepAlive.
func (l loaded) inUse(now time.Duration) bool {
	return l.until-now > keepAlive*5/6
}

func (h *host) tier(model int) engine.Tier {
	i := slices.Index(h.cached, model)
	switch {
	case i < 0:
		return engine.TierRemote
	case i < memoryCheckpoints:
		return engine.TierMemory
	}
	return engine.TierDisk
}

func (sim *simulation) extendIfLoaded(at, model int, now time.Duration) bool {
	i := slices.IndexFunc(sim.hosts[at].loaded, func(l loaded) bool { return l.model == model })
	if i >= 0 {
		sim.hosts[at].loaded[i].until = now + keepAlive
	}
	return i >= 0
}

func (sim *simulation) expire(now time.Duration) {
	for i := range sim.hosts {
		sim.hosts[i].loaded = slices.DeleteFunc(sim.hosts[i].loaded, func(l loaded) bool { return l.until < now })
	}
}

// load loads a model at the engine of its slot and records the duration. If there
// is no room, it releases the slot.
func (sim *simulation) load(model int, now time.Duration) {
	spec := sim.models[model]
	h := &sim.hosts[spec.slot]
	if !sim.makeRoom(h, spec.memory, now) {
		sim.refused++
		sim.models[model].slot = -1
		return
	}
	s := sim.policy.Settings
	tier := h.tier(model)
	if tier == engine.TierRemote {
		sim.remote++
	}
	seconds := placement.LoadTime(s, sim.request(model, 0), placement.Candidate{Tier: tier})
	_ = sim.waits.RecordValue(int64(1000 * seconds))
	h.loaded = append(h.loaded, loaded{model, now + keepAlive})
	h.cached = slices.DeleteFunc(h.cached, func(m int) bool { return m == model })
	h.cached = slices.Insert(h.cached, 0, model)
	h.cached = h.cached[:min(len(h.cached), diskCheckpoints)]
}

// makeRoom evicts idle models in the order of their expiry until need bytes are
// free, and reports whether they are.
func (sim *simulation) makeRoom(h *host, need int64, now time.Duration) bool {
	slices.SortFunc(h.loaded, func(a, b loaded) int { return cmp.Compare(a.until, b.until) })
	for {
		used := int64(0)
		for _, l := range h.loaded {
			used += sim.models[l.model].memory
		}
		if h.total-used >= need {
			return true
		}
		if len(h.loaded) == 0 || h.loaded[0].inUse(now) {
			return false
		}
		h.loaded = h.loaded[1:]
		sim.evicted++
	}
}
