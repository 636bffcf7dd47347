// Package noded implements chestnut-node: it runs the relay of callers'
// requests and the owner of engines in one process on the users' platform.
package noded

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/fleet"
	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/httpserver"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/isolation"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/membudget"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/relay"
	"chestnutgauge/internal/reload"
	"chestnutgauge/internal/streamorigin"
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

// Parts of the dating period of a configuration.
const (
	// rewriteTime is the time within which operators write their configuration
	// again after a restore of the store.
	rewriteTime = 3 * time.Second
	// announcementTime is the time from the start of an owner until it has told a
	// node which configuration is in force.
	announcementTime = time.Second
)

// datingPeriod returns how long a node without a configuration does not use one from
// a restored store that nothing dates. It outlasts the time in which no node can own
// the engines and announce the one in force.
func datingPeriod(s lease.Settings) time.Duration {
	ownerless := lease.UnknownHolderDelay(0, s) + maxAcquireDelay
	return max(rewriteTime, ownerless+announcementTime)
}

// Node is one process.
type Node struct {
	// settings are the active settings.
	settings        atomic.Pointer[platform.Settings]
	watcher         *reload.Watcher
	log             *slog.Logger
	store           *platform.Store
	config          *catalog.Follower
	entries         *inventory.Entries
	inventory       *inventory.Inventory
	keeper          *lease.Keeper
	owner           *owner.Owner
	client          *fleet.Client
	follower        *fleet.Follower
	relay           *relay.Relay
	aggregator      *demand.Aggregator
	meter           *demand.Meter
	rateLimits      *fleet.RateLimits
	suspects        *fleet.Suspects
	origins         *fleet.Origins
	forwarding      *fleet.Forwarding
	rejectionLimits *notice.Limits[string]
	places          *fleet.Places
	teamLimits      *fleet.TeamLimits
	retryParts      *fleet.RetryParts
	memory          *membudget.Budget
	balancer        *fleet.Balancer
	isolation       isolation.Detector
	startedAt       time.Duration
	shuttingDown    atomic.Bool
}

// New wires a node. watcher watches the settings file. Connections to endpoints are
// established as endpointDial says.
func New(s platform.Settings, watcher *reload.Watcher, log *slog.Logger, endpointDial ...httpclient.Wrap) *Node {
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(s.MemoryMB)
	n := &Node{
		startedAt:       monotime.Now(),
		log:             log,
		watcher:         watcher,
		inventory:       inventory.New(),
		aggregator:      demand.NewAggregator(),
		rateLimits:      fleet.NewRateLimits(),
		suspects:        fleet.NewSuspects(),
		origins:         fleet.NewOrigins(),
		forwarding:      fleet.NewForwarding(),
		rejectionLimits: notice.NewLimits[string](),
		places:          fleet.NewPlaces(),
		balancer:        fleet.NewBalancer(),
		store:           platform.NewStore(s.StoreAddress, log),
		memory:          membudget.New(bodyMemory(s.MemoryMB)),
	}
	n.settings.Store(&s)
	w := &wiring{Node: n, settings: s, self: n.peerAddress(), shares: fairshare.NewMeter(), endpointDial: endpointDial}
	w.wireLease()
	w.wireTables()
	w.wireOwner()
	w.wireClient()
	w.wireLimits()
	w.wireStreams()
	w.wireForwarding()
	w.wireStore()
	w.wireRelay()
	return n
}

// SetCostPerKB changes the cost of 1,024 bytes between data centres, as the time for which a
// request rather waits than sends them there.
func (n *Node) SetCostPerKB(cost time.Duration) { n.relay.SetCostPerKB(cost) }

// recordLeaving records that an engine said in its response to the owner that it
// is leaving.
func (n *Node) recordLeaving(engine inventory.Key) {
	recorder := inventory.Recorder{Inventory: n.inventory, Log: n.log}
	mark := inventory.DrainMark{ID: engine.ID, StartedAtMS: engine.StartedAtMS}
	recorder.Record(inventory.SourceOrder, []inventory.DrainMark{mark}, time.Now())
}

// knownNodes returns the number of nodes that the owner or the one before has told, 0 without one.
func (n *Node) knownNodes() int {
	nodes, _ := n.client.KnownNodes()
	return max(nodes, n.keeper.LastNodeCount())
}

// owns reports whether this node owns the engines.
func (n *Node) owns() bool {
	_, ok := n.keeper.Grant()
	return ok
}

// otherOwner returns the address of the node that owns the engines, or "" without one or if it is this one.
func (n *Node) otherOwner() string {
	if holder := n.keeper.Holder(); holder != n.peerAddress() {
		return holder
	}
	return ""
}

func (n *Node) publisher() *fleet.Publisher {
	return &fleet.Publisher{
		Inventory:  n.inventory,
		Owner:      n.owner,
		Config:     n.config.Watch,
		ConfigCopy: n.config.CopyFor,
		StoreAge:   n.storeAge,
		Incomplete: n.entries.Incomplete,
		StoreEra:   n.store.Eras().Era,
		Suspects:   n.suspects.Known,
		Log:        n.log,
	}
}

// peerServer returns the server of the calls of other nodes.
func (n *Node) peerServer() *fleet.Server {
	return &fleet.Server{
		Owner:           n.owner,
		Aggregator:      n.aggregator,
		Publisher:       n.publisher(),
		Store:           n.store,
		RateLimits:      n.rateLimits,
		Suspects:        n.suspects,
		Origins:         n.origins,
		Forwarding:      n.forwarding,
		RejectionLimits: n.rejectionLimits,
		Places:          n.places,
		TeamLimits:      n.teamLimits,
		RetryParts:      n.retryParts,
		Balancer:        n.balancer,
		Forwarder:       &fleet.Forwarder{Serve: n.relay.ServeForwarded, Closing: n.shuttingDown.Load, Memory: n.memory},
		OnConfigVersion: n.config.NotifyVersion,

		ConfigConfirmation: n.config.Confirmation,
		ConfigCopy:         n.config.CopyFor,
		ConfigRows:         fleet.NewRowSender(n.config.Encoding, n.settings.Load().LinkMbps),

		Log: n.log,
	}
}

// inventoryCurrent reports whether the owner, or the store, has just confirmed what this
// node knows of the endpoints.
func (n *Node) inventoryCurrent() bool {
	age, known := n.entries.StoreAge()
	return !n.entries.Incomplete() && (n.follower.Fresh() || known && age < maxInventoryAge)
}

// errIncomplete means that the store may lack endpoints since it was restored.
var errIncomplete = errors.New("endpoints may be missing")

// readServing reads from the store which versions serve now. It leaves the inventory as it is, which may
// be newer than the result.
func (n *Node) readServing(ctx context.Context) (map[streamorigin.Origin]bool, error) {
	rows, err := n.store.Endpoints().Read(ctx)
	if err != nil {
		return nil, err
	}
	if n.entries.Incomplete() {
		return nil, errIncomplete
	}
	serving := map[streamorigin.Origin]bool{}
	for _, row := range rows.Rows {
		// A row that can't be decoded names no endpoint to use.
		if e, err := platform.DecodeEndpoint(row); err == nil && e != nil {
			serving[streamorigin.Origin{Service: e.Service, Version: e.Version}] = true
		}
	}
	return serving, nil
}

// maxInventoryAge is the age up to which what the store told of the endpoints counts as
// current.
const maxInventoryAge = 1500 * time.Millisecond

// storeAge returns the time since the store last confirmed both the endpoints and
// the configuration, or false if it never did.
func (n *Node) storeAge() (time.Duration, bool) {
	entries, entriesKnown := n.entries.StoreAge()
	config, configKnown := n.config.StoreAge()
	return max(entries, config), entriesKnown && configKnown
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
	case !n.ownerLookedUp():
		return false, "owner not looked up yet"
	}
	return true, ""
}

// maxLookUp is how long after its start a node is not ready since it has not looked up the owner: it
// has no part of the limits of all nodes before.
const maxLookUp = time.Second

// ownerLookedUp reports whether the node knows who owns the engines, or that this can't be told soon.
func (n *Node) ownerLookedUp() bool {
	_, known := n.keeper.NeverHeld()
	return known || monotime.Now()-n.startedAt > maxLookUp
}

// closeConnections reports whether callers should make their next request on a
// new connection, which reaches another node.
func (n *Node) closeConnections() bool {
	return n.shuttingDown.Load() || n.isolation.Isolated()
}

// defaultMaxBody is the maximum size of a request's body in bytes if the
// configuration sets none or is not available.
const defaultMaxBody = 4 << 20

// limits returns the limits of callers' requests by the active configuration.
// The size of the body is always limited.
func (n *Node) limits() httpserver.Limits {
	limits := httpserver.Limits{BodyBytes: defaultMaxBody}
	basis := n.config.Basis()
	c := basis.Catalog
	if c == nil {
		return limits
	}
	limits.Provisional = !basis.Permits(catalog.DecisionRefuseSize)
	if c.Limits.BodyBytes > 0 {
		limits.BodyBytes = c.Limits.BodyBytes
	}
	limits.HeaderBytes = c.Limits.HeaderBytes
	limits.Header = c.Limits.HeaderTime
	limits.Idle = c.Limits.IdleTime
	return limits
}
