// Package controllerd builds and runs chestnut-controller from its settings.
package controllerd

import (
	"context"

	"chestnutgauge/internal/controller"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/engine/httpengine"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/process"
	"chestnutgauge/internal/settings"
	"chestnutgauge/internal/slots"
	"chestnutgauge/internal/supervise"
)

// Settings are the settings of chestnut-controller.
type Settings struct {
	Node     settings.Node     `toml:"node"`
	Platform settings.Platform `toml:"platform"`
}

// Checks implements settings.Validator.
func (s *Settings) Checks() []settings.Check {
	return append(s.Node.Checks(), s.Platform.Checks()...)
}

// LoadSettings reads and validates the settings file.
func LoadSettings(file string) (Settings, error) {
	s := Settings{Node: settings.DefaultNode()}
	err := settings.Load(file, &s)
	return s, err
}

// Run runs the controller until ctx ends.
func Run(ctx context.Context, s Settings) error {
	components := process.NewComponents(membership.RoleController, s.Node, s.Platform)
	directory := endpoints.NewDirectory()
	watcher := endpoints.NewWatcher(directory, components.Members, components.Peers, s.Node.DataCentre, components.Events.Process(), components.Log).WithCached()
	supervise.Add(components.Tree, "endpoints", watcher.Run)
	c := controller.New(controller.Dependencies{
		VM:         s.Node.VM,
		DataCentre: s.Node.DataCentre,
		Table:      components.Platform,
		Config:     components.Config,
		Slots:      slots.NewStore(components.Platform, components.Store),
		Members:    components.Members,
		Directory:  directory,
		Peers:      components.Peers,
		Connect: func(address string) engine.Engine {
			return httpengine.New(address, httpengine.DefaultSettings())
		},
		Events: components.Events,
		Log:    components.Log,
	})
	peerpb.RegisterControllerServer(components.Server, c)
	supervise.Add(components.Tree, "ownership", c.RunOwnership)
	return components.Run(ctx, process.Hooks{Ready: c.Ready, Status: c.Status, Drain: c.HandOver})
}
