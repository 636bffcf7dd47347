// Package catalog defines the operators' configuration of a node: the callers'
// routes, the services behind them, and the models that the engines of a
// service may load. A Catalog is immutable.
package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"chestnutgauge/internal/team"
)

// Kind determines how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce marks requests that may run at most once.
	AtMostOnce
	// Stream marks requests whose response is a stream of events.
	Stream
)

// Target is a service that receives a share of a route's requests, in
// proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued at another endpoint after any event.
	Resumable bool
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// TargetLatency is the target latency of a response.
	TargetLatency time.Duration
	// MaxGap is the target for the maximum time between two events of a stream.
	MaxGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Public routes need no key, also if the configuration has teams.
	Public bool
	// MaxEndpoints is the maximum number of endpoints that one request may run on.
	MaxEndpoints int
	Targets      []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Callers abandon a stream after a pause that is the longest of minPatience,
// patienceTargets times the target latency and patienceGaps times the maximum
// gap.
const (
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// Patience returns the pause between two events of a stream after which callers
// abandon it.
func (r *Route) Patience() time.Duration {
	return max(minPatience, patienceTargets*r.TargetLatency, patienceGaps*r.MaxGap)
}

// Pick returns the service for a request, by the weights of the targets. point
// is at least 0 and below 1; the same point always gives the same service.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := point * float64(total)
	for _, target := range r.Targets {
		left -= float64(target.Weight)
		if left < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// HasTarget reports whether the route sends requests to a service.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Model is a model that the engines of a service may load.
type Model struct {
	Name      string
	WeightsMB float64
	// StoreLoad, DiskLoad and MemoryLoad are the load times from the weight store,
	// from the engine's disk and from its host memory.
	StoreLoad  time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
	// Adapters is the number of the model's adapters, AdapterMB the size of each
	// of them, in MB.
	Adapters  int
	AdapterMB float64
}

// Engine describes the engines of a service.
type Engine struct {
	Slots    int
	KVTokens int
	// MemoryMB is the memory for weights and adapters together, in MB.
	MemoryMB    float64
	MaxAdapters int
	// StoreLoadsPerSecond is the maximum rate of loads from the weight store,
	// over all engines.
	StoreLoadsPerSecond float64
	Models              map[string]Model
}

// Service is a set of equivalent endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that an endpoint accepts from
	// all callers together.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits are the limits on callers' requests and idle connections. 0 means no
// limit.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	// HeaderTime is the timeout for the header of a connection's first request,
	// IdleTime the timeout from a response to the next header.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Teams are the teams of the callers. It is nil if requests need no key.
	Teams  *team.Directory
	routes map[string][]*Route
}

// New returns a catalog of routes and services.
func New(version int64, routes []*Route, services []*Service, limits Limits) *Catalog {
	c := &Catalog{
		Version:  version,
		Services: map[string]*Service{},
		Limits:   limits,
		routes:   map[string][]*Route{},
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		host := hostName(route.Host)
		c.routes[host] = append(c.routes[host], route)
	}
	for _, hostRoutes := range c.routes {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return c
}

// Route returns the route of a host with the longest prefix of the path, or
// nil. A port in host is ignored.
func (c *Catalog) Route(host, path string) *Route {
	for _, route := range c.routes[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// hostName returns a host in lower case, without its port and without the
// brackets of an IPv6 address.
func hostName(host string) string {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
}

// Routes calls visit for each route.
func (c *Catalog) Routes(visit func(*Route)) {
	for _, hostRoutes := range c.routes {
		for _, route := range hostRoutes {
			visit(route)
		}
	}
}
