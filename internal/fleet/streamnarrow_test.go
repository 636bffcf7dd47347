package fleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/suspect"
)

// discardSuspects receives an owner's suspects, and has none.
type discardSuspects struct{}

func (discardSuspects) Receive([]suspect.CrashMark, int64) {}
func (discardSuspects) Received() int64                    { return 0 }

// designEngines returns the endpoints at the size to design for.
func designEngines() []*inventory.Endpoint {
	const engines, models = 4900, 3
	var out []*inventory.Endpoint
	for i := range engines {
		e := &inventory.Endpoint{
			ID: fmt.Sprintf("i-%010x", i), StartedAtMS: 1_784_474_030_000 + int64(i), Service: fmt.Sprintf("pool-%d", i%20),
			Address: fmt.Sprintf("10.%d.%d.%d:8449", i%8, i/200, i%200), DataCentre: fmt.Sprintf("region-%d-a", i%8), Version: "v1", Slots: 24,
			Models: map[string][]string{},
		}
		for k := range models {
			e.Models[fmt.Sprintf("model-%06d", (i*7+k)%1400)] = []string{"a1", "a2"}
		}
		out = append(out, e)
	}
	return out
}

// TestInventoryOverNarrowLink guards against a node that never has the endpoints of the owner, since the first
// message of its stream takes longer over the node's link than the stream may be silent.
func TestInventoryOverNarrowLink(t *testing.T) {
	for _, mbps := range []float64{narrowMbps / 2, narrowMbps / 4} {
		t.Run(fmt.Sprintf("%.1f Mbit/s", mbps), func(t *testing.T) {
			engines := designEngines()
			var known int
			var took time.Duration
			simulate(t, func(s *simulation) {
				near, far := s.network.AddHost("node:1", mbps), s.network.AddHost("owner:1", wideMbps)
				owned := inventory.New()
				owned.Replace(engines)
				s.serve(far, &Publisher{
					Suspects:   suspect.NewRegistry(),
					Inventory:  owned,
					Owner:      &owner.Owner{Dependencies: owner.Dependencies{Lease: heldLease{}}},
					Config:     func() (int64, <-chan struct{}) { return 1, nil },
					StoreAge:   func() (time.Duration, bool) { return 0, true },
					Incomplete: func() bool { return false },
					StoreEra:   func() int64 { return 0 },
				})
				f := &Follower{
					Self: near.Address, Holder: holderAt(far.Address), Inventory: inventory.New(), HTTP: s.client(near),
					OnConfigVersion: func(int64) {}, OnStoreEra: func(int64) {}, Suspects: discardSuspects{}, Log: discard,
				}
				s.done.Go(func() { _ = f.Run(s.ctx) })
				begun := time.Now()
				for known < len(engines) && took < time.Minute {
					time.Sleep(100 * time.Millisecond)
					known, took = f.Inventory.Current().Len(), time.Since(begun)
				}
				sent, _ := far.Bytes()
				t.Logf("%d endpoints after %v, %d bytes", known, took, sent)
			})
			require.Equal(t, len(engines), known)
			require.Greater(t, took, streamTimeout)
		})
	}
}

// TestSilentOwnerIsLeft guards against a node that follows an owner which sends nothing.
func TestSilentOwnerIsLeft(t *testing.T) {
	simulate(t, func(s *simulation) {
		near, far := s.network.AddHost("node:1", narrowMbps), s.network.AddHost("owner:1", wideMbps)
		s.serve(far, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		f := &Follower{Self: near.Address, HTTP: s.client(near), Suspects: discardSuspects{}, Log: discard}
		begun := time.Now()
		require.Error(t, f.follow(s.ctx, far.Address))
		require.Equal(t, streamTimeout, time.Since(begun))
	})
}
