// Package routerd wires chestnut-router from its settings.
package routerd

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/engine/httpengine"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/plain"
	"chestnutgauge/internal/process"
	"chestnutgauge/internal/router"
	"chestnutgauge/internal/settings"
	"chestnutgauge/internal/supervise"
)

// Settings of chestnut-router.
type Settings struct {
	Node     settings.Node     `toml:"node"`
	Platform settings.Platform `toml:"platform"`
	Callers  Callers           `toml:"callers"`
}

// Callers holds the settings of the callers' interface.
type Callers struct {
	// Listen is the host:port for callers.
	Listen string `toml:"listen"`
	// DrainDelay is how long a router that shuts down continues to accept
	// requests while the load balancer notices that it is not ready.
	DrainDelay settings.Duration `toml:"drain_delay"`
}

// Checks implements settings.Validator.
func (s *Settings) Checks() []settings.Check {
	checks := append(s.Node.Checks(), s.Platform.Checks()...)
	return append(checks,
		settings.Address("callers.listen", s.Callers.Listen),
		settings.Check{Key: "callers.drain_delay", OK: s.Callers.DrainDelay >= 0, Reason: "must not be negative"},
		settings.Check{Key: "callers.drain_delay", OK: s.Callers.DrainDelay < s.Node.ShutdownLimit, Reason: "must be below node.shutdown_limit"},
	)
}

// LoadSettings reads and checks the settings.
func LoadSettings(file string) (Settings, error) {
	s := Settings{
		Node:    settings.DefaultNode(),
		Callers: Callers{DrainDelay: settings.Duration(3 * time.Second)},
	}
	err := settings.Load(file, &s)
	return s, err
}

// Run runs the router until ctx ends.
func Run(ctx context.Context, s Settings) error {
	components := process.NewComponents(membership.RoleRouter, s.Node, s.Platform)
	directory := endpoints.NewDirectory()
	watcher := endpoints.NewWatcher(directory, components.Members, components.Peers, s.Node.DataCentre, components.Events.Process(), components.Log)
	supervise.Add(components.Tree, "endpoints", watcher.Run)
	claims := claim.NewStore(components.Platform, components.Platform.Objects(), s.Node.VM, claim.DefaultSettings())
	r := router.New(router.Dependencies{
		VM:         s.Node.VM,
		DataCentre: s.Node.DataCentre,
		Config:     components.Config,
		Members:    components.Members,
		Directory:  directory,
		Peers:      components.Peers,
		Connect: func(address string) engine.Engine {
			return httpengine.New(address, httpengine.DefaultSettings())
		},
		Plain:  plain.NewCaller(plain.DefaultSettings()),
		Claims: claims,
		Events: components.Events,
		Log:    components.Log,
	})
	supervise.Add(components.Tree, "health", r.RunHealthChecks)
	supervise.Add(components.Tree, "claims", func(ctx context.Context) error { return claims.RunSweeps(ctx, r.ElectedToSweep) })
	server, err := components.ServeHTTP("callers", s.Callers.Listen, r.Handler())
	if err != nil {
		return eris.Wrap(err, "callers.listen")
	}
	return components.Run(ctx, process.Hooks{
		Ready:       r.Ready,
		AddSuspects: r.MergeSuspects,
		Reserve:     r.GrantReservation,
		Drain:       func(ctx context.Context) { drain(ctx, r, server, s.Callers.DrainDelay.Std()) },
	})
}
