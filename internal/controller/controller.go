// Package controller owns engines: it watches them, orders loads and unloads,
// and tells routers their state.
package controller

import (
	"context"
	"log/slog"
	"sync"

	"github.com/google/uuid"
	"golang.org/x/sync/singleflight"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/slots"
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
}

// Controller owns engines of one data centre.
type Controller struct {
	Parts

	peerpb.UnimplementedControllerServer

	flights singleflight.Group
	// life ends when the controller does; it ends flights and watches.
	life    context.Context
	end     context.CancelFunc
	watches sync.WaitGroup

	mu      sync.Mutex
	owned   map[string]*ownedEngine
	changed chan struct{}
}

// New returns a controller with the given parts, which owns nothing yet.
func New(parts Parts) *Controller {
	c := &Controller{
		Parts:   parts,
		owned:   map[string]*ownedEngine{},
		changed: make(chan struct{}),
	}
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

// take starts watching an engine that was just taken.
func (c *Controller) take(owned *ownedEngine) {
	ctx, cancel := context.WithCancel(c.life)
	owned.stop = cancel
	c.mu.Lock()
	c.owned[owned.name] = owned
	c.mu.Unlock()
	c.Events.Record(events.Event{Kind: events.EndpointTaken, Endpoint: owned.name, Fence: owned.fence})
	c.watches.Go(func() { owned.watch(ctx) })
	c.wake()
}
