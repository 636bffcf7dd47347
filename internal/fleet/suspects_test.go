package fleet

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/relay"
	"chestnutgauge/internal/suspect"
)

// suspectNode returns the client of a node whose owner is at an address, and serves the
// calls of other nodes. owns means that it owns the engines.
func suspectNode(t *testing.T, owns bool) (client *Client, address string) {
	suspects := NewSuspects()
	suspects.HTTP = NewHTTP()
	suspects.Log = discard
	dependencies := owner.Dependencies{Inventory: inventory.New(), Log: discard}
	if owns {
		dependencies.Lease = heldLease{}
		suspects.Lease = heldLease{}
	}
	engineOwner := owner.New(dependencies)
	limits := NewRateLimits()
	server := httptest.NewServer((&Server{
		Owner:           engineOwner,
		Publisher:       &Publisher{},
		Aggregator:      demand.NewAggregator(),
		RateLimits:      limits,
		RejectionLimits: notice.NewLimits[string](),
		Suspects:        suspects,
		OnConfigVersion: func(int64) {},
		Log:             discard,
	}).Handler())
	t.Cleanup(server.Close)
	address = strings.TrimPrefix(server.URL, "http://")
	suspects.Self = address
	return &Client{
		Self:            address,
		Meter:           demand.NewMeter(address),
		Limits:          limits.Known,
		RejectionLimits: notice.NewLimits[string](),
		Suspects:        suspects,
		Owner:           engineOwner,
		Aggregator:      demand.NewAggregator(),
		HTTP:            NewHTTP(),
		Log:             discard,
		ConfigVersion:   func() int64 { return 1 },
	}, address
}

// TestEndOfEarlierTrial guards against two suspects on an endpoint at a time since the end of a trial, told
// after its time was over, ends the trial of another node that began meanwhile. A request that times out
// tells it so late.
func TestEndOfEarlierTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trials := NewSuspects()
		trials.Self, trials.Holder, trials.Lease, trials.Log = "self", holderAt("self"), heldLease{}, discard
		begin := func(name string, digest suspect.Digest, ttl time.Duration) (relay.Trial, suspect.TrialAnswer) {
			trial := relay.Trial{Name: name, Endpoint: inventory.Key{ID: "e"}, Digests: []suspect.Digest{digest}}
			answer, err := trials.Begin(t.Context(), trial, ttl)
			require.NoError(t, err)
			return trial, answer
		}
		// Nodes of earlier versions send no name.
		first, answer := begin("", 1, time.Millisecond)
		require.Equal(t, suspect.TrialGranted, answer)
		time.Sleep(5 * time.Millisecond)
		second, answer := begin("second", 1, 5*time.Millisecond)
		require.Equal(t, suspect.TrialGranted, answer)
		trials.End(first)
		_, answer = begin("other", 2, time.Minute)
		require.Equal(t, suspect.TrialEndpointBusy, answer)
		time.Sleep(10 * time.Millisecond)
		third, answer := begin("third", 1, time.Minute)
		require.Equal(t, suspect.TrialGranted, answer)
		trials.End(second)
		_, answer = begin("other", 2, time.Minute)
		require.Equal(t, suspect.TrialEndpointBusy, answer)
		trials.End(third)
		last, answer := begin("", 2, time.Minute)
		require.Equal(t, suspect.TrialGranted, answer)
		trials.End(last)
		_, answer = begin("other", 3, time.Minute)
		require.Equal(t, suspect.TrialGranted, answer)
	})
}

// follow makes nodes report to a holder.
func follow(holder Holder, nodes ...*Client) {
	for _, node := range nodes {
		node.Holder = holder
		node.Suspects.Holder = holder
	}
}

var crashing = suspect.Request{Content: 7}

// crashAlone records at a node that an endpoint crashed under the crashing request alone.
func crashAlone(node *Client, endpoint string) {
	node.Suspects.Known.Crashed(endpoint, []suspect.Victim{{Request: crashing, Alone: true}}, time.Now())
}

func (c *Client) blocks() bool {
	return c.Suspects.Known.Check(crashing, time.Now()).State == suspect.Blocked
}

// TestSuspectsAreTold guards against nodes that learn by themselves what others know of
// a crash: each node that reports knows it, also one that starts later or was cut off, or
// under a new owner that knows nothing, and that a suspect was cleared.
func TestSuspectsAreTold(t *testing.T) {
	first, firstAddress := suspectNode(t, true)
	node, _ := suspectNode(t, false)
	other, _ := suspectNode(t, false)
	follow(holderAt(firstAddress), first, node, other)
	require.NoError(t, node.report(t.Context()))
	require.NoError(t, other.report(t.Context()))
	crashAlone(node, "e1")
	require.NoError(t, node.report(t.Context()))
	require.NoError(t, other.report(t.Context()))
	require.True(t, other.blocks(), "a node that had reported before")
	late, _ := suspectNode(t, false)
	follow(holderAt(firstAddress), late)
	require.NoError(t, late.report(t.Context()))
	require.True(t, late.blocks(), "a node that starts later")

	cut, _ := suspectNode(t, false)
	follow(holderAt("127.0.0.1:1"), cut)
	require.Error(t, cut.report(t.Context()))
	require.False(t, cut.blocks())
	follow(holderAt(firstAddress), cut)
	require.NoError(t, cut.report(t.Context()))
	require.True(t, cut.blocks(), "a node that was cut off")

	second, secondAddress := suspectNode(t, true)
	follow(holderAt(secondAddress), node, second)
	require.NoError(t, node.report(t.Context()))
	require.True(t, second.blocks(), "a new owner")

	require.True(t, node.Suspects.Known.Answered(crashing, time.Now()))
	require.NoError(t, node.report(t.Context()))
	require.False(t, second.blocks(), "cleared at the owner")
	follow(holderAt(secondAddress), late)
	require.NoError(t, late.report(t.Context()))
	require.False(t, late.blocks(), "cleared at another node")
}

// TestSuspectsWithoutOwner guards against a crash that the other nodes don't hear of
// while no node owns the engines.
func TestSuspectsWithoutOwner(t *testing.T) {
	gone, goneAddress := suspectNode(t, true)
	node, nodeAddress := suspectNode(t, false)
	other, otherAddress := suspectNode(t, false)
	follow(holderAt(goneAddress), gone, node, other)
	node.peers = []string{nodeAddress, otherAddress}
	follow(holderAt(""), node, other)
	crashAlone(node, "e1")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = node.Run(ctx) }()
	require.Eventually(t, other.blocks, 5*time.Second, time.Millisecond)
}

// TestSuspectsOfNodesWithoutOwner guards against a node that starts, or that was cut off,
// while no node owns the engines, and hears of no suspects until one does: it asks the
// nodes that the last owner knew.
func TestSuspectsOfNodesWithoutOwner(t *testing.T) {
	node, nodeAddress := suspectNode(t, false)
	late, lateAddress := suspectNode(t, false)
	follow(holderAt(""), node, late)
	late.LastNodes = func() []string { return []string{lateAddress, nodeAddress, "127.0.0.1:1"} }
	crashAlone(node, "e1")
	for n := range 300 {
		victim := suspect.Victim{Request: suspect.Request{Content: suspect.Digest(1000 + n)}}
		node.Suspects.Known.Crashed("e1", []suspect.Victim{victim}, time.Now())
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = late.Run(ctx) }()
	knows := func() bool { return late.Suspects.Known.Len() == node.Suspects.Known.Len() }
	require.Eventually(t, knows, 5*time.Second, time.Millisecond)
	require.Equal(t, suspect.Suspected, late.Suspects.Known.Check(crashing, time.Now()).State)
	node.Suspects.Known.Answered(crashing, time.Now())
	cleared := func() bool {
		return late.Suspects.Known.Check(crashing, time.Now()).State == suspect.Unsuspected
	}
	require.Eventually(t, cleared, 5*time.Second, time.Millisecond, "asked once only")
}

// TestNewOwnerAsksForSuspects guards against a suspect that is forgotten when the nodes
// that saw the crash and the owner have started again, though others know it.
func TestNewOwnerAsksForSuspects(t *testing.T) {
	first, firstAddress := suspectNode(t, true)
	origin, _ := suspectNode(t, false)
	other, otherAddress := suspectNode(t, false)
	follow(holderAt(firstAddress), first, origin, other)
	crashAlone(origin, "e1")
	require.NoError(t, origin.report(t.Context()))
	require.NoError(t, other.report(t.Context()))
	require.True(t, other.blocks())

	second, secondAddress := suspectNode(t, true)
	second.LastNodes = func() []string { return []string{"127.0.0.1:1", otherAddress} }
	follow(holderAt(secondAddress), second, other)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = second.Run(ctx) }()
	require.Eventually(t, second.blocks, 5*time.Second, time.Millisecond)
}

// TestTrialOfAllNodes checks that the owner grants one trial of a suspect at a time, and
// that a node without an owner gets an error.
func TestTrialOfAllNodes(t *testing.T) {
	first, firstAddress := suspectNode(t, true)
	node, _ := suspectNode(t, false)
	follow(holderAt(firstAddress), first, node)
	trial := relay.Trial{Name: "trial", Endpoint: inventory.Key{ID: "e"}, Digests: []suspect.Digest{7}}
	first.Suspects.Holder = holderAt(firstAddress)
	begin := func(c *Client) bool {
		answer, err := c.Suspects.Begin(t.Context(), trial, time.Minute)
		require.NoError(t, err)
		return answer == suspect.TrialGranted
	}
	require.True(t, begin(node))
	require.False(t, begin(first))
	node.Suspects.End(trial)
	require.True(t, begin(first))
	follow(holderAt(""), node)
	_, err := node.Suspects.Begin(t.Context(), trial, time.Minute)
	require.ErrorIs(t, err, errNoOwner)
}

// TestSuspectsAreStreamed guards against a node that learns of a crash only with its next
// report: the owner's stream tells it at once what it lacks, also when it follows again.
func TestSuspectsAreStreamed(t *testing.T) {
	atOwner, atNode := NewSuspects(), NewSuspects()
	publisher := &Publisher{
		Inventory:  inventory.New(),
		Owner:      owner.New(owner.Dependencies{Lease: heldLease{}, Log: discard}),
		Config:     func() (int64, <-chan struct{}) { return 1, nil },
		StoreAge:   func() (time.Duration, bool) { return 0, true },
		Incomplete: func() bool { return false },
		StoreEra:   func() int64 { return 0 },
		Suspects:   atOwner.Known,
		Log:        discard,
	}
	server := httptest.NewServer(publisher)
	t.Cleanup(server.Close)
	follower := &Follower{
		Self:            "node",
		Holder:          holderAt(strings.TrimPrefix(server.URL, "http://")),
		Inventory:       inventory.New(),
		HTTP:            NewHTTP(),
		OnConfigVersion: func(int64) {},
		OnStoreEra:      func(int64) {},
		Suspects:        atNode,
		Log:             discard,
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = follower.Run(ctx) }()
	crash := func(endpoint string, content suspect.Digest) {
		victim := suspect.Victim{Request: suspect.Request{Content: content}}
		atOwner.Known.Crashed(endpoint, []suspect.Victim{victim}, time.Now())
	}
	knows := func(n int) func() bool { return func() bool { return atNode.Known.Len() == n } }
	crash("e1", 1)
	require.Eventually(t, knows(1), 5*time.Second, time.Millisecond)
	started := time.Now()
	crash("e2", 2)
	require.Eventually(t, knows(2), 5*time.Second, time.Millisecond)
	require.Less(t, time.Since(started), heartbeatInterval, "with the next heartbeat only")
	server.CloseClientConnections()
	crash("e3", 3)
	require.Eventually(t, knows(3), 5*time.Second, time.Millisecond)
}
