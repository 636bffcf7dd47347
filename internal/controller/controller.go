// Package controller owns engines: it watches their state, orders loads and
// unloads, and publishes their state to routers.
package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/semaphore"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/ownership"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/slots"
	"chestnutgauge/internal/workqueue"
)

// Connect returns a client of the engine at an address.
type Connect func(address string) engine.Engine

// Dependencies are the dependencies of a controller.
type Dependencies struct {
	VM         string
	DataCentre string
	Table      platform.Table
	Config     *config.Follower
	Slots      *slots.Store
	Members    *membership.Tracker
	Directory  *endpoints.Directory
	Peers      *peer.Pool
	Connect    Connect
	Events     *events.Recorder
	Log        *slog.Logger
	// Settings defaults to DefaultSettings.
	Settings *Settings
}

// Controller owns engines of one data centre.
type Controller struct {
	Dependencies

	peerpb.UnimplementedControllerServer

	settings   Settings
	flights    flights
	placements placements
	idleGaps   idleGaps
	transit    transit
	publisher  *endpoints.Publisher
	// engineQueue holds the names of owned engines to reconcile, tableQueue
	// those that may need a read or write of the platform's table. Work on
	// engineQueue never waits for the table.
	engineQueue *workqueue.Queue
	tableQueue  *workqueue.Queue
	lease       leaseKeeper
	// lifetime is cancelled when the controller stops. Flights and watches
	// derive from it.
	lifetime context.Context
	cancel   context.CancelFunc
	watches  sync.WaitGroup

	mu      sync.Mutex
	owned   map[string]*ownedEngine
	changed chan struct{}
	// handingOver is set once HandOver has been called.
	handingOver bool
	// rows caches the owner rows as last read. They only decide which engines
	// to check; a decision to take an engine reads its row again.
	rows map[string]ownership.Row
	// unowned maps each engine that no controller's stream shows as owned to the
	// time since which that is so.
	unowned map[string]time.Time
	// leases holds the last observation of other controllers' leases.
	leases map[string]observedLease
}

// New returns a controller that owns no engine yet.
func New(deps Dependencies) *Controller {
	settings := DefaultSettings()
	if deps.Settings != nil {
		settings = *deps.Settings
	}
	c := &Controller{
		Dependencies: deps,
		settings:     settings,
		engineQueue:  workqueue.New(),
		tableQueue:   workqueue.New(),
		owned:        map[string]*ownedEngine{},
		changed:      make(chan struct{}),
		rows:         map[string]ownership.Row{},
		unowned:      map[string]time.Time{},
		leases:       map[string]observedLease{},
		lease:        leaseKeeper{writing: semaphore.NewWeighted(1)},
	}
	c.publisher = endpoints.NewPublisher(c, deps.Events.Incarnation())
	c.lifetime, c.cancel = context.WithCancel(context.Background())
	return c
}

// lookupOwned returns an engine, and whether this controller owns it.
func (c *Controller) lookupOwned(name string) (*ownedEngine, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owned, ok := c.owned[name]
	return owned, ok
}

// notifyWatchers signals a change to the streams that serve routers.
func (c *Controller) notifyWatchers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// snapshot returns the owned engines and a channel that is closed at the next
// change.
func (c *Controller) snapshot() ([]*ownedEngine, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*ownedEngine, 0, len(c.owned))
	for _, owned := range c.owned {
		out = append(out, owned)
	}
	return out, c.changed
}

func newOperationID() string {
	return uuid.NewString()
}

// startOwning starts watching an engine whose owner row names this controller.
// During a hand-over it does nothing.
func (c *Controller) startOwning(owned *ownedEngine) {
	ctx, cancel := context.WithCancel(c.lifetime)
	owned.stop = cancel
	c.mu.Lock()
	if c.handingOver {
		c.mu.Unlock()
		cancel()
		return
	}
	c.owned[owned.name] = owned
	delete(c.unowned, owned.name)
	c.mu.Unlock()
	c.Events.Record(events.Event{Kind: events.EndpointTaken, Endpoint: owned.name, Fence: owned.fence})
	c.watches.Go(func() { owned.watch(ctx) })
	c.engineQueue.Add(owned.name)
	c.tableQueue.Add(owned.name)
	c.notifyWatchers()
}

// stopOwning stops watching and ordering an engine that this controller no
// longer owns.
func (c *Controller) stopOwning(owned *ownedEngine, kind events.Kind) {
	c.mu.Lock()
	if c.owned[owned.name] != owned {
		c.mu.Unlock()
		return
	}
	delete(c.owned, owned.name)
	c.mu.Unlock()
	owned.stop()
	owned.failWaiters(errUnreachable)
	c.Events.Record(events.Event{Kind: kind, Endpoint: owned.name, Fence: owned.fence})
	c.tableQueue.AddAfter(owned.name, c.settings.Retry)
	c.notifyWatchers()
}
