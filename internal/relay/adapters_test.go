package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
)

// fakeAdapters is an owner that loads an adapter on an engine, or fails if that
// is empty. It records the needs.
type fakeAdapters struct {
	engine string
	needs  []demand.AdapterNeed
}

func (f *fakeAdapters) EnsureAdapter(_ context.Context, need demand.AdapterNeed) (string, time.Time, error) {
	f.needs = append(f.needs, need)
	if f.engine == "" {
		return "", time.Time{}, errors.New("no owner")
	}
	return f.engine, time.Now(), nil
}

// newAdapterRelay returns a relay whose engine b lists adapter a1 of model m.
func newAdapterRelay(adapters Adapters) (*Relay, *fakeEndpoints) {
	endpoints := &fakeEndpoints{next: []behaviour{answer(200, eventOne)}}
	r := newRelay(endpoints)
	r.Adapters = adapters
	r.Inventory.Change([]*inventory.Endpoint{{ID: "b", Service: "s", Slots: 4, Models: map[string][]string{"m": {"a1"}}}}, nil)
	return r, endpoints
}

func adapterRequest(adapter string) *Request {
	req := request("resume", "m")
	req.Adapter = adapter
	return req
}

// TestAdapterWithoutOwner checks that, while no owner can be asked, a request is
// sent to an engine whose entry lists its adapter, and refused if there is none.
func TestAdapterWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, endpoints := newAdapterRelay(&fakeAdapters{})
		started := time.Now()
		require.Nil(t, r.Serve(t.Context(), adapterRequest("a1"), &fakeAnswer{}))
		require.Equal(t, []string{"b"}, endpoints.endpointIDs)
		require.Equal(t, started, time.Now(), "the request waited")
		failure := r.Serve(t.Context(), adapterRequest("a2"), &fakeAnswer{})
		require.Equal(t, ReasonNoAdapter, failure.Reason)
	})
}

// TestAdapterMoves checks that an adapter stays where it was loaded, and is
// loaded elsewhere once the streams of that engine pause for too long.
func TestAdapterMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeAdapters{engine: "a"}
		r, endpoints := newAdapterRelay(owner)
		r.Catalog().Route("h", "/resume/x").MaxGap = 400 * time.Millisecond
		serve := func() {
			endpoints.next = []behaviour{answer(200, eventOne)}
			require.Nil(t, r.Serve(t.Context(), adapterRequest("a2"), &fakeAnswer{}))
		}
		serve()
		serve()
		require.Equal(t, []string{"a", "a"}, endpoints.endpointIDs)
		require.Len(t, owner.needs, 1)

		for range 10 {
			r.loads.Paused("a", time.Second, time.Now())
		}
		owner.engine = "c"
		serve()
		serve()
		require.Equal(t, []string{"a", "a", "c", "c"}, endpoints.endpointIDs)
		require.Len(t, owner.needs, 2)
		require.Equal(t, "a", owner.needs[1].Avoid)
	})
}

// TestIsolated checks that a request for a model that no engine within reach
// holds is refused at once while the data centre is cut off.
func TestIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay(&fakeEndpoints{})
		r.Isolated = func() bool { return true }
		started := time.Now()
		failure := r.Serve(t.Context(), request("resume", "rare"), &fakeAnswer{})
		require.Equal(t, ReasonNoModel, failure.Reason)
		require.Equal(t, isolatedRetryAfter, failure.RetryAfter)
		require.Equal(t, started, time.Now())
	})
}
