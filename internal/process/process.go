// Package process contains the code that the daemons share: the command line,
// the common components, and startup and shutdown.
package process

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/events"
	// Programs that reload their settings on SIGHUP ask for the signal; the others
	// ignore it.
	_ "chestnutgauge/internal/hangup"
	"chestnutgauge/internal/heartbeat"
	"chestnutgauge/internal/httpserver"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/netcount"
	"chestnutgauge/internal/node"
	"chestnutgauge/internal/opshttp"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/platform/httpplatform"
	"chestnutgauge/internal/settings"
	"chestnutgauge/internal/supervise"
	"chestnutgauge/internal/version"
)

// Command returns the command line of a daemon. run receives the path of the
// settings file. If check is true, it only validates the settings.
func Command(use, short string, run func(ctx context.Context, file string, check bool) error) *cobra.Command {
	var file string
	var check bool
	cmd := &cobra.Command{
		Use:           use,
		Short:         short,
		Version:       version.Text(),
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		Example: fmt.Sprintf("  %s --config /etc/chestnutgauge/%s.toml\n  %s --config %s.toml --check",
			use, use, use, use),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), file, check)
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "settings file (TOML)")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// Main runs a command until it ends. SIGTERM or SIGINT starts a graceful
// shutdown. A SIGINT during it ends the process immediately. Further SIGTERMs
// change nothing: supervisors may repeat them.
func Main(cmd *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	if err := cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, cmd.Name()+": "+err.Error())
		os.Exit(1)
	}
}

// NewLog returns a logger that writes key=value lines to standard error. An
// unknown level means info.
func NewLog(level string) *slog.Logger {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		parsed = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: parsed}))
}

// Components are the components of every daemon.
type Components struct {
	Node     settings.Node
	Role     membership.Role
	Log      *slog.Logger
	Events   *events.Recorder
	Platform *httpplatform.Client
	Store    *config.Store
	Config   *config.Follower
	Members  *membership.Tracker
	Peers    *peer.Pool
	Exchange *heartbeat.Exchange
	// Server is the gRPC server for peers.
	Server *grpc.Server
	Tree   *supervise.Tree

	draining atomic.Bool
}

// NewComponents creates the common components and adds their workers to the
// supervisor tree.
func NewComponents(role membership.Role, nodeSettings settings.Node, platformSettings settings.Platform) *Components {
	log := NewLog(nodeSettings.LogLevel).With("process", string(role)+"@"+nodeSettings.VM)
	recorder := events.NewRecorder(string(role)+"@"+nodeSettings.VM, nodeSettings.EventRing, log)
	client := httpplatform.New(platformSettings.Address)
	store := config.NewStore(client)
	p := &Components{
		Node:     nodeSettings,
		Role:     role,
		Log:      log,
		Events:   recorder,
		Platform: client,
		Store:    store,
		Config:   config.NewFollower(store, recorder, log),
		Members:  membership.NewTracker(client, log),
		Peers:    peer.NewPool(grpc.WithContextDialer(dialPeer)),
		Server:   peer.NewServer(),
		Tree:     supervise.New(string(role), log),
	}
	p.Exchange = &heartbeat.Exchange{
		Self: membership.Member{
			VM:         nodeSettings.VM,
			Role:       role,
			Region:     nodeSettings.Region,
			DataCentre: nodeSettings.DataCentre,
			Address:    nodeSettings.PeerListen,
		},
		Incarnation: recorder.Incarnation(),
		Members:     p.Members,
		Config:      p.Config,
		Peers:       p.Peers,
		Seeds:       nodeSettings.Seeds,
		Draining:    p.Draining,
		Log:         log,
	}
	p.Members.Identify(p.Exchange.Self)
	p.Config.UsePeers(p.Exchange, p.Exchange.ReadsTable)
	supervise.Add(p.Tree, "heartbeat", p.Exchange.Run)
	supervise.Add(p.Tree, "config", p.Config.Run)
	supervise.Add(p.Tree, "membership", p.Members.Run)
	return p
}

// dialPeer connects to another process. The bytes of the connection are counted
// in the metrics.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return netcount.Dial(&net.Dialer{}, netcount.Processes)(ctx, "tcp", address)
}

// Draining reports whether the process is shutting down.
func (c *Components) Draining() bool {
	return c.draining.Load()
}

// Hooks are the functions by which a daemon extends the common behaviour.
type Hooks struct {
	// Status returns the daemon's part of the node status. It may be nil.
	Status node.Status
	// AddSuspects adds suspect requests that a peer shares. It may be nil.
	AddSuspects func(*peerpb.ShareSuspectsRequest)
	// Reserve decides whether a router gets the exclusive use of an endpoint
	// for a suspect request. If it is nil, the use is granted.
	Reserve func(*peerpb.OccupyRequest) bool
	// Ready reports whether the process is ready.
	Ready opshttp.Ready
	// Drain is called at the start of a graceful shutdown and returns when the
	// process may end. ctx ends after the shutdown limit of the settings. It may
	// be nil.
	Drain func(ctx context.Context)
}

// Run serves until ctx ends, then shuts down gracefully.
func (c *Components) Run(ctx context.Context, hooks Hooks) error {
	peerpb.RegisterNodeServer(c.Server, &node.Service{
		VM:          c.Node.VM,
		Role:        string(c.Role),
		DataCentre:  c.Node.DataCentre,
		Config:      c.Config,
		Events:      c.Events,
		Exchange:    c.Exchange,
		Status:      hooks.Status,
		AddSuspects: hooks.AddSuspects,
		Reserve:     hooks.Reserve,
		Draining:    c.Draining,
	})
	listener, err := net.Listen("tcp", c.Node.PeerListen)
	if err != nil {
		return eris.Wrap(err, "node.peer_listen")
	}
	go func() {
		if err := c.Server.Serve(netcount.Listen(listener, netcount.Processes)); err != nil {
			c.Log.Error("peer server failed", "error", err)
		}
	}()
	ready := func() (bool, string) {
		if c.Draining() {
			return false, "draining"
		}
		if ok, reason := c.Config.Ready(); !ok && c.Role != membership.RoleAdmin {
			return false, reason
		}
		return hooks.Ready()
	}
	supervise.Add(c.Tree, "ops", func(ctx context.Context) error {
		return opshttp.Serve(ctx, c.Node.OpsListen, opshttp.Handler(ready))
	})
	c.Events.Record(events.Event{Kind: events.ProcessStarted})
	// Workers run until the shutdown is complete.
	treeCtx, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	done := c.Tree.ServeBackground(treeCtx)
	<-ctx.Done()
	c.shutDown(ctx, hooks)
	stopTree()
	<-done
	return nil
}

func (c *Components) shutDown(ctx context.Context, hooks Hooks) {
	c.draining.Store(true)
	c.Events.Record(events.Event{Kind: events.ProcessDraining})
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Node.ShutdownLimit.Std())
	defer cancel()
	if hooks.Drain != nil {
		hooks.Drain(drainCtx)
	}
	c.Server.Stop()
	c.Peers.Close()
}

// ServeHTTP starts a server of handler at address and returns it, so that a
// drain can shut it down.
func (c *Components) ServeHTTP(name, address string, handler http.Handler) (*httpserver.Server, error) {
	listener, err := httpserver.Listen(address)
	if err != nil {
		return nil, err
	}
	server := httpserver.New(&http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}, listener, nil)
	go func() {
		if err := server.Serve(); err != nil {
			c.Log.Error("HTTP server failed", "server", name, "error", err)
		}
	}()
	return server, nil
}
