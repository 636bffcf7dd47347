package admin

import (
	"cmp"
	"context"
	"slices"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
)

// GetStatus implements the operators' interface.
func (s *Service) GetStatus(ctx context.Context, req *pb.GetStatusRequest) (*pb.Status, error) {
	out := &pb.Status{}
	if head, err := s.store.Head(ctx); err == nil {
		out.HeadVersion = head
	}
	deployments := s.config.Current().Deployments()
	if req.GetDeployment() != "" {
		deployments = slices.DeleteFunc(deployments, func(d *pb.Deployment) bool { return d.GetName() != req.GetDeployment() })
		if len(deployments) == 0 {
			return nil, changeError(config.ErrNotFound)
		}
	}
	var reported []*pb.EndpointStatus
	for _, report := range s.gather(ctx, s.allMembers()) {
		out.Nodes = append(out.Nodes, report.node)
		reported = append(reported, report.endpoints...)
	}
	out.Endpoints = endpointStatuses(deployments, reported)
	out.Models = modelStatuses(deployments, out.Endpoints)
	return out, nil
}

// endpointStatuses returns the endpoints of deployments, sorted by name, as
// reported by the owner with the highest fence. An endpoint that no process
// reports has no owner.
func endpointStatuses(deployments []*pb.Deployment, reported []*pb.EndpointStatus) []*pb.EndpointStatus {
	newest := map[string]*pb.EndpointStatus{}
	for _, report := range reported {
		known, ok := newest[report.GetName()]
		if !ok || report.GetFence() > known.GetFence() {
			newest[report.GetName()] = report
		}
	}
	var out []*pb.EndpointStatus
	for _, deployment := range deployments {
		for _, endpoint := range deployment.GetEndpoints() {
			report, ok := newest[endpoint.GetName()]
			if !ok {
				report = &pb.EndpointStatus{Name: endpoint.GetName()}
			}
			out = append(out, report)
		}
	}
	slices.SortFunc(out, func(a, b *pb.EndpointStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// modelStatuses returns the statuses of the models of deployments, sorted by
// name.
func modelStatuses(deployments []*pb.Deployment, endpoints []*pb.EndpointStatus) []*pb.ModelStatus {
	byName := map[string]*pb.EndpointStatus{}
	for _, endpoint := range endpoints {
		byName[endpoint.GetName()] = endpoint
	}
	var out []*pb.ModelStatus
	for _, deployment := range deployments {
		for _, model := range deployment.GetModels() {
			out = append(out, modelStatus(model, deployment, byName))
		}
	}
	slices.SortFunc(out, func(a, b *pb.ModelStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// modelStatus counts the replicas of one model. An endpoint that is
// unreachable, or has no known owner, may hold one more.
func modelStatus(model *pb.Model, deployment *pb.Deployment, endpoints map[string]*pb.EndpointStatus) *pb.ModelStatus {
	out := &pb.ModelStatus{Name: model.GetName(), MaxReplicas: model.GetMaxReplicas()}
	unknown := int32(0)
	for _, endpoint := range deployment.GetEndpoints() {
		if !slices.Contains(model.GetServices(), endpoint.GetService()) {
			continue
		}
		report := endpoints[endpoint.GetName()]
		if !report.GetReachable() {
			unknown++
		}
		out.Loaded += count(report.GetLoaded(), model.GetName())
		out.Loading += count(report.GetLoading(), model.GetName())
		out.Parked += count(report.GetParked(), model.GetName())
	}
	out.LimitInForce = out.Loaded+out.Loading+unknown <= out.GetMaxReplicas()
	return out
}

func count(names []string, name string) int32 {
	if slices.Contains(names, name) {
		return 1
	}
	return 0
}
