package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
)

// sending is what a fake endpoint does with one sending.
type sending func(ctx context.Context, try Try) (*Reply, error)

// fakeEndpoints answers sendings in the order in which they come, whatever the
// endpoint.
type fakeEndpoints struct {
	mu    sync.Mutex
	next  []sending
	tries []Try
	at    []string
	// refuses tells that the endpoints refuse connections afterwards.
	refuses bool
}

func (f *fakeEndpoints) Refuses(context.Context, *inventory.Endpoint) bool {
	return f.refuses
}

func (f *fakeEndpoints) Send(ctx context.Context, to *inventory.Endpoint, _ *Request, try Try) (*Reply, error) {
	f.mu.Lock()
	f.tries = append(f.tries, try)
	f.at = append(f.at, to.ID)
	do := f.next[0]
	f.next = f.next[1:]
	f.mu.Unlock()
	return do(ctx, try)
}

// brokenBody is a body that breaks off.
type brokenBody struct {
	io.Reader
}

var errBroken = errors.New("connection reset")

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errBroken
	}
	return n, err
}

func answer(status int, body string) sending {
	return func(context.Context, Try) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Length: -1}, nil
	}
}

func cut(status int, body string) sending {
	return func(context.Context, Try) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, Body: io.NopCloser(brokenBody{strings.NewReader(body)}), Length: -1}, nil
	}
}

func notRun(context.Context, Try) (*Reply, error) {
	return &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
}

func noConnection(context.Context, Try) (*Reply, error) {
	return nil, &SendError{Err: errors.New("connection refused")}
}

func noAnswer(context.Context, Try) (*Reply, error) {
	return nil, &SendError{Sent: true, Err: errBroken}
}

func hangs(ctx context.Context, _ Try) (*Reply, error) {
	<-ctx.Done()
	return nil, &SendError{Sent: true, Err: ctx.Err()}
}

// fakeAnswer keeps what the caller gets.
type fakeAnswer struct {
	status int
	body   strings.Builder
}

func (a *fakeAnswer) Begin(reply *Reply, _ int) { a.status = reply.Status }
func (a *fakeAnswer) Write(data []byte) error {
	_, err := a.body.Write(data)
	return err
}
func (a *fakeAnswer) Flush() error { return nil }

type noLoads struct{}

func (noLoads) Expected(string, string) (time.Time, bool) { return time.Time{}, false }

func (noLoads) EnsureAdapter(context.Context, string, string, string) (string, time.Time, error) {
	return "", time.Time{}, errors.New("no owner")
}

// newRelay returns a relay of three endpoints that all hold model m.
func newRelay(sender Sender) *Relay {
	routes := []*catalog.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.Once},
		{Name: "repeat", Host: "h", Prefix: "/repeat/", Kind: catalog.Idempotent},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Stream},
		{Name: "resume", Host: "h", Prefix: "/resume/", Kind: catalog.Stream, Resumable: true},
	}
	for _, route := range routes {
		route.Timeout = 5 * time.Second
		route.MaxEndpoints = 3
		route.Targets = []catalog.Target{{Service: "s", Weight: 1}}
	}
	engine := &catalog.Engine{Models: map[string]catalog.Model{"m": {Name: "m"}, "rare": {Name: "rare"}}}
	c := catalog.New(1, routes, []*catalog.Service{{Name: "s", Engine: engine}}, catalog.Limits{})
	inv := inventory.New()
	var endpoints []*inventory.Endpoint
	for _, id := range []string{"a", "b", "c"} {
		endpoints = append(endpoints, &inventory.Endpoint{ID: id, Service: "s", Slots: 4, Models: map[string][]string{"m": nil}})
	}
	inv.Replace(endpoints)
	return New(Parts{
		Catalog:   func() *catalog.Catalog { return c },
		Inventory: inv,
		Sender:    sender,
		Adapters:  noLoads{},
		Loads:     noLoads{},
		Demand:    demand.NewMeter("n"),
		Budget:    Budget{Share: 0.2, Extra: 10, Nodes: func() int { return 1 }},
		Log:       slog.New(slog.DiscardHandler),
	})
}

func request(kind, model string) *Request {
	now := time.Now()
	return &Request{ID: "r", Method: http.MethodPost, Path: "/" + kind + "/x", Target: "/" + kind + "/x", Host: "h", Model: model, Arrived: now, Deadline: now.Add(4 * time.Second)}
}

const (
	eventOne = "id: 1\ndata: a\n\n"
	eventTwo = "id: 2\ndata: b\n\n"
)

// TestServe has one row for each kind of request and each way in which a
// sending can end.
func TestServe(t *testing.T) {
	cases := []struct {
		name   string
		kind   string
		next   []sending
		status int
		body   string
		reason Reason
		run    outcome.Run
		// resumed is the event after which the last sending went on.
		resumed string
	}{
		{name: "answered", kind: "once", next: []sending{answer(200, "x")}, status: 200, body: "x"},
		{name: "once: sent again after not run", kind: "once", next: []sending{notRun, answer(200, "x")}, status: 200, body: "x"},
		{name: "once: sent again without a connection", kind: "once", next: []sending{noConnection, answer(200, "x")}, status: 200, body: "x"},
		{name: "once: not sent again without an answer", kind: "once", next: []sending{noAnswer}, reason: ReasonBroken, run: outcome.Unknown},
		{name: "once: not sent again after a cut answer", kind: "once", next: []sending{cut(200, "x")}, reason: ReasonBroken, run: outcome.Unknown},
		{name: "once: an endpoint's failure is passed on", kind: "once", next: []sending{answer(500, "e")}, status: 500, body: "e"},
		{name: "repeat: sent again without an answer", kind: "repeat", next: []sending{noAnswer, answer(200, "x")}, status: 200, body: "x"},
		{name: "repeat: sent again after a cut answer", kind: "repeat", next: []sending{cut(200, "y"), answer(200, "x")}, status: 200, body: "x"},
		{name: "repeat: sent again after a failure", kind: "repeat", next: []sending{answer(500, "e"), answer(200, "x")}, status: 200, body: "x"},
		{name: "repeat: the last failure is passed on", kind: "repeat", next: []sending{answer(500, "e"), answer(500, "e"), answer(500, "f")}, status: 500, body: "f"},
		{name: "repeat: not run after a sending that may have run is not a refusal", kind: "repeat", next: []sending{noAnswer, notRun, notRun, notRun, notRun, notRun}, reason: ReasonBroken, run: outcome.Unknown},
		{name: "stream: whole", kind: "stream", next: []sending{answer(200, eventOne+eventTwo)}, status: 200, body: eventOne + eventTwo},
		{name: "stream: cut short", kind: "stream", next: []sending{cut(200, eventOne)}, status: 200, body: eventOne, reason: ReasonBroken, run: outcome.Unknown},
		{name: "stream: not sent again without an answer", kind: "stream", next: []sending{noAnswer}, reason: ReasonBroken, run: outcome.Unknown},
		{name: "resume: goes on after the last whole event", kind: "resume", next: []sending{cut(200, eventOne+"id: 2\nda"), answer(200, eventTwo)}, status: 200, body: eventOne + eventTwo, resumed: "1"},
		{name: "resume: sent again without an answer", kind: "resume", next: []sending{noAnswer, answer(200, eventOne)}, status: 200, body: eventOne},
		{name: "resume: a failure does not follow a begun stream", kind: "resume", next: []sending{cut(200, eventOne), answer(404, "e"), answer(404, "e")}, status: 200, body: eventOne, reason: ReasonBroken, run: outcome.Unknown, resumed: "1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{next: tc.next}
				got := &fakeAnswer{}
				failure := newRelay(endpoints).Serve(t.Context(), request(tc.kind, "m"), got)
				require.Equal(t, tc.status, got.status)
				require.Equal(t, tc.body, got.body.String())
				require.Empty(t, endpoints.next, "all sendings were made")
				if tc.reason == "" {
					require.Nil(t, failure)
				} else {
					require.NotNil(t, failure)
					require.Equal(t, tc.reason, failure.Reason)
					require.Equal(t, tc.run, failure.Run)
				}
				require.Equal(t, tc.resumed, endpoints.tries[len(endpoints.tries)-1].LastEvent)
			})
		})
	}
}

// TestCrashingRequest sends the same request again and again. It is refused
// after it has crashed two endpoints, and served if their answers only broke
// off.
func TestCrashingRequest(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			endpoints := &fakeEndpoints{refuses: crashes}
			r := newRelay(endpoints)
			crashed := map[string]bool{}
			for len(crashed) < 2 {
				endpoints.next = []sending{noAnswer}
				require.Equal(t, ReasonBroken, r.Serve(t.Context(), request("once", "m"), &fakeAnswer{}).Reason)
				crashed[endpoints.at[len(endpoints.at)-1]] = true
				time.Sleep(3 * time.Second)
			}
			endpoints.next = []sending{answer(200, "x")}
			failure := r.Serve(t.Context(), request("once", "m"), &fakeAnswer{})
			if crashes {
				require.Equal(t, ReasonCrashes, failure.Reason)
			} else {
				require.Nil(t, failure)
			}
		})
	}
}

// silentBody gives some bytes and then nothing until its context ends.
type silentBody struct {
	io.Reader
	ctx context.Context
}

func (b silentBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		<-b.ctx.Done()
		err = b.ctx.Err()
	}
	return n, err
}

func fallsSilent(body string) sending {
	return func(ctx context.Context, _ Try) (*Reply, error) {
		silent := silentBody{strings.NewReader(body), ctx}
		return &Reply{Status: 200, Header: http.Header{}, Body: io.NopCloser(silent), Length: -1}, nil
	}
}

// TestSilentStream has a stream fall silent. One that can go on elsewhere does
// so before its caller leaves; another is left alone.
func TestSilentStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := &fakeAnswer{}
		endpoints := &fakeEndpoints{next: []sending{fallsSilent(eventOne), answer(200, eventTwo)}}
		begun := time.Now()
		require.Nil(t, newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got))
		require.Equal(t, eventOne+eventTwo, got.body.String())
		require.Less(t, time.Since(begun), 2*time.Second)
	})
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []sending{fallsSilent(eventOne)}}
		begun := time.Now()
		failure := newRelay(endpoints).Serve(t.Context(), request("stream", "m"), &fakeAnswer{})
		require.Equal(t, ReasonTimeout, failure.Reason)
		require.Greater(t, time.Since(begun), 3*time.Second)
	})
}

// TestBegunStreamWaits has a stream break off while all endpoints are spared
// after failures, late in its time: it waits for one of them.
func TestBegunStreamWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := func(ctx context.Context, _ Try) (*Reply, error) {
			time.Sleep(2500 * time.Millisecond)
			return cut(200, eventOne)(ctx, Try{})
		}
		endpoints := &fakeEndpoints{next: []sending{late, answer(200, eventTwo)}}
		r := newRelay(endpoints)
		time.AfterFunc(2400*time.Millisecond, func() {
			for _, id := range []string{"a", "b", "c"} {
				r.loads.Failed(id, time.Now(), 1)
				r.loads.Failed(id, time.Now(), 1)
			}
		})
		got := &fakeAnswer{}
		require.Nil(t, r.Serve(t.Context(), request("resume", "m"), got))
		require.Equal(t, eventOne+eventTwo, got.body.String())
	})
}

// TestNoConnections has no endpoint take a connection for a while: the request
// is tried again with growing pauses, and served once one does.
func TestNoConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		refuses := func(ctx context.Context, try Try) (*Reply, error) {
			if time.Since(begun) < 1500*time.Millisecond {
				return noConnection(ctx, try)
			}
			return answer(200, "x")(ctx, try)
		}
		endpoints := &fakeEndpoints{next: slices.Repeat([]sending{refuses}, 1000)}
		r := newRelay(endpoints)
		stop := make(chan struct{})
		go func() {
			// Other requests' successes end the endpoints' holds.
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
				for _, id := range []string{"a", "b", "c"} {
					r.loads.Answered(id, time.Millisecond, 1, 0)
				}
			}
		}()
		require.Nil(t, r.Serve(t.Context(), request("once", "m"), &fakeAnswer{}))
		close(stop)
		require.Less(t, len(endpoints.tries), 150)
	})
}

// TestEnd checks that a process that is about to end answers what it still
// serves: a request that waits was not run, one at an endpoint may have run.
func TestEnd(t *testing.T) {
	cases := []struct {
		name  string
		model string
		next  []sending
		run   outcome.Run
		code  int
	}{
		{"waiting for a model", "rare", nil, outcome.NotRun, http.StatusServiceUnavailable},
		{"at an endpoint", "m", []sending{hangs}, outcome.Unknown, http.StatusBadGateway},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRelay(&fakeEndpoints{next: tc.next})
				var failure *Failure
				go func() { failure = r.Serve(t.Context(), request("repeat", tc.model), &fakeAnswer{}) }()
				time.Sleep(time.Second)
				r.End()
				synctest.Wait()
				require.NotNil(t, failure)
				require.Equal(t, ReasonEnding, failure.Reason)
				require.Equal(t, tc.run, failure.Run)
				require.Equal(t, tc.code, failure.Status(map[Reason]int{ReasonEnding: http.StatusServiceUnavailable}))
			})
		})
	}
}

// TestModelNeverComes checks that a request for a model that nobody brings up
// is refused well before its deadline.
func TestModelNeverComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		failure := newRelay(&fakeEndpoints{}).Serve(t.Context(), request("repeat", "rare"), &fakeAnswer{})
		require.Equal(t, ReasonNoModel, failure.Reason)
		require.Equal(t, outcome.NotRun, failure.Run)
		require.NotZero(t, failure.RetryAfter)
		require.Less(t, time.Since(begun), 3*time.Second)
	})
}

// TestCallerGone checks that a caller who leaves ends the sending.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		begun := time.Now()
		failure := newRelay(&fakeEndpoints{next: []sending{hangs}}).Serve(ctx, request("repeat", "m"), &fakeAnswer{})
		require.Equal(t, ReasonCallerGone, failure.Reason)
		require.Equal(t, time.Second, time.Since(begun))
	})
}
