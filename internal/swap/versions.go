package swap

import (
	"cmp"
	"slices"

	"chestnutgauge/internal/catalog"
)

// modelVersion is a model on engines of a software version.
type modelVersion struct {
	model   string
	version string
}

// neededLoad is a load of a model, on engines of a software version if it is versioned.
type neededLoad struct {
	model     catalog.Model
	versioned bool
	version   string
	// waiting is the number of requests that wait for it.
	waiting int
}

// allows reports whether the load may be done on an engine.
func (l neededLoad) allows(e *Engine) bool {
	return !l.versioned || e.Version == l.version
}

// versionLoads returns the loads of models that requests need on engines of a software
// version, none of which has them, those with the most waiting requests first.
func (p *planner) versionLoads() []neededLoad {
	var loads []neededLoad
	for name, d := range p.Demand {
		model, known := p.Models[name]
		if !known {
			continue
		}
		for version, waiting := range d.WaitingAt {
			if waiting > 0 && p.versions[version] && p.available[modelVersion{name, version}] == 0 {
				loads = append(loads, neededLoad{model: model, versioned: true, version: version, waiting: waiting})
			}
		}
	}
	slices.SortFunc(loads, func(a, b neededLoad) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.model.Name, b.model.Name), cmp.Compare(a.version, b.version))
	})
	return loads
}
