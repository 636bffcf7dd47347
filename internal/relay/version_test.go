package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/streamorigin"
)

// engine returns an endpoint that holds model m.
func engine(id, version string) *inventory.Endpoint {
	return &inventory.Endpoint{ID: id, StartedAtMS: 1, Service: "s", Version: version, Slots: 4, Models: map[string][]string{"m": nil}}
}

// versionRelay returns a relay before engines, with the origins of streams that it knows.
func versionRelay(sender Sender, engines ...*inventory.Endpoint) (*Relay, *ownOrigins) {
	r := newRelay(sender)
	r.Inventory.Replace(engines)
	return r, r.Origins.(*ownOrigins)
}

// resuming returns a request that resumes a stream after its first event.
func resuming(stream string) *Request {
	req := request("resume", "m")
	req.Resumes = stream
	req.LastEvent = "1"
	return req
}

// TestStreamResumesAtItsVersion guards against streams that go on at an endpoint of another
// software version within a response.
func TestStreamResumesAtItsVersion(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			endpoints := &fakeEndpoints{next: []behaviour{truncated(200, eventOne), answer(200, eventTwo)}}
			r, _ := versionRelay(endpoints, engine("a1", "1"), engine("a2", "1"), engine("b1", "2"), engine("b2", "2"))
			got := &fakeAnswer{}
			require.Nil(t, r.Serve(t.Context(), request("resume", "m"), got))
			require.Equal(t, eventOne+eventTwo, got.body.String())
			require.Equal(t, endpoints.endpointIDs[0][0], endpoints.endpointIDs[1][0], "another version")
		})
	}
}

// TestStreamEndsWithItsVersion guards against streams that wait for an endpoint of their
// version though none is left.
func TestStreamEndsWithItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r *Relay
		removed := func() { r.Inventory.Replace([]*inventory.Endpoint{engine("b1", "2")}) }
		endpoints := &fakeEndpoints{next: []behaviour{endsWith(eventOne, removed)}}
		r, _ = versionRelay(endpoints, engine("a1", "1"))
		began := time.Now()
		failure := r.Serve(t.Context(), request("resume", "m"), &fakeAnswer{})
		require.Equal(t, ReasonNoVersion, failure.Reason)
		require.Less(t, time.Since(began), time.Second)
	})
}

// endsWith is a stream that is broken off after its events, when do has been called.
func endsWith(events string, do func()) behaviour {
	return truncatedReader(io.MultiReader(strings.NewReader(events), callReader(do)))
}

// callReader is an empty reader that calls itself.
type callReader func()

func (c callReader) Read([]byte) (int, error) {
	c()
	return 0, io.EOF
}

// TestStalledStreamGoesOnAtItsVersion guards against a second endpoint of another version
// that goes on with a stalled stream.
func TestStalledStreamGoesOnAtItsVersion(t *testing.T) {
	tests := []struct {
		others []*inventory.Endpoint
		goesOn string
	}{
		{others: []*inventory.Endpoint{engine("b1", "2")}, goesOn: "a1"},
		{others: []*inventory.Endpoint{engine("b1", "2"), engine("a2", "1")}, goesOn: "a2"},
	}
	for _, tc := range tests {
		synctest.Test(t, func(t *testing.T) {
			endpoints := &fakeEndpoints{}
			r, _ := versionRelay(endpoints, engine("a1", "1"))
			silence := 3 * stallTimeout(r.Catalog().Route("h", "/resume/x"))
			endpoints.next = []behaviour{pausesBetween(silence, eventOne, eventTwo), answer(200, eventTwo)}
			time.AfterFunc(time.Millisecond, func() { r.Inventory.Change(tc.others, nil) })
			got := &fakeAnswer{}
			req := request("resume", "m")
			req.Deadline = req.Arrived.Add(time.Minute)
			require.Nil(t, r.Serve(t.Context(), req, got))
			require.Equal(t, eventOne+eventTwo, got.body.String())
			require.Equal(t, []string{"a1", tc.goesOn}, endpoints.endpointIDs)
		})
	}
}

// TestCallerResumesAtItsVersion guards against streams that go on at an endpoint of another
// version when callers resume them, and against refusals that are late or not needed.
func TestCallerResumesAtItsVersion(t *testing.T) {
	both := []*inventory.Endpoint{engine("a1", "1"), engine("b1", "2")}
	tests := []struct {
		name    string
		engines []*inventory.Endpoint
		// begun is the version that began the stream, or empty if no node knows it.
		begun string
		// onlyVersion is the only version that has served, or empty.
		onlyVersion string
		sentTo      []string
		reason      Reason
	}{
		{name: "known version", engines: both, begun: "2", sentTo: []string{"b1"}},
		{name: "version that no endpoint has", engines: both, begun: "3", reason: ReasonNoVersion},
		{name: "unknown version of two", engines: both, reason: ReasonUnknownVersion},
		{name: "unknown, and another version serves now than the only one", engines: both[1:], onlyVersion: "1", reason: ReasonNoVersion},
		{name: "unknown, but only one can have begun it", engines: both[:1], onlyVersion: "1", sentTo: []string{"a1"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{next: []behaviour{answer(200, eventTwo)}}
				r, origins := versionRelay(endpoints, tc.engines...)
				origins.onlyVersion = tc.onlyVersion
				if tc.begun != "" {
					r.Origins.Record("first", streamorigin.Origin{Service: "s", Version: tc.begun}, time.Minute)
				}
				began := time.Now()
				failure := r.Serve(t.Context(), resuming("first"), &fakeAnswer{})
				require.Equal(t, tc.sentTo, endpoints.endpointIDs)
				if tc.reason == "" {
					require.Nil(t, failure)
					return
				}
				require.Equal(t, tc.reason, failure.Reason)
				require.Zero(t, time.Since(began), "refused at once")
			})
		})
	}
}

// TestResumedStreamKeepsItsName guards against streams that are known only by the id of the
// attempt that resumed them last: callers name the first one each time.
func TestResumedStreamKeepsItsName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{answer(200, eventTwo)}}
		r, origins := versionRelay(endpoints, engine("a1", "1"), engine("b1", "2"))
		r.Origins.Record("first", streamorigin.Origin{Service: "s", Version: "2"}, streamorigin.MaxLifetime)
		time.Sleep(streamorigin.MaxLifetime * 9 / 10)
		require.Nil(t, r.Serve(t.Context(), resuming("first"), &fakeAnswer{}))
		time.Sleep(streamorigin.MaxLifetime * 9 / 10)
		origin, ok := origins.known.Get("first", time.Now())
		require.True(t, ok, "kept for longer since it was resumed")
		require.Equal(t, "2", origin.Version)
	})
}

// TestStreamResumesAtItsService guards against a resumed stream that the split of its
// route's traffic sends to another service.
func TestStreamResumesAtItsService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{answer(200, eventTwo)}}
		r, _ := versionRelay(endpoints, engine("a1", "1"))
		other := engine("o1", "1")
		other.Service = "other"
		r.Inventory.Change([]*inventory.Endpoint{other}, nil)
		models := &catalog.Engine{Models: map[string]catalog.Model{"m": {Name: "m"}}}
		route := *r.Catalog().Route("h", "/resume/x")
		route.Targets = []catalog.Target{{Service: "s", Weight: 1000}, {Service: "other", Weight: 1}}
		c := catalog.New(2, []*catalog.Route{&route}, []*catalog.Service{{Name: "s", Engine: models}, {Name: "other", Engine: models}}, catalog.Limits{})
		r.Dependencies.Catalog = func() *catalog.Catalog { return c }
		r.Origins.Record("first", streamorigin.Origin{Service: "other", Version: "1"}, time.Minute)
		require.Nil(t, r.Serve(t.Context(), resuming("first"), &fakeAnswer{}))
		require.Equal(t, []string{"o1"}, endpoints.endpointIDs)

		// The node to which another one forwards the stream must not choose again.
		endpoints.next = []behaviour{answer(200, eventTwo)}
		req := resuming("first")
		req.Forwarded = &Forwarded{Service: "other", MaxRuns: 1, Required: inventory.OnlyVersion("1")}
		require.Nil(t, r.Serve(t.Context(), req, &fakeAnswer{}))
		require.Equal(t, []string{"o1", "o1"}, endpoints.endpointIDs)
	})
}

// TestStreamOfUnknownServiceIsRefused guards against a resumed stream that goes on at another
// service, since the caller does not name the attempt that began it and the split of the route's
// traffic sends each attempt elsewhere.
func TestStreamOfUnknownServiceIsRefused(t *testing.T) {
	for targets, want := range map[int]int{1: http.StatusOK, 2: http.StatusServiceUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			endpoints := &fakeEndpoints{next: []behaviour{answer(200, eventTwo)}}
			r, origins := versionRelay(endpoints, engine("a1", "1"))
			origins.onlyVersion = "1"
			route := *r.Catalog().Route("h", "/resume/x")
			route.Targets = []catalog.Target{{Service: "s", Weight: 1000}, {Service: "other", Weight: 1}}[:targets]
			models := &catalog.Engine{Models: map[string]catalog.Model{"m": {Name: "m"}}}
			c := catalog.New(2, []*catalog.Route{&route}, []*catalog.Service{{Name: "s", Engine: models}, {Name: "other", Engine: models}}, catalog.Limits{})
			r.Dependencies.Catalog = func() *catalog.Catalog { return c }
			req := resuming("")
			failure := r.Serve(t.Context(), req, &fakeAnswer{})
			if want == http.StatusOK {
				require.Nil(t, failure)
				return
			}
			require.NotNil(t, failure)
			require.Equal(t, ReasonUnknownVersion, failure.Reason)
			require.Empty(t, endpoints.endpointIDs)
		})
	}
}

// TestRestartedEngineIsNotResumedAt guards against streams that go on at an engine which
// has restarted with another version under its id, before its entry tells.
func TestRestartedEngineIsNotResumedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{answer(200, eventTwo), answer(200, eventTwo)}, restarted: map[string]int64{"a1": 2}}
		r, _ := versionRelay(endpoints, engine("a1", "1"))
		r.Origins.Record("first", streamorigin.Origin{Service: "s", Version: "1"}, time.Minute)
		time.AfterFunc(time.Millisecond, func() { r.Inventory.Change([]*inventory.Endpoint{engine("a2", "1")}, nil) })
		got := &fakeAnswer{}
		require.Nil(t, r.Serve(t.Context(), resuming("first"), got))
		require.Equal(t, eventTwo, got.body.String(), "nothing of the restarted engine reached the caller")
		require.Equal(t, []string{"a1", "a2"}, endpoints.endpointIDs)
	})
}

// TestVersionOfPlainRequests checks that requests that resume nothing go to any version.
func TestVersionOfPlainRequests(t *testing.T) {
	for _, kind := range []string{"once", "repeat", "stream", "resume"} {
		synctest.Test(t, func(t *testing.T) {
			endpoints := &fakeEndpoints{next: []behaviour{notRun, answer(http.StatusOK, eventOne)}}
			r, _ := versionRelay(endpoints, engine("a1", "1"), engine("b1", "2"))
			require.Nil(t, r.Serve(t.Context(), request(kind, "m"), &fakeAnswer{}))
			require.Len(t, endpoints.endpointIDs, 2)
		})
	}
}

// TestForwardedStreamIsRecordedByItsCallersNode guards against a stream of two versions: what another
// node began for this one may be lost on the way, and the caller then gets its first event from an
// endpoint of another version. Only the node that sends to the caller knows what that has.
func TestForwardedStreamIsRecordedByItsCallersNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, origins := versionRelay(&fakeEndpoints{next: []behaviour{answer(200, eventOne)}}, engine("a1", "1"))
		req := request("resume", "m")
		req.Forwarded = &Forwarded{Service: "s", MaxRuns: 1}
		got := &fakeAnswer{}
		require.Nil(t, r.Serve(t.Context(), req, got))
		require.Equal(t, eventOne, got.body.String())
		origin, ok := origins.known.Get(req.ID, time.Now())
		require.False(t, ok, "recorded at version %q", origin.Version)
	})
}
