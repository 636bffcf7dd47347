package noded

import (
	"time"

	"github.com/google/uuid"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/fleet"
	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/relay"
	"chestnutgauge/platform"
)

// wiring connects the parts of a node. Its methods are called in the order in which New does.
type wiring struct {
	*Node
	settings platform.Settings
	// self is the node's address for other nodes.
	self string
	// shares measures the work of teams.
	shares       *fairshare.Meter
	endpointDial []httpclient.Wrap
}

// wireLease sets up the lease of the engines' owner.
func (w *wiring) wireLease() {
	n, s, self, log, store := w.Node, w.settings, w.self, w.log, w.store
	n.meter = demand.NewMeter(self)
	n.keeper = &lease.Keeper{
		Self:         s.IP,
		Peer:         self,
		AcquireDelay: acquireDelay(s.Cores, s.LinkMbps),
		Settings:     lease.Settings{Term: leaseTerm, Renew: leaseRenew, Gap: s.OwnerGap},
		Store:        platform.NewLeaseStore(store),
		Log:          log,
	}
}

// wireTables sets up what follows the configuration and the endpoints.
func (w *wiring) wireTables() {
	n, s, self, log, store := w.Node, w.settings, w.self, w.log, w.store
	n.follower = &fleet.Follower{Self: self, Holder: n.keeper, Inventory: n.inventory, HTTP: fleet.NewHTTP(), Log: log}
	n.config = catalog.NewFollower(store.Configuration(), platform.DecodeConfiguration, n.follower.Fresh, datingPeriod(n.keeper.Settings), log)
	// The owner streams its inventory only while the store has just confirmed what it knows of
	// the configuration too.
	n.config.Feed().IsOwner = n.owns
	n.config.MaxAge = func() time.Duration { return n.settings.Load().MaxConfigurationAge() }
	n.config.MaxKeyAge = func() (time.Duration, bool) { return n.settings.Load().MaxConfirmationAge() }
	n.follower.OnConfigVersion = n.config.NotifyVersion
	n.follower.OnConfigCopy = n.config.UseCopy
	n.follower.ConfigVersion = n.config.Version
	n.follower.OnStoreEra = store.Eras().Learn
	n.entries = inventory.NewEntries(store.Endpoints(), platform.DecodeEndpoint, n.inventory, s.EndpointHeartbeat, n.follower.Fresh, n.owns, log)
	// What the owner has removed meanwhile, an older read of the store would bring back.
	n.entries.Feed().Superseded = n.follower.HeardSince
}

// wireOwner sets up the owner of the engines.
func (w *wiring) wireOwner() {
	n, s, log, endpointDial := w.Node, w.settings, w.log, w.endpointDial
	n.owner = owner.New(owner.Dependencies{
		Catalog:    n.config.Get,
		Inventory:  n.inventory,
		Engines:    platform.NewEngines(s.VM, n.recordLeaving, log, endpointDial...),
		Lease:      n.keeper,
		Demand:     n.aggregator,
		StoreRate:  owner.StoreRate{Factor: s.StoreLoadFactor, Window: s.StoreLoadWindow},
		Incomplete: n.entries.Incomplete,
		Log:        log,
	})
}

// wireClient sets up the calls to the owner.
func (w *wiring) wireClient() {
	n, self, log, shares := w.Node, w.self, w.log, w.shares
	n.client = &fleet.Client{
		Self:            self,
		Holder:          n.keeper,
		Meter:           n.meter,
		Owner:           n.owner,
		Aggregator:      n.aggregator,
		Limits:          n.rateLimits.Known,
		RejectionLimits: n.rejectionLimits,
		Suspects:        n.suspects,
		LastNodes:       n.keeper.LastNodes,
		ConfigVersion:   n.config.Version,
		Shares:          shares,

		OnConfigConfirmed: n.config.Confirm,

		HTTP: fleet.NewHTTP(),
		Log:  log,
	}
	n.config.AskOthers = n.client.AskConfig
	n.config.Nodes = n.client
	n.config.OwnerNode = n.otherOwner
}

// wireLimits sets up the limits that all nodes share.
func (w *wiring) wireLimits() {
	n, s, self, log := w.Node, w.settings, w.self, w.log
	n.rateLimits.Self = self
	n.rateLimits.Holder = n.keeper
	n.rateLimits.Lease = n.keeper
	n.rateLimits.Nodes = n.client.KnownNodes
	n.rateLimits.HTTP = fleet.NewHTTP()
	n.rateLimits.Log = log
	n.teamLimits = &fleet.TeamLimits{
		Self:          self,
		Holder:        n.keeper,
		Lease:         n.keeper,
		Catalog:       n.config.Get,
		Bounds:        ratelimit.Bounds{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		LastNodes:     n.keeper.LastNodes,
		LastNodeCount: n.keeper.LastNodeCount,
		Clock:         monotime.Now,
		HTTP:          fleet.NewHTTP(),
		Log:           log,
	}
	n.teamLimits.Others = n.client.Others
	n.client.TeamLimits = n.teamLimits
	n.retryParts = fleet.NewRetryParts(uuid.NewString(), s.RetryWindow)
	n.retryParts.Lease = n.keeper
	n.retryParts.Extra = func() float64 { return n.settings.Load().RetryExtra }
	n.retryParts.Nodes = n.knownNodes
	n.retryParts.NeverOwned = n.keeper.NeverHeld
	n.client.RetryParts = n.retryParts
	n.places.Self = self
	n.places.Holder = n.keeper
	n.places.Lease = n.keeper
	n.places.Nodes = n.client.Addresses
	n.places.HTTP = fleet.NewHTTP()
	n.places.Log = log
	n.balancer.Self = self
	n.balancer.Holder = n.keeper
	n.balancer.Lease = n.keeper
	n.balancer.Inventory = n.inventory
	n.balancer.HTTP = fleet.NewHTTP()
	n.balancer.Log = log
}

// wireStreams sets up what nodes tell each other of requests: suspects, and the origins of streams.
func (w *wiring) wireStreams() {
	n, self, log := w.Node, w.self, w.log
	n.suspects.Self = self
	n.suspects.Holder = n.keeper
	n.suspects.Lease = n.keeper
	n.suspects.HTTP = fleet.NewHTTP()
	n.suspects.Log = log
	n.follower.Suspects = n.suspects
	n.origins.Nodes = n.client.Others
	n.origins.Inventory = n.inventory
	n.origins.Current = n.inventoryCurrent
	n.origins.Serving = n.readServing
	n.origins.Stored = fleet.StoredHistory{
		Store:    platform.NewHistoryStore(n.store),
		Position: n.appliedPosition,
		Owns:     n.owns,
	}
	n.origins.HTTP = fleet.NewHTTP()
	n.origins.Log = log
}

// wireForwarding sets up the ways to endpoints.
func (w *wiring) wireForwarding() {
	n, log, endpointDial := w.Node, w.log, w.endpointDial
	n.forwarding.Direct = platform.NewSender(log, endpointDial...).WithMemory(n.memory)
	n.forwarding.Others = n.client.Others
	n.forwarding.Inventory = n.inventory
	n.forwarding.OnCut = n.meter.ForgetReach
	n.forwarding.HTTP = fleet.NewHTTP()
	n.forwarding.ForwardHTTP = fleet.NewForwardHTTP(n.memory)
	n.forwarding.Log = log
}

// wireStore has calls to the store made through other nodes, too, and follows its restores.
func (w *wiring) wireStore() {
	n := w.Node
	n.store.SetFallback(n.client)
	n.followRestores(n.store.Eras())
	n.keeper.Alive = n.client.Alive
	n.keeper.Nodes = n.client.Addresses
}

// wireRelay sets up the relay of callers' requests.
func (w *wiring) wireRelay() {
	n, s, log, shares := w.Node, w.settings, w.log, w.shares
	n.relay = relay.New(relay.Dependencies{
		DataCentre:      s.DataCentre,
		Catalog:         n.config.Get,
		Inventory:       n.inventory,
		Sender:          n.forwarding,
		Forwarding:      n.forwarding,
		RejectionLimits: n.rejectionLimits,
		Places:          n.places,
		TeamLimits:      n.teamLimits,
		Balancer:        n.balancer,
		Adapters:        n.client,
		Loads:           n.client,
		Demand:          n.meter,
		Shares:          shares,
		Limits:          n.rateLimits.Known,
		Permits:         n.rateLimits,
		Suspects:        n.suspects.Known,
		Trials:          n.suspects,
		Origins:         n.origins,
		Isolated:        n.isolation.Isolated,
		Memory:          n.memory,
		RetryParts:      n.retryParts,
		Budget:          relay.Budget{Share: s.RetryShare, Extra: s.RetryExtra, Nodes: n.client.Nodes},
		Log:             log,

		AwaitConfiguration: n.config.Await,
		Basis:              n.config.Basis,
	})
	n.client.OnLeads = n.relay.HoldBack
}
