// Package admind wires chestnut-admin from its settings.
package admind

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/admin"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/process"
	"chestnutgauge/internal/settings"
)

// Settings of chestnut-admin.
type Settings struct {
	Node      settings.Node     `toml:"node"`
	Platform  settings.Platform `toml:"platform"`
	Operators Operators         `toml:"operators"`
}

// Operators holds the settings of the operators' interface.
type Operators struct {
	// Listen is the host:port for operators.
	Listen string `toml:"listen"`
}

// Checks implements settings.Validator.
func (s *Settings) Checks() []settings.Check {
	checks := append(s.Node.Checks(), s.Platform.Checks()...)
	return append(checks, settings.Address("operators.listen", s.Operators.Listen))
}

// LoadSettings reads and checks the settings.
func LoadSettings(file string) (Settings, error) {
	s := Settings{Node: settings.DefaultNode()}
	err := settings.Load(file, &s)
	return s, err
}

// Run runs the admin until ctx ends.
func Run(ctx context.Context, s Settings) error {
	components := process.NewComponents(membership.RoleAdmin, s.Node, s.Platform)
	service := admin.New(components.Store, components.Config, components.Members, components.Peers, components.Events)
	server := grpc.NewServer()
	pb.RegisterOperatorsServer(server, service)
	listener, err := net.Listen("tcp", s.Operators.Listen)
	if err != nil {
		return eris.Wrap(err, "operators.listen")
	}
	go func() {
		if err := server.Serve(listener); err != nil {
			components.Log.Error("operators' gRPC server failed", "error", err)
		}
	}()
	return components.Run(ctx, process.Hooks{
		Ready: func() (bool, string) { return true, "" },
		Drain: func(context.Context) { server.GracefulStop() },
	})
}
