// Package controllerd wires chestnut-controller from its settings.
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

// Settings of chestnut-controller.
type Settings struct {
	Node     settings.Node     `toml:"node"`
	Platform settings.Platform `toml:"platform"`
}

// Checks implements settings.Validator.
func (s *Settings) Checks() []settings.Check {
	return append(s.Node.Checks(), s.Platform.Checks()...)
}

// LoadSettings reads and checks the settings.
func LoadSettings(file string) (Settings, error) {
	s := Settings{Node: settings.DefaultNode()}
	err := settings.Load(file, &s)
	return s, err
}

// Run runs the controller until ctx ends.
func Run(ctx context.Context, s Settings) error {
	parts := process.NewParts(membership.RoleController, s.Node, s.Platform)
	directory := endpoints.NewDirectory()
	watcher := endpoints.NewWatcher(directory, parts.Members, parts.Peers, s.Node.DataCentre, parts.Events.Process(), parts.Log).WithCached()
	supervise.Add(parts.Tree, "endpoints", watcher.Run)
	c := controller.New(controller.Parts{
		VM:         s.Node.VM,
		DataCentre: s.Node.DataCentre,
		Table:      parts.Platform,
		Config:     parts.Config,
		Slots:      slots.NewStore(parts.Platform, parts.Store),
		Members:    parts.Members,
		Directory:  directory,
		Peers:      parts.Peers,
		Connect: func(address string) engine.Engine {
			return httpengine.New(address, httpengine.DefaultSettings())
		},
		Events: parts.Events,
		Log:    parts.Log,
	})
	peerpb.RegisterControllerServer(parts.Server, c)
	supervise.Add(parts.Tree, "ownership", c.RunOwnership)
	return parts.Run(ctx, process.Hooks{Ready: c.Ready, Status: c.Status, Drain: c.HandOver})
}
