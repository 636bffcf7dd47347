package swap

import (
	"slices"
	"time"

	"chestnutgauge/internal/catalog"
)

// cached returns the models whose weights an engine caches.
func cached(e Engine) map[string]bool {
	models := map[string]bool{}
	for _, name := range slices.Concat(e.InMemory, e.OnDisk) {
		models[name] = true
	}
	return models
}

// reserveStoreLoad reserves a load from the weight store for an engine, also
// before the unloads that it needs, so that nothing is unloaded for a load that
// can't start. It reports whether the engine has a reservation.
func (p *planner) reserveStoreLoad(e *Engine) bool {
	if p.reserved[e.ID] {
		return true
	}
	if p.storeLoadsLeft <= 0 {
		return false
	}
	p.storeLoadsLeft--
	p.reserved[e.ID] = true
	return true
}

// reserveForDrains reserves the store loads of engines that are being drained.
func (p *planner) reserveForDrains() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.DrainedFor != "" && !e.Leaving && FromStore(e.InMemory, e.OnDisk, e.DrainedFor) {
			p.reserveStoreLoad(e)
		}
	}
}

// cachesSuffice reports whether the engines that cache a model's weights are
// enough for the copies that it lacks. Waiting for one of them is then preferred
// to a load from the weight store.
func (p *planner) cachesSuffice(model string) bool {
	caches := p.cachedElsewhere[model]
	missing := RequiredCopies(p.Demand[model]) - p.copies[model] - p.pending[model]
	return caches > 0 && caches >= missing
}

// loadTime returns the expected duration of a load and whether the weights come
// from the weight store.
func loadTime(e *Engine, model catalog.Model) (time.Duration, bool) {
	switch {
	case FromStore(e.InMemory, e.OnDisk, model.Name):
		return model.StoreLoad, true
	case slices.Contains(e.InMemory, model.Name):
		return model.MemoryLoad, false
	}
	return model.DiskLoad, false
}

// FromStore reports whether an engine loads a model from the weight store,
// given the models whose weights are cached in memory and on disk.
func FromStore(inMemory, onDisk []string, model string) bool {
	return !slices.Contains(inMemory, model) && !slices.Contains(onDisk, model)
}
