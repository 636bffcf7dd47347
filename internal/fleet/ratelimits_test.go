package fleet

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/ratelimit"
)

// limitedNode returns the rate limits of a node whose owner is at an address.
func limitedNode(holder Holder, nodes int) *RateLimits {
	r := NewRateLimits()
	r.Self = "node"
	r.Holder = holder
	r.Nodes = func() (int, bool) { return nodes, nodes > 0 }
	r.HTTP = NewHTTP()
	r.Log = discard
	return r
}

// serveRateLimits serves the calls of other nodes at one that owns the engines, and
// returns its address and its rate limits.
func serveRateLimits(t *testing.T) (holderAt, *RateLimits) {
	limits := NewRateLimits()
	limits.Lease = heldLease{}
	limits.Log = discard
	engineOwner := owner.New(owner.Dependencies{Inventory: inventory.New(), Lease: heldLease{}, Log: discard})
	server := httptest.NewServer((&Server{Owner: engineOwner, Publisher: &Publisher{}, Suspects: NewSuspects(), Aggregator: demand.NewAggregator(), RateLimits: limits, RejectionLimits: notice.NewLimits[string](), OnConfigVersion: func(int64) {}, Log: discard}).Handler())
	t.Cleanup(server.Close)
	return holderAt(strings.TrimPrefix(server.URL, "http://")), limits
}

// TestLimitsAreTold checks that the owner learns the limits that endpoints named to a
// node, and tells them to the others, once unless it may have started again.
func TestLimitsAreTold(t *testing.T) {
	holder, atOwner := serveRateLimits(t)
	engine := inventory.Key{ID: "e", StartedAtMS: 7}
	newClient := func(name string) *Client {
		return &Client{
			Self:            name,
			Holder:          holder,
			Meter:           demand.NewMeter(name),
			Limits:          notice.NewLimits[inventory.Key](),
			RejectionLimits: notice.NewLimits[string](),
			Suspects:        NewSuspects(),
			Owner:           owner.New(owner.Dependencies{Inventory: inventory.New(), Log: discard}),
			HTTP:            NewHTTP(),
			Log:             discard,
			ConfigVersion:   func() int64 { return 1 },
		}
	}
	node, other := newClient("node"), newClient("other")
	now := time.Now()
	node.Limits.Learn(engine, notice.RateLimit{State: notice.LimitNamed, PerSecond: 2}, now, now)
	require.NoError(t, node.report(t.Context()))
	perSecond, state := atOwner.Known.Get(engine)
	require.Equal(t, notice.LimitNamed, state)
	require.InDelta(t, 2.0, perSecond, 0)
	require.NoError(t, other.report(t.Context()))
	_, state = other.Limits.Get(engine)
	require.Equal(t, notice.LimitNamed, state)

	var report demand.Report
	node.addOwn(&report, string(holder), now)
	require.Empty(t, report.Limits)
	stopped, stop := context.WithCancel(t.Context())
	stop()
	require.Error(t, node.report(stopped))
	node.addOwn(&report, string(holder), now)
	require.Len(t, report.Limits, 1)
}

// TestPermitsOfOneOwner checks that nodes share what the owner grants, by the newest
// limit that it knows, and that it grants all without one.
func TestPermitsOfOneOwner(t *testing.T) {
	holder, atOwner := serveRateLimits(t)
	engine := inventory.Key{ID: "e", StartedAtMS: 7}
	limit := notice.RateLimit{State: notice.LimitNamed, PerSecond: 0.5}
	atOwner.Known.Learn(engine, limit, time.Now(), time.Now())
	granted := 0
	for i := range 10 {
		node := limitedNode(holder, 10)
		answer := node.Ask(t.Context(), engine, 1000, ratelimit.Ask{Request: string(rune('a' + i))})
		if answer.Granted {
			granted++
		} else {
			require.Positive(t, answer.In)
			require.LessOrEqual(t, answer.In, 2*time.Second)
		}
	}
	require.LessOrEqual(t, granted, 1)
	later := time.Now().Add(time.Second)
	atOwner.Known.Learn(engine, notice.RateLimit{}, later, later)
	for range 10 {
		require.True(t, limitedNode(holder, 10).Ask(t.Context(), engine, 0.5, ratelimit.Ask{}).Granted)
	}
}

// TestPermitsWithoutOwner checks that nodes that don't reach the owner send a small
// share of a limit, and nothing if they don't know how many nodes there are.
func TestPermitsWithoutOwner(t *testing.T) {
	for _, holder := range []holderAt{"", "127.0.0.1:1"} {
		engine := inventory.Key{ID: "e"}
		granted := 0
		for range 100 {
			node := limitedNode(holder, 100)
			if node.Ask(t.Context(), engine, 4, ratelimit.Ask{}).Granted {
				granted++
			}
		}
		require.Less(t, granted, 5)
		answer := limitedNode(holder, 0).Ask(t.Context(), engine, 1000, ratelimit.Ask{})
		require.False(t, answer.Granted)
		require.Equal(t, unknownNodesDelay, answer.In)
	}
}

// TestPermitOfCancelledRequest guards against an owner that counts as failed because a
// caller left while its request asked for a permit.
func TestPermitOfCancelledRequest(t *testing.T) {
	holder, _ := serveRateLimits(t)
	node := limitedNode(holder, 10)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	node.Ask(cancelled, inventory.Key{ID: "e"}, 4, ratelimit.Ask{})
	require.False(t, node.failed(string(holder), time.Now()))
}
