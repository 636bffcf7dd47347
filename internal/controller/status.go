package controller

import (
	"maps"
	"slices"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/peer/peerpb"
)

// Ready reports whether the controller has a configuration. If not, it also
// returns the reason.
func (c *Controller) Ready() (bool, string) {
	if c.Config.Current().Version == 0 {
		return false, "no configuration yet"
	}
	return true, ""
}

// Status reports the owned engines and the models on them.
func (c *Controller) Status() *peerpb.GetNodeStatusResponse {
	resp := &peerpb.GetNodeStatusResponse{}
	models := map[string]*pb.ModelStatus{}
	owned, _ := c.snapshot()
	for _, o := range owned {
		resp.Endpoints = append(resp.Endpoints, endpointStatus(o.published()))
		o.addModels(models)
	}
	for _, name := range slices.Sorted(maps.Keys(models)) {
		resp.Models = append(resp.Models, models[name])
	}
	return resp
}

func endpointStatus(state *peerpb.EndpointState) *pb.EndpointStatus {
	out := &pb.EndpointStatus{
		Name:             state.GetName(),
		Owner:            state.GetOwner(),
		Fence:            state.GetFence(),
		MemoryUsedBytes:  state.GetMemoryUsed(),
		MemoryTotalBytes: state.GetMemoryTotal(),
		Loading:          state.GetLoading(),
		InFlight:         state.GetRunning(),
		Leaving:          state.GetLeaving(),
		Reachable:        state.GetReachable(),
	}
	loaded := map[string]bool{}
	for _, replica := range state.GetLoaded() {
		loaded[replica.GetModel()] = true
		out.Loaded = append(out.Loaded, replica.GetModel())
	}
	for _, model := range state.GetBound() {
		if !loaded[model] {
			out.Parked = append(out.Parked, model)
		}
	}
	return out
}

// addModels adds the engine's replicas to the status of each model. A limit is
// reported in effect if this controller meets it under its active
// configuration: every slot was checked against the limit, and no slot is left
// to release.
func (o *ownedEngine) addModels(models map[string]*pb.ModelStatus) {
	unchecked := o.unchecked()
	o.mu.Lock()
	defer o.mu.Unlock()
	for model, keep := range o.bound {
		status := o.modelStatus(models, model)
		_, pending := unchecked[model]
		if !keep || pending {
			status.LimitInForce = false
		}
		if !o.holdsAny(model) {
			status.Parked++
		}
	}
	for model := range o.releasing {
		o.modelStatus(models, model).LimitInForce = false
	}
	for _, loaded := range o.state.Loaded {
		status := o.modelStatus(models, loaded.Model)
		status.Loaded++
		if !o.bound[loaded.Model] {
			status.LimitInForce = false
		}
	}
	for _, loading := range o.state.Loading {
		if loading.Adapter == "" {
			o.modelStatus(models, loading.Model).Loading++
		}
	}
}

// holdsAny reports whether the engine has a model loaded or loading. The caller
// must hold mu.
func (o *ownedEngine) holdsAny(model string) bool {
	for _, loaded := range o.state.Loaded {
		if loaded.Model == model {
			return true
		}
	}
	for _, loading := range o.state.Loading {
		if loading.Model == model {
			return true
		}
	}
	return false
}

func (o *ownedEngine) modelStatus(models map[string]*pb.ModelStatus, name string) *pb.ModelStatus {
	status, ok := models[name]
	if ok {
		return status
	}
	status = &pb.ModelStatus{Name: name, LimitInForce: true}
	if model, ok := o.controller.Config.Current().Model(name); ok {
		status.MaxReplicas = model.Spec.GetMaxReplicas()
	}
	models[name] = status
	return status
}
