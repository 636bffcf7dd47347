package fleet

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/owner"
)

// confirmingOwner serves demand reports as an owner that answers after a delay.
func confirmingOwner(t *testing.T, delay time.Duration, confirmation func() (int64, time.Duration, bool)) string {
	server := &Server{
		Owner:              owner.New(owner.Dependencies{Inventory: inventory.New(), Lease: heldLease{}, Log: discard}),
		Publisher:          &Publisher{},
		Aggregator:         demand.NewAggregator(),
		RateLimits:         NewRateLimits(),
		RejectionLimits:    notice.NewLimits[string](),
		Suspects:           NewSuspects(),
		OnConfigVersion:    func(int64) {},
		ConfigConfirmation: confirmation,
		Log:                discard,
	}
	handler := server.Handler()
	listening := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		time.Sleep(delay)
	}))
	t.Cleanup(listening.Close)
	return listening.Listener.Addr().String()
}

// TestDemandResponseConfirmsConfiguration guards against a confirmation that counts from the
// arrival of the response, which may be late, or that omits the age of the owner's own one.
func TestDemandResponseConfirmsConfiguration(t *testing.T) {
	const age, delay = 700*time.Millisecond + time.Microsecond, 50 * time.Millisecond
	known := true
	address := confirmingOwner(t, delay, func() (int64, time.Duration, bool) { return 7, age, known })
	node, _ := suspectNode(t, false)
	follow(holderAt(address), node)
	var versions []int64
	var at time.Duration
	node.OnConfigConfirmed = func(version int64, confirmedAt time.Duration) {
		versions, at = append(versions, version), confirmedAt
	}
	before := monotime.Now()
	require.NoError(t, node.report(t.Context()))
	after := monotime.Now()
	require.Equal(t, []int64{7}, versions)
	require.Less(t, at, after-delay-age, "counted from the response")
	require.GreaterOrEqual(t, at, before-age-time.Millisecond)

	known = false
	require.NoError(t, node.report(t.Context()))
	require.Len(t, versions, 1, "an owner without a confirmation confirms nothing")
}

// TestOwnerDoesNotConfirmItself guards against an owner whose configuration stays confirmed by
// its own reports while it can't read the store.
func TestOwnerDoesNotConfirmItself(t *testing.T) {
	node, address := suspectNode(t, true)
	follow(holderAt(address), node)
	node.OnConfigConfirmed = func(int64, time.Duration) { t.Error("confirmed") }
	require.NoError(t, node.report(t.Context()))
}

// lapsedLease is a lease whose grant has expired.
type lapsedLease struct{}

func (lapsedLease) Grant() (lease.Grant, bool) { return lease.Grant{}, false }

// TestFormerOwnerKnowsOtherNodes guards against a node whose lease has expired, as the store does not
// answer it, and that then knows no other node to ask for the configuration: no node reports to it any
// more, and it took the list of those that do for the list of all nodes.
func TestFormerOwnerKnowsOtherNodes(t *testing.T) {
	node, address := suspectNode(t, false)
	node.Owner = owner.New(owner.Dependencies{Inventory: inventory.New(), Lease: lapsedLease{}, Log: discard})
	node.Aggregator = demand.NewAggregator()
	follow(holderAt(address), node)
	node.storeResponse(address, DemandResponse{Peers: []string{address, "127.0.0.1:1", "127.0.0.1:2"}})
	_ = node.report(t.Context())
	require.ElementsMatch(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, node.nextPeers(configAsked))
}

// TestNewOwnerNamesFewNodes guards against a node that asks none of the nodes that it knew, since a new
// owner names only those that have reported to it so far.
func TestNewOwnerNamesFewNodes(t *testing.T) {
	node, address := suspectNode(t, false)
	node.storeResponse("127.0.0.1:1", DemandResponse{Peers: []string{address, "127.0.0.1:1", "127.0.0.1:2"}})
	node.storeResponse("127.0.0.1:2", DemandResponse{Peers: []string{"127.0.0.1:2"}})
	require.ElementsMatch(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, node.nextPeers(configAsked))
}
