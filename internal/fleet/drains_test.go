package fleet

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/era"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/suspect"
)

// heldLease is a lease that is always held.
type heldLease struct{}

func (heldLease) Grant() (lease.Grant, bool) {
	return lease.Grant{Fence: 1, Left: time.Minute}, true
}

// holderAt is the address of the owner.
type holderAt string

// Holder implements Holder.
func (h holderAt) Holder() string { return string(h) }

var discard = slog.New(slog.DiscardHandler)

// newInventory returns an inventory with engines whose entries show them as ready.
func newInventory(ids ...string) *inventory.Inventory {
	i := inventory.New()
	var endpoints []*inventory.Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, &inventory.Endpoint{ID: id, StartedAtMS: 7, Service: "s", Entry: era.Position{Version: 1}})
	}
	i.Replace(endpoints)
	return i
}

func mark(i *inventory.Inventory, id string) {
	recorder := inventory.Recorder{Inventory: i, Log: discard}
	recorder.Record(inventory.SourceResponse, []inventory.DrainMark{{ID: id, StartedAtMS: 7}}, time.Now())
}

// serveOwner serves the calls of other nodes at the owner of an inventory, and
// returns its address.
func serveOwner(t *testing.T, i *inventory.Inventory) holderAt {
	engineOwner := owner.New(owner.Dependencies{Inventory: i, Lease: heldLease{}, Log: discard})
	publisher := &Publisher{
		Suspects:   suspect.NewRegistry(),
		Inventory:  i,
		Owner:      engineOwner,
		Config:     func() (int64, <-chan struct{}) { return 1, nil },
		StoreAge:   func() (time.Duration, bool) { return 0, true },
		Incomplete: func() bool { return false },
		StoreEra:   func() int64 { return 3 },
		Log:        discard,
	}
	peers := &Server{
		Owner:           engineOwner,
		Aggregator:      demand.NewAggregator(),
		Publisher:       publisher,
		RateLimits:      NewRateLimits(),
		RejectionLimits: notice.NewLimits[string](),
		Suspects:        NewSuspects(),
		OnConfigVersion: func(int64) {},
		Log:             discard,
	}
	server := httptest.NewServer(peers.Handler())
	t.Cleanup(server.Close)
	return holderAt(strings.TrimPrefix(server.URL, "http://"))
}

// TestDrainMarksAreTold guards against a node that sends requests to an engine
// that another node knows to leave: a node tells the owner, and the owner the
// others, those that follow it already and those that start to, though the entries
// of the engines do not change.
func TestDrainMarksAreTold(t *testing.T) {
	const timeout = 10 * time.Second
	atOwner, atNode, atOther := newInventory("a", "b"), newInventory("a", "b"), newInventory("a", "b")
	holder := serveOwner(t, atOwner)
	client := &Client{
		Self:            "node",
		Holder:          holder,
		Meter:           demand.NewMeter("node"),
		Limits:          notice.NewLimits[inventory.Key](),
		RejectionLimits: notice.NewLimits[string](),
		Suspects:        NewSuspects(),
		Owner:           owner.New(owner.Dependencies{Inventory: atNode, Log: discard}),
		HTTP:            NewHTTP(),
		Log:             discard,

		ConfigVersion: func() int64 { return 1 },
	}
	mark(atNode, "a")
	require.NoError(t, client.report(t.Context()))
	require.True(t, atOwner.Current().Endpoint("a").Leaving, "the owner is not told")
	require.False(t, atOwner.Current().Endpoint("b").Leaving)

	follower := &Follower{
		Suspects:        NewSuspects(),
		Self:            "other",
		Holder:          holder,
		Inventory:       atOther,
		HTTP:            NewHTTP(),
		OnConfigVersion: func(int64) {},
		OnStoreEra:      func(int64) {},
		Log:             discard,
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = follower.Run(ctx)
	}()
	leaves := func(id string) func() bool {
		return func() bool { return atOther.Current().Endpoint(id).Leaving }
	}
	require.Eventually(t, leaves("a"), timeout, time.Millisecond, "a new follower is not told")
	require.False(t, leaves("b")())
	mark(atOwner, "b")
	require.Eventually(t, leaves("b"), timeout, time.Millisecond, "a follower is not told")
	stop()
	<-ended
}
