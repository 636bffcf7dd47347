package controller

import (
	"slices"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
)

// recordEnds records events for the loads and unloads that ended between two
// readings of an engine.
func (o *ownedEngine) recordEnds(before, after engine.State) {
	for _, loaded := range after.Loaded {
		if !isLoaded(before, loaded) {
			o.recordEnd(events.LoadEnded, loaded.Model)
		}
	}
	for _, loaded := range before.Loaded {
		if !isLoaded(after, loaded) {
			o.recordEnd(events.UnloadEnded, loaded.Model)
		}
	}
}

func (o *ownedEngine) recordEnd(kind events.Kind, model string) {
	o.controller.Events.Record(events.Event{Kind: kind, Model: model, Endpoint: o.name, Fence: o.fence})
}

// isLoaded reports whether a reading shows a version of a model as loaded.
func isLoaded(state engine.State, wanted engine.Loaded) bool {
	return slices.ContainsFunc(state.Loaded, func(l engine.Loaded) bool {
		return l.Model == wanted.Model && l.Version == wanted.Version
	})
}
