// Package placement measures where models are placed by simulation: cold-start
// wait with placement by expected cost against placement by free memory alone.
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

// Sizes of the simulation. Engines differ in speed and memory.
const (
	engines     = 12
	models      = 65
	dataCentres = 4
	wakes       = 20_000
	// disks is the number of checkpoints that an engine's disk keeps, memories
	// that of those in its memory.
	disks    = 20
	memories = 2
	// gap is the mean time between two wakes, idle the time that a woken model
	// stays loaded.
	gap  = 20 * time.Second
	idle = 3 * time.Minute
	// freed is the share of wakes at which the slot is free: the others wake
	// where the slot is bound.
	freed    = 0.5
	gigabyte = 1_000_000_000
)

// modelSpec is one model.
type modelSpec struct {
	memory, checkpoint int64
	// slot is the engine that the model's slot is bound to, -1 for none.
	slot int
}

// loaded is one model at an engine.
type loaded struct {
	model int
	until time.Duration
}

// host is one engine.
type host struct {
	total  int64
	speed  float64
	loaded []loaded
	// cached holds the checkpoints, the newest first; the first few are in
	// memory.
	cached []int
}

// world is the state of one run.
type world struct {
	rng                      *rand.Rand
	policy                   placement.Policy
	models                   []modelSpec
	hosts                    []host
	waits                    *hdrhistogram.Histogram
	remote, evicted, refused int
}

// Run compares the policies on the same wakes.
func Run(seed uint64) report.Table {
	table := report.Table{
		Title:   fmt.Sprintf("%d wakes of %d models on %d engines in %d data centres, seed %d", wakes, models, engines, dataCentres, seed),
		Columns: []string{"placement", "loads", "p50", "p95", "p99", "mean wait of all wakes", "from the weight store", "evictions", "refused"},
	}
	settings := placement.DefaultSettings()
	policies := []struct {
		name   string
		policy placement.Policy
	}{
		{"free memory alone", placement.ByFreeMemory(settings)},
		{"expected cost (tier, speed, memory, load, spread)", placement.ByTier(settings)},
	}
	for _, p := range policies {
		w := run(seed, p.policy)
		at := func(quantile float64) time.Duration {
			return time.Duration(w.waits.ValueAtQuantile(quantile)) * time.Millisecond
		}
		mean := time.Duration(w.waits.Mean()*float64(w.waits.TotalCount())/wakes) * time.Millisecond
		table.Add(p.name, w.waits.TotalCount(), at(50), at(95), at(99), mean, w.remote, w.evicted, w.refused)
	}
	return table
}

func run(seed uint64, policy placement.Policy) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 4)), policy: policy,
		waits: hdrhistogram.New(1, 10*time.Minute.Milliseconds(), 3),
	}
	for range models {
		memory := int64(4+w.rng.IntN(16)) * gigabyte
		w.models = append(w.models, modelSpec{memory: memory, checkpoint: memory * 3 / 4, slot: -1})
	}
	for i := range engines {
		w.hosts = append(w.hosts, host{total: int64(24+24*(i%3)) * gigabyte, speed: 40 * float64(1+i%4)})
	}
	var now time.Duration
	for range wakes {
		now += time.Duration(w.rng.ExpFloat64() * float64(gap))
		w.wake(w.pickModel(), w.rng.IntN(dataCentres), w.rng.Float64() < freed, now)
	}
	return w
}

// pickModel draws a model, some far more often than others.
func (w *world) pickModel() int {
	return min(models-1, int(math.Abs(w.rng.NormFloat64())*models/2.5))
}

// wake brings up a model for callers in a data centre.
func (w *world) wake(model, dataCentre int, free bool, now time.Duration) {
	spec := &w.models[model]
	w.expire(now)
	if spec.slot >= 0 && w.holds(spec.slot, model, now) {
		return
	}
	if spec.slot < 0 || free {
		candidates := w.candidates(model, now)
		choice, ok := w.policy.Pick(w.wanted(model, dataCentre), candidates)
		if !ok {
			w.refused++
			return
		}
		spec.slot = slices.IndexFunc(candidates, func(c placement.Candidate) bool { return c.Name == choice.Candidate.Name })
	}
	w.load(model, now)
}

func (w *world) wanted(model, dataCentre int) placement.Wanted {
	return placement.Wanted{
		Model: fmt.Sprint("m", model), MemoryBytes: w.models[model].memory,
		CheckpointBytes: w.models[model].checkpoint, DataCentre: fmt.Sprint(dataCentre),
	}
}

func (w *world) candidates(model int, now time.Duration) []placement.Candidate {
	out := make([]placement.Candidate, 0, engines)
	for i := range w.hosts {
		h := &w.hosts[i]
		c := placement.Candidate{
			Name: fmt.Sprintf("e%d", i), DataCentre: fmt.Sprint(i % dataCentres), Usable: true,
			MemoryTotal: h.total, Tier: h.tier(model), TokensPerSecond: h.speed,
		}
		for _, l := range h.loaded {
			c.MemoryUsed += w.models[l.model].memory
			if !l.inUse(now) {
				c.Evictable += w.models[l.model].memory
				c.EvictableModels++
			}
		}
		out = append(out, c)
	}
	return out
}

// inUse reports whether requests run at a model: for a sixth of its stay.
func (l loaded) inUse(now time.Duration) bool {
	return l.until-now > idle*5/6
}

func (h *host) tier(model int) engine.Tier {
	i := slices.Index(h.cached, model)
	switch {
	case i < 0:
		return engine.TierRemote
	case i < memories:
		return engine.TierMemory
	}
	return engine.TierDisk
}

func (w *world) holds(at, model int, now time.Duration) bool {
	i := slices.IndexFunc(w.hosts[at].loaded, func(l loaded) bool { return l.model == model })
	if i >= 0 {
		w.hosts[at].loaded[i].until = now + idle
	}
	return i >= 0
}

func (w *world) expire(now time.Duration) {
	for i := range w.hosts {
		w.hosts[i].loaded = slices.DeleteFunc(w.hosts[i].loaded, func(l loaded) bool { return l.until < now })
	}
}

// load loads a model where its slot is and records the time of the load.
func (w *world) load(model int, now time.Duration) {
	spec := w.models[model]
	h := &w.hosts[spec.slot]
	if !w.makeRoom(h, spec.memory, now) {
		w.refused++
		w.models[model].slot = -1
		return
	}
	s := w.policy.Settings
	tier := h.tier(model)
	if tier == engine.TierRemote {
		w.remote++
	}
	seconds := placement.LoadTime(s, w.wanted(model, 0), placement.Candidate{Tier: tier})
	_ = w.waits.RecordValue(int64(1000 * seconds))
	h.loaded = append(h.loaded, loaded{model, now + idle})
	h.cached = slices.DeleteFunc(h.cached, func(m int) bool { return m == model })
	h.cached = slices.Insert(h.cached, 0, model)
	h.cached = h.cached[:min(len(h.cached), disks)]
}

// makeRoom evicts idle models, the one that expires first first.
func (w *world) makeRoom(h *host, need int64, now time.Duration) bool {
	slices.SortFunc(h.loaded, func(a, b loaded) int { return cmp.Compare(a.until, b.until) })
	for {
		used := int64(0)
		for _, l := range h.loaded {
			used += w.models[l.model].memory
		}
		if h.total-used >= need {
			return true
		}
		if len(h.loaded) == 0 || h.loaded[0].inUse(now) {
			return false
		}
		h.loaded = h.loaded[1:]
		w.evicted++
	}
}
