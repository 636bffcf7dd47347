package swap

import (
	"cmp"
	"slices"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
)

// modelVersion is a model on engines of a software version.
type modelVersion struct {
	model   string
	version string
}

// neededLoad is a load of a model on an engine that meets a requirement.
type neededLoad struct {
	model    catalog.Model
	required inventory.Requirement
	// waiting is the number of requests that wait for it.
	waiting int
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
				loads = append(loads, neededLoad{model: model, required: inventory.OnlyVersion(version), waiting: waiting})
			}
		}
	}
	slices.SortFunc(loads, func(a, b neededLoad) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.model.Name, b.model.Name), cmp.Compare(a.required.Version, b.required.Version))
	})
	return loads
}
