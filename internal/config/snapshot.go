// Package config implements the operators' configuration: its validation, its
// versioned storage in the platform's table, and the copy that each process
// keeps up to date.
package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// Model is a model or an adapter, under the name that callers use.
type Model struct {
	Deployment string
	Spec       *pb.Model
	// Adapter is nil if the name is that of the model.
	Adapter *pb.Adapter
}

// Service is a service and the name of its deployment.
type Service struct {
	Deployment string
	Spec       *pb.Service
}

// Endpoint is an endpoint and its service.
type Endpoint struct {
	Spec    *pb.Endpoint
	Service *pb.Service
}

// Snapshot is the complete configuration at one version. It is immutable.
type Snapshot struct {
	Version int64
	// Digest is the XOR of the deployments' digests.
	Digest      uint64
	deployments map[string]*pb.Deployment
	models      map[string]Model
	services    map[string]Service
	endpoints   map[string]Endpoint
}

// Empty returns the configuration before the first change.
func Empty() *Snapshot {
	return NewSnapshot(0, nil)
}

// NewSnapshot returns a snapshot of the deployments at a version.
func NewSnapshot(version int64, deployments []*pb.Deployment) *Snapshot {
	s := &Snapshot{
		Version:     version,
		deployments: map[string]*pb.Deployment{},
		models:      map[string]Model{},
		services:    map[string]Service{},
		endpoints:   map[string]Endpoint{},
	}
	for _, deployment := range deployments {
		s.add(deployment)
	}
	return s
}

// Apply returns the configuration after a change. It returns the snapshot itself
// for a change at or below its version, so that versions never decrease.
func (s *Snapshot) Apply(change *pb.DeploymentChange) *Snapshot {
	if change.GetVersion() <= s.Version {
		return s
	}
	next := &Snapshot{
		Version:     change.GetVersion(),
		Digest:      s.Digest,
		deployments: maps.Clone(s.deployments),
		models:      maps.Clone(s.models),
		services:    maps.Clone(s.services),
		endpoints:   maps.Clone(s.endpoints),
	}
	next.remove(change.GetName())
	if change.GetDeployment() != nil {
		next.add(change.GetDeployment())
	}
	return next
}

// digestOf returns the digest of a deployment's name and version, or 0 for nil.
// The content needs no hashing, since it is unique to the version.
func digestOf(deployment *pb.Deployment) uint64 {
	if deployment == nil {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%s@%d", deployment.GetName(), deployment.GetVersion()))
}

func (s *Snapshot) add(deployment *pb.Deployment) {
	s.Digest ^= digestOf(deployment)
	s.deployments[deployment.GetName()] = deployment
	for _, service := range deployment.GetServices() {
		s.services[service.GetName()] = Service{deployment.GetName(), service}
	}
	for _, endpoint := range deployment.GetEndpoints() {
		s.endpoints[endpoint.GetName()] = Endpoint{endpoint, s.services[endpoint.GetService()].Spec}
	}
	for _, model := range deployment.GetModels() {
		s.models[model.GetName()] = Model{deployment.GetName(), model, nil}
		for _, adapter := range model.GetAdapters() {
			s.models[adapter.GetName()] = Model{deployment.GetName(), model, adapter}
		}
	}
}

func (s *Snapshot) remove(name string) {
	deployment := s.deployments[name]
	s.Digest ^= digestOf(deployment)
	delete(s.deployments, name)
	for _, service := range deployment.GetServices() {
		delete(s.services, service.GetName())
	}
	for _, endpoint := range deployment.GetEndpoints() {
		delete(s.endpoints, endpoint.GetName())
	}
	for _, model := range deployment.GetModels() {
		delete(s.models, model.GetName())
		for _, adapter := range model.GetAdapters() {
			delete(s.models, adapter.GetName())
		}
	}
}

// Model looks up a model or adapter by the name that callers use.
func (s *Snapshot) Model(name string) (Model, bool) {
	model, ok := s.models[name]
	return model, ok
}

// ModelNames returns the names of all models and adapters in order.
func (s *Snapshot) ModelNames() []string {
	return slices.Sorted(maps.Keys(s.models))
}

// Service looks up a service.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Endpoint looks up an endpoint.
func (s *Snapshot) Endpoint(name string) (Endpoint, bool) {
	endpoint, ok := s.endpoints[name]
	return endpoint, ok
}

// Endpoints returns all endpoints in the order of their names.
func (s *Snapshot) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(s.endpoints))
	for _, name := range slices.Sorted(maps.Keys(s.endpoints)) {
		out = append(out, s.endpoints[name])
	}
	return out
}

// ServiceEndpoints returns the endpoints of a service in the order of their
// names.
func (s *Snapshot) ServiceEndpoints(service string) []Endpoint {
	var out []Endpoint
	for _, endpoint := range s.Endpoints() {
		if endpoint.Spec.GetService() == service {
			out = append(out, endpoint)
		}
	}
	return out
}

// Deployments returns all deployments in the order of their names.
func (s *Snapshot) Deployments() []*pb.Deployment {
	out := make([]*pb.Deployment, 0, len(s.deployments))
	for _, name := range slices.Sorted(maps.Keys(s.deployments)) {
		out = append(out, s.deployments[name])
	}
	return out
}
