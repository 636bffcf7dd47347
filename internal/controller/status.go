package controller

import (
	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/peer/peerpb"
)

// Ready tells whether the controller can work, and if not, why.
func (c *Controller) Ready() (bool, string) {
	if c.Config.Current().Version == 0 {
		return false, "no configuration yet"
	}
	return true, ""
}

// Status reports the owned engines.
func (c *Controller) Status() *peerpb.GetNodeStatusResponse {
	resp := &peerpb.GetNodeStatusResponse{}
	owned, _ := c.snapshot()
	for _, o := range owned {
		resp.Endpoints = append(resp.Endpoints, endpointStatus(o.published()))
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
