// Package noded implements chestnut-node: it runs the relay of callers'
// requests and the owner of engines in one process on the users' platform.
package noded

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/fleet"
	"chestnutgauge/internal/httpserver"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/isolation"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/opshttp"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/relay"
	"chestnutgauge/internal/reload"
	"chestnutgauge/internal/supervise"
	"chestnutgauge/platform"
)

// Settings of the garbage collector: the Go memory limit as a share of the
// process's memory, and the GC percentage.
const (
	memoryLimitShare = 0.6
	gcPercent        = 60
)

// Timing of the lease.
const (
	leaseTerm  = 2 * time.Second
	leaseRenew = 500 * time.Millisecond
)

// The owner of the engines communicates with all nodes, so a machine with more
// CPU and network capacity is preferred: a machine delays its acquisition of
// the lease by the time that it needs for the owner's work, at most
// maxAcquireDelay. That work is estimated as ownerCoreSeconds of CPU time and
// ownerMegabits of traffic.
const (
	ownerCoreSeconds = 0.04
	ownerMegabits    = 10.0
	maxAcquireDelay  = 1500 * time.Millisecond
)

// acquireDelay returns the delay before a machine acquires a free lease.
func acquireDelay(cores, linkMbps float64) time.Duration {
	seconds := ownerCoreSeconds/max(cores, 0.01) + ownerMegabits/max(linkMbps, 1)
	return min(time.Duration(seconds*float64(time.Second)), maxAcquireDelay)
}

// Timing of a shutdown.
const (
	// balancerDelay is how long the load balancer may keep sending requests to
	// a node that reports that it is not ready.
	balancerDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the shutdown limit that stays unused.
	shutdownMargin = 500 * time.Millisecond
	// responseMargin is the time reserved for the final responses to requests
	// that can't be finished.
	responseMargin = 300 * time.Millisecond
	// releaseTimeout bounds the release of the lease, the last step.
	releaseTimeout = 200 * time.Millisecond
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// maxHeaderBytes bounds a request's header.
const maxHeaderBytes = 64 << 10

// Node is one process.
type Node struct {
	// settings are the active settings.
	settings     atomic.Pointer[platform.Settings]
	watcher      *reload.Watcher
	log          *slog.Logger
	store        *platform.Store
	config       *catalog.Follower
	entries      *inventory.Entries
	inventory    *inventory.Inventory
	keeper       *lease.Keeper
	owner        *owner.Owner
	client       *fleet.Client
	follower     *fleet.Follower
	relay        *relay.Relay
	aggregator   *demand.Aggregator
	meter        *demand.Meter
	isolation    isolation.Detector
	shuttingDown atomic.Bool
}

// New wires a node. watcher watches the settings file.
func New(s platform.Settings, watcher *reload.Watcher, log *slog.Logger) *Node {
	debug.SetGCPercent(gcPercent)
	n := &Node{log: log, watcher: watcher, inventory: inventory.New(), aggregator: demand.NewAggregator()}
	n.settings.Store(&s)
	setMemoryLimit(s.MemoryMB)
	store := platform.NewStore(s.StoreAddress)
	self := n.peerAddress()
	n.meter = demand.NewMeter(self)
	n.keeper = &lease.Keeper{
		Self:         s.IP,
		Peer:         self,
		AcquireDelay: acquireDelay(s.Cores, s.LinkMbps),
		Settings:     lease.Settings{Term: leaseTerm, Renew: leaseRenew, Gap: s.OwnerGap},
		Store:        platform.NewLeaseStore(store),
		Log:          log,
	}
	n.follower = &fleet.Follower{Self: self, Holder: n.keeper, Inventory: n.inventory, HTTP: fleet.NewHTTP(), Log: log}
	n.config = catalog.NewFollower(store.Configuration(), platform.DecodeConfiguration, n.follower.Fresh, log)
	n.follower.OnConfigVersion = n.config.NotifyVersion
	n.entries = inventory.NewEntries(store.Endpoints(), platform.DecodeEndpoint, n.inventory, n.follower.Fresh, n.owns, log)
	n.owner = owner.New(owner.Dependencies{
		Catalog:   n.config.Get,
		Inventory: n.inventory,
		Engines:   platform.NewEngines(s.VM),
		Lease:     n.keeper,
		Demand:    n.aggregator,
		Log:       log,
	})
	n.client = &fleet.Client{
		Self:       self,
		Holder:     n.keeper,
		Meter:      n.meter,
		Owner:      n.owner,
		Aggregator: n.aggregator,
		HTTP:       fleet.NewHTTP(),
		Log:        log,
	}
	store.SetFallback(n.client)
	n.store = store
	n.keeper.Alive = n.client.Alive
	n.relay = relay.New(relay.Dependencies{
		DataCentre: s.DataCentre,
		Catalog:    n.config.Get,
		Inventory:  n.inventory,
		Sender:     platform.NewSender(),
		Adapters:   n.client,
		Loads:      n.client,
		Demand:     n.meter,
		Isolated:   n.isolation.Isolated,
		Budget:     relay.Budget{Share: s.RetryShare, Extra: s.RetryExtra, Nodes: n.client.Nodes},
		Log:        log,
	})
	return n
}

// owns reports whether this node owns the engines.
func (n *Node) owns() bool {
	_, ok := n.keeper.Grant()
	return ok
}

func (n *Node) publisher() *fleet.Publisher {
	return &fleet.Publisher{
		Inventory:   n.inventory,
		Owner:       n.owner,
		Config:      n.config.Watch,
		StoreOutage: n.entries.StoreOutage,
		Log:         n.log,
	}
}

func (n *Node) peerAddress() string {
	s := n.settings.Load()
	return net.JoinHostPort(s.IP, fmt.Sprint(s.FirstPeerPort))
}

// ready reports whether the node can serve callers. If not, it also returns the
// reason.
func (n *Node) ready() (bool, string) {
	switch {
	case n.shuttingDown.Load():
		return false, "shutting down"
	case n.config.Get() == nil:
		return false, "no configuration yet"
	case n.inventory.Current().Len() == 0:
		return false, "no endpoints yet"
	case n.isolation.Isolated():
		return false, "data centre cut off"
	}
	return true, ""
}

// closeConnections reports whether callers should make their next request on a
// new connection, which reaches another node.
func (n *Node) closeConnections() bool {
	return n.shuttingDown.Load() || n.isolation.Isolated()
}

// metricsPort is the port of the metrics endpoint.
const metricsPort = "9464"

// registerMetrics registers the metrics of the process as a whole.
func (n *Node) registerMetrics() {
	metrics.GetOrCreateGauge("chestnut_lease_held", func() float64 {
		if n.owns() {
			return 1
		}
		return 0
	})
}

// Run runs the node until ctx ends, then shuts it down gracefully.
func (n *Node) Run(ctx context.Context) error {
	s := n.settings.Load()
	n.log.Info("start", "vm", s.VM, "data_centre", s.DataCentre, "memory_mb", s.MemoryMB)
	n.registerMetrics()
	tree := supervise.New("node", n.log)
	supervise.Add(tree, "configuration", n.config.Run)
	supervise.Add(tree, "endpoints", n.entries.Run)
	supervise.Add(tree, "lease", n.keeper.Run)
	supervise.Add(tree, "owner", n.owner.Run)
	supervise.Add(tree, "demand", n.client.Run)
	supervise.Add(tree, "inventory", n.follower.Run)
	supervise.Add(tree, "isolation", n.watchIsolation)
	supervise.Add(tree, "settings", func(ctx context.Context) error { return n.watcher.Run(ctx, n.readSettings) })
	listener, err := httpserver.Listen(s.CallersListen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	callers := httpserver.New(&http.Server{
		Handler:           platform.NewIngress(n.relay, n.limits, n.closeConnections),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}, listener, n.limits)
	servers := map[string]*http.Server{
		s.ReadyListen:                       {Handler: opshttp.ReadyHandler(platform.ReadyPath, n.ready)},
		n.peerAddress():                     {Handler: fleet.Handler(n.owner, n.aggregator, n.publisher(), n.store, n.log)},
		net.JoinHostPort(s.IP, metricsPort): {Handler: opshttp.Handler(n.ready)},
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, len(servers)+1)
	go func() { failed <- callers.Serve() }()
	for address, server := range servers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		go func() { failed <- server.Serve(listener) }()
	}
	treeDone := tree.ServeBackground(running)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return eris.Wrap(err, "serve")
	}
	n.shutdown(callers)
	stop()
	<-treeDone
	n.log.Info("stop")
	return nil
}

// defaultMaxBody is the maximum size of a request's body in bytes if the
// configuration sets none or is not available.
const defaultMaxBody = 4 << 20

// limits returns the limits of callers' requests by the active configuration.
// The size of the body is always limited.
func (n *Node) limits() httpserver.Limits {
	limits := httpserver.Limits{BodyBytes: defaultMaxBody}
	c := n.config.Get()
	if c == nil {
		return limits
	}
	if c.Limits.BodyBytes > 0 {
		limits.BodyBytes = c.Limits.BodyBytes
	}
	limits.HeaderBytes = c.Limits.HeaderBytes
	limits.Header = c.Limits.HeaderTime
	limits.Idle = c.Limits.IdleTime
	return limits
}

// shutdown reports that the node is not ready, waits until the load balancer
// has reacted, finishes the requests in flight within the shutdown limit and
// releases the lease.
func (n *Node) shutdown(callers *httpserver.Server) {
	startTime := time.Now()
	n.shuttingDown.Store(true)
	n.log.Info("shutting down", "in_flight", n.relay.InFlight())
	allowed := n.settings.Load().ShutdownLimit - shutdownMargin
	shutdownCtx, cancel := context.WithDeadline(context.Background(), startTime.Add(allowed))
	defer cancel()
	n.keeper.Retire()
	abortTimer := time.AfterFunc(allowed-responseMargin, n.relay.Shutdown)
	defer abortTimer.Stop()
	time.Sleep(time.Until(startTime.Add(balancerDelay)))
	if err := callers.Shutdown(shutdownCtx); err != nil {
		n.log.Warn("requests interrupted by the shutdown", "in_flight", n.relay.InFlight(), "error", err)
	}
	releaseCtx, cancelRelease := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancelRelease()
	n.keeper.Release(releaseCtx)
}
