package fleet

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/owner"
)

// TestBytesOfConfigurationQuestions guards against questions for the configuration that take more than
// a node has for control at the size to design for, where all but one of 350 nodes ask.
func TestBytesOfConfigurationQuestions(t *testing.T) {
	const (
		// asked is the highest number of nodes that one asks in a second in TestConfigurationSpreads.
		asked    = 15
		maxBytes = 29_000
		rounds   = 100
	)
	server := &Server{
		Owner:      owner.New(owner.Dependencies{Inventory: inventory.New(), Lease: heldLease{}, Log: discard}),
		Publisher:  &Publisher{},
		Aggregator: demand.NewAggregator(),
		RateLimits: NewRateLimits(),
		Suspects:   NewSuspects(),
		ConfigCopy: func(int64, catalog.Form) (catalog.Copy, time.Duration, bool) {
			return catalog.Copy{Version: 123456}, 1234 * time.Millisecond, true
		},
		Log: discard,
	}
	listening := httptest.NewUnstartedServer(server.Handler())
	var bytes atomic.Int64
	listening.Listener = countedListener{listening.Listener, &bytes}
	listening.Start()
	t.Cleanup(listening.Close)
	node := &Client{Self: "self", HTTP: NewHTTP(), Log: discard, peers: []string{listening.Listener.Addr().String()}}
	answers := 0
	for range rounds {
		node.AskConfig(t.Context(), 123456, func(catalog.Copy) { answers++ })
	}
	require.Equal(t, rounds, answers)
	perQuestion := bytes.Load() / rounds
	t.Logf("%d bytes a question and answer", perQuestion)
	// A node asks and is asked.
	require.Less(t, 2*asked*perQuestion, int64(maxBytes))
}

// BenchmarkConfigurationQuestion measures a question and its answer, at both nodes.
func BenchmarkConfigurationQuestion(b *testing.B) {
	server := &Server{ConfigCopy: func(int64, catalog.Form) (catalog.Copy, time.Duration, bool) {
		return catalog.Copy{Version: 123456}, time.Second, true
	}, Log: discard}
	listening := httptest.NewServer(http.HandlerFunc(server.serveConfigCopy))
	b.Cleanup(listening.Close)
	node := &Client{Self: "self", HTTP: NewHTTP(), Log: discard, peers: []string{listening.Listener.Addr().String()}}
	for b.Loop() {
		node.AskConfig(b.Context(), 123456, func(catalog.Copy) {})
	}
}
