// Package controller owns engines: it watches them, orders loads and unloads,
// and tells routers their state.
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

// Parts are what a controller works with.
type Parts struct {
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
	// Settings are DefaultSettings if left unset.
	Settings *Settings
}

// Controller owns engines of one data centre.
type Controller struct {
	Parts

	peerpb.UnimplementedControllerServer

	settings   Settings
	flights    flights
	placements placements
	idleGaps   idleGaps
	transit    transit
	publisher  *endpoints.Publisher
	// engineQueue holds the owned engines to look at, tableQueue the engines
	// for which the table may have to be asked. A pass of the first kind never
	// waits for the table.
	engineQueue *workqueue.Queue
	tableQueue  *workqueue.Queue
	lease       leaseKeeper
	// life ends when the controller does; it ends flights and watches.
	life    context.Context
	end     context.CancelFunc
	watches sync.WaitGroup

	mu      sync.Mutex
	owned   map[string]*ownedEngine
	changed chan struct{}
	// handing is set once the controller hands its engines over.
	handing bool
	// rows are the owner rows as last read, only to decide what to look at.
	rows map[string]ownership.Row
	// unheard is since when no stream has shown an owner of an engine.
	unheard map[string]time.Time
	// leases is what has been seen of other controllers' leases.
	leases map[string]seenLease
}

// New returns a controller with the given parts, which owns nothing yet.
func New(parts Parts) *Controller {
	settings := DefaultSettings()
	if parts.Settings != nil {
		settings = *parts.Settings
	}
	c := &Controller{
		Parts:       parts,
		settings:    settings,
		engineQueue: workqueue.New(),
		tableQueue:  workqueue.New(),
		owned:       map[string]*ownedEngine{},
		changed:     make(chan struct{}),
		rows:        map[string]ownership.Row{},
		unheard:     map[string]time.Time{},
		leases:      map[string]seenLease{},
		lease:       leaseKeeper{writing: semaphore.NewWeighted(1)},
	}
	c.publisher = endpoints.NewPublisher(c, parts.Events.Incarnation())
	c.life, c.end = context.WithCancel(context.Background())
	return c
}

// owner returns the engine if this controller owns it.
func (c *Controller) owner(name string) (*ownedEngine, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owned, ok := c.owned[name]
	return owned, ok
}

// wake tells the streams to routers that something changed.
func (c *Controller) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// snapshot returns the owned engines and the channel that is closed at the
// next change.
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

// take starts watching an engine whose row this controller has written.
func (c *Controller) take(owned *ownedEngine) {
	ctx, cancel := context.WithCancel(c.life)
	owned.stop = cancel
	c.mu.Lock()
	if c.handing {
		c.mu.Unlock()
		cancel()
		return
	}
	c.owned[owned.name] = owned
	delete(c.unheard, owned.name)
	c.mu.Unlock()
	c.Events.Record(events.Event{Kind: events.EndpointTaken, Endpoint: owned.name, Fence: owned.fence})
	c.watches.Go(func() { owned.watch(ctx) })
	c.engineQueue.Add(owned.name)
	c.tableQueue.Add(owned.name)
	c.wake()
}

// drop stops watching and ordering an engine that this controller no longer
// owns.
func (c *Controller) drop(owned *ownedEngine, kind events.Kind) {
	c.mu.Lock()
	if c.owned[owned.name] != owned {
		c.mu.Unlock()
		return
	}
	delete(c.owned, owned.name)
	c.mu.Unlock()
	owned.stop()
	owned.endWants(errAway)
	c.Events.Record(events.Event{Kind: kind, Endpoint: owned.name, Fence: owned.fence})
	c.tableQueue.AddAfter(owned.name, c.settings.Retry)
	c.wake()
}
