package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
)

// holding returns an entry of an engine that holds model m.
func holding(id string, entry int64) *inventory.Endpoint {
	return &inventory.Endpoint{ID: id, Entry: era.Position{Version: entry}, Service: "s", Slots: 4, Models: map[string][]string{"m": nil}}
}

// serve serves a request and returns its failure once it has ended.
func serve(t *testing.T, r *Relay, kind string) <-chan *Failure {
	ended := make(chan *Failure, 1)
	go func() { ended <- r.Serve(t.Context(), request(kind, "m"), &fakeAnswer{}) }()
	return ended
}

// TestEngineWithoutModel checks that a request is not sent again to an engine
// that says that it does not hold the model, before its entry has been renewed.
func TestEngineWithoutModel(t *testing.T) {
	for _, kind := range []string{"once", "repeat", "resume"} {
		synctest.Test(t, func(t *testing.T) {
			endpoints := &fakeEndpoints{next: []behaviour{withoutModel, answer(200, eventOne), answer(200, eventOne), answer(200, eventOne)}}
			r := newRelay(endpoints)
			r.Inventory.Replace([]*inventory.Endpoint{holding("a", 1)})
			ended := serve(t, r, kind)
			time.Sleep(time.Second)
			synctest.Wait()
			require.Len(t, endpoints.endpointIDs, 1, "sent again to the same engine")
			r.Inventory.Replace([]*inventory.Endpoint{holding("a", 2)})
			require.Nil(t, <-ended, "its entry was renewed")
		})
	}
}

// TestCrashedEngine checks that a request whose engine has crashed is not sent
// to it again before its entry has been renewed, as engines restart empty, and
// that it is sent to another one that loads the model meanwhile.
func TestCrashedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{refusesConnections: true, next: []behaviour{noResponse, answer(200, "x")}}
		r := newRelay(endpoints)
		r.Inventory.Replace([]*inventory.Endpoint{holding("a", 1)})
		ended := serve(t, r, "repeat")
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []string{"a"}, endpoints.endpointIDs, "sent again to the engine that crashed")
		restarted := holding("a", 2)
		restarted.StartedAtMS, restarted.Models = 7, nil
		r.Inventory.Replace([]*inventory.Endpoint{restarted, holding("b", 3)})
		require.Nil(t, <-ended)
		require.Equal(t, []string{"a", "b"}, endpoints.endpointIDs)
	})
}

// TestEngineWithoutModelRefusal checks that a request is refused at once, with
// the time until the model is loaded, if that is after its deadline.
func TestEngineWithoutModelRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		r := newRelay(&fakeEndpoints{next: []behaviour{withoutModel}})
		r.Loads = loadAt{at: started.Add(time.Minute)}
		r.Inventory.Replace([]*inventory.Endpoint{holding("a", 1)})
		failure := r.Serve(t.Context(), request("once", "m"), &fakeAnswer{})
		require.Equal(t, ReasonNoModel, failure.Reason)
		require.Equal(t, outcome.NotRun, failure.Run)
		require.Less(t, time.Since(started), 100*time.Millisecond)
		require.Equal(t, time.Minute, time.Since(started)+failure.RetryAfter)
	})
}

// TestStaleEntryTimeout checks that an engine counts as holding its model again
// after a time, so that a wrong finding ends even if its entry never changes.
func TestStaleEntryTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{withoutModel, answer(200, "x")}}
		r := newRelay(endpoints)
		r.Inventory.Replace([]*inventory.Endpoint{holding("a", 1)})
		require.Equal(t, ReasonNoModel, (<-serve(t, r, "once")).Reason)
		time.Sleep(staleEntryTimeout)
		require.Nil(t, <-serve(t, r, "once"))
	})
}
