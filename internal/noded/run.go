package noded

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"chestnutgauge/internal/httpserver"
	"chestnutgauge/internal/opshttp"
	"chestnutgauge/internal/supervise"
	"chestnutgauge/platform"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// maxHeaderBytes bounds a request's header.
const maxHeaderBytes = 64 << 10

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
	metrics.GetOrCreateGauge("chestnut_suspects", func() float64 { return float64(n.suspects.Known.Len()) })
	metrics.GetOrCreateGauge("chestnut_stream_origins", func() float64 { return float64(n.origins.Len()) })
	metrics.GetOrCreateGauge("chestnut_body_bytes_held", func() float64 { return float64(n.memory.Held()) })
	metrics.GetOrCreateGauge("chestnut_body_memory_full_total", func() float64 { return float64(n.memory.Refusals()) })
	metrics.GetOrCreateGauge("chestnut_links_cut", func() float64 { return float64(n.forwarding.Cuts()) })
	metrics.GetOrCreateGauge("chestnut_store_era", func() float64 { return float64(n.store.Eras().Era()) })
	metrics.GetOrCreateGauge("chestnut_store_position_age_seconds", n.storePositionAge)
	metrics.GetOrCreateGauge("chestnut_config_confirmation_age_seconds", n.configConfirmationAge)
}

// storePositionAge returns the time in seconds since the last answer of the store
// that counted, or infinity if there was none.
func (n *Node) storePositionAge() float64 {
	age, answered := n.store.Eras().AnswerAge()
	if !answered {
		return math.Inf(1)
	}
	return age.Seconds()
}

// configConfirmationAge returns the time in seconds since the configuration in force was
// confirmed, or infinity if it never was.
func (n *Node) configConfirmationAge() float64 {
	age, known := n.config.ConfirmedAge()
	if !known {
		return math.Inf(1)
	}
	return age.Seconds()
}

// Run runs the node until ctx ends, then shuts it down gracefully. It returns an
// error if a server can't be started or fails.
func (n *Node) Run(ctx context.Context) error {
	s := n.settings.Load()
	n.log.Info("start", "vm", s.VM, "data_centre", s.DataCentre, "memory_mb", s.MemoryMB)
	n.registerMetrics()
	running, err := n.serve()
	if err != nil {
		return err
	}
	return n.runWorkers(ctx, running)
}

// servers are the servers of a node that end in order when it shuts down.
type servers struct {
	// callers serves callers, peers other nodes.
	callers, peers *httpserver.Server
	// failed receives the error of a server, also of one that just stops with the process.
	failed chan error
}

// serve starts the servers of the node.
func (n *Node) serve() (*servers, error) {
	s := n.settings.Load()
	handlers := map[string]http.Handler{
		s.ReadyListen:                       opshttp.ReadyHandler(platform.ReadyPath, n.ready),
		net.JoinHostPort(s.IP, metricsPort): withExplain(opshttp.Handler(n.ready), n.relay.Explain),
	}
	running := &servers{failed: make(chan error, len(handlers)+2)}
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, eris.Wrap(err, "listen")
		}
		server := &http.Server{Handler: handler}
		httpserver.WatchCallers(server)
		go func() { running.failed <- server.Serve(listener) }()
	}
	var err error
	if running.peers, err = running.start(n.peerAddress(), &http.Server{Handler: n.peerServer().Handler()}, nil); err != nil {
		return nil, err
	}
	running.callers, err = running.start(s.CallersListen, &http.Server{
		Handler:           platform.NewIngress(n.relay, n.limits, n.closeConnections),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}, n.limits)
	return running, err
}

// start starts a server that ends in order.
func (s *servers) start(address string, server *http.Server, limits func() httpserver.Limits) (*httpserver.Server, error) {
	listener, err := httpserver.Listen(address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	started := httpserver.New(server, listener, limits)
	go func() { s.failed <- started.Serve() }()
	return started, nil
}

// runWorkers runs the workers until ctx ends or a server fails. It then shuts the
// node down gracefully, and returns the server's error in the second case.
func (n *Node) runWorkers(ctx context.Context, serving *servers) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	workersDone := n.workers().ServeBackground(running)
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-serving.failed:
		n.log.Error("server failed", "error", failure)
	}
	n.shutdown(serving)
	stop()
	select {
	case <-workersDone:
	case <-time.After(workersTimeout):
		n.log.Warn("workers still running at the stop", "waited_ms", workersTimeout.Milliseconds())
	}
	n.log.Info("stop")
	return eris.Wrap(failure, "serve")
}

// workers returns the supervisor of the node's workers.
func (n *Node) workers() *supervise.Tree {
	tree := supervise.New("node", n.log)
	supervise.Add(tree, "configuration", n.config.Run)
	supervise.Add(tree, "endpoints", n.entries.Run)
	supervise.Add(tree, "lease", n.keeper.Run)
	supervise.Add(tree, "owner", n.owner.Run)
	supervise.Add(tree, "demand", n.client.Run)
	supervise.Add(tree, "withdrawals", n.relay.RunWithdrawals)
	supervise.Add(tree, "stream origins", n.origins.RunReplication)
	supervise.Add(tree, "version history", n.origins.RunHistory)
	supervise.Add(tree, "stored version history", n.origins.RunStoredHistory)
	supervise.Add(tree, "links", n.forwarding.Run)
	supervise.Add(tree, "partition", n.watchPartition)
	supervise.Add(tree, "inventory", n.follower.Run)
	supervise.Add(tree, "isolation", n.watchIsolation)
	supervise.Add(tree, "settings", func(ctx context.Context) error { return n.watcher.Run(ctx, n.readSettings) })
	return tree
}
