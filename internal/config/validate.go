package config

import (
	"fmt"
	"net"
	"regexp"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// maxDeadline is the upper limit of default deadlines.
const maxDeadline = 24 * time.Hour

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
)

// Violation describes one invalid field of a deployment.
type Violation struct {
	// Field is the path of the field, as in models[2].max_replicas.
	Field  string
	Reason string
}

// validator collects violations.
type validator struct {
	violations []Violation
}

func (v *validator) check(ok bool, field, reason string) {
	if !ok {
		v.violations = append(v.violations, Violation{field, reason})
	}
}

// Validate returns the violations within one deployment. Names that conflict
// with other deployments are detected when the deployment is stored.
func Validate(deployment *pb.Deployment) []Violation {
	v := &validator{}
	v.check(namePattern.MatchString(deployment.GetName()), "name", "must be lower-case letters, digits and dashes, at most 63")
	kinds := v.services(deployment)
	v.endpoints(deployment, kinds)
	v.models(deployment, kinds)
	return v.violations
}

func (v *validator) services(deployment *pb.Deployment) map[string]pb.ServiceKind {
	kinds := map[string]pb.ServiceKind{}
	for i, service := range deployment.GetServices() {
		field := fmt.Sprintf("services[%d]", i)
		_, duplicate := kinds[service.GetName()]
		v.check(!duplicate, field+".name", "is used twice")
		v.check(namePattern.MatchString(service.GetName()), field+".name", "must be lower-case letters, digits and dashes, at most 63")
		v.check(service.GetKind() != pb.ServiceKind_SERVICE_KIND_UNSPECIFIED, field+".kind", "must be set")
		v.check(service.GetMaxConcurrency() >= 0, field+".max_concurrency", "must not be negative")
		v.deadline(service.GetDefaultDeadline(), field+".default_deadline")
		kinds[service.GetName()] = service.GetKind()
	}
	return kinds
}

func (v *validator) endpoints(deployment *pb.Deployment, kinds map[string]pb.ServiceKind) {
	names := map[string]bool{}
	for i, endpoint := range deployment.GetEndpoints() {
		field := fmt.Sprintf("endpoints[%d]", i)
		v.check(!names[endpoint.GetName()], field+".name", "is used twice")
		v.check(namePattern.MatchString(endpoint.GetName()), field+".name", "must be lower-case letters, digits and dashes, at most 63")
		_, known := kinds[endpoint.GetService()]
		v.check(known, field+".service", "is not a service of this deployment")
		_, _, err := net.SplitHostPort(endpoint.GetAddress())
		v.check(err == nil, field+".address", "must be host:port")
		v.check(endpoint.GetDataCentre() != "", field+".data_centre", "must be set")
		names[endpoint.GetName()] = true
	}
}

func (v *validator) models(deployment *pb.Deployment, kinds map[string]pb.ServiceKind) {
	names := map[string]bool{}
	for i, model := range deployment.GetModels() {
		field := fmt.Sprintf("models[%d]", i)
		v.modelName(names, model.GetName(), field+".name")
		v.check(len(model.GetServices()) > 0, field+".services", "must name a service")
		for j, service := range model.GetServices() {
			ok := kinds[service] == pb.ServiceKind_SERVICE_KIND_ENGINES
			v.check(ok, fmt.Sprintf("%s.services[%d]", field, j), "is not a service of engines in this deployment")
		}
		v.check(model.GetMemoryBytes() > 0, field+".memory_bytes", "must be above 0")
		v.check(model.GetCheckpointBytes() >= 0, field+".checkpoint_bytes", "must not be negative")
		v.check(model.GetMaxReplicas() >= 0, field+".max_replicas", "must not be negative")
		v.check(model.GetMaxConcurrency() >= 0, field+".max_concurrency", "must not be negative")
		v.check(model.GetKeepAlive().GetColdStartWeight() >= 0, field+".keep_alive.cold_start_weight", "must not be negative")
		v.deadline(model.GetDefaultDeadline(), field+".default_deadline")
		for j, adapter := range model.GetAdapters() {
			adapterField := fmt.Sprintf("%s.adapters[%d]", field, j)
			v.modelName(names, adapter.GetName(), adapterField+".name")
			v.check(adapter.GetMemoryBytes() > 0, adapterField+".memory_bytes", "must be above 0")
		}
	}
}

func (v *validator) modelName(names map[string]bool, name, field string) {
	v.check(!names[name], field, "is used twice")
	v.check(modelPattern.MatchString(name), field, "must be letters, digits, dashes, dots, underscores and colons, at most 128")
	names[name] = true
}

func (v *validator) deadline(value *durationpb.Duration, field string) {
	if value == nil {
		return
	}
	d := value.AsDuration()
	v.check(value.IsValid() && d > 0 && d <= maxDeadline, field, "must be above 0 and at most 24h")
}
