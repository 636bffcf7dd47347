package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/suspect"
)

// TestServe has one row for each kind of request and each way in which an
// attempt can end.
func TestServe(t *testing.T) {
	cases := []struct {
		name   string
		kind   string
		next   []behaviour
		status int
		body   string
		reason Reason
		run    outcome.Run
		// resumed is the event after which the last attempt resumed.
		resumed string
	}{
		{name: "answered", kind: "once", next: []behaviour{answer(200, "x")}, status: 200, body: "x"},
		{name: "once: sent again after not run", kind: "once", next: []behaviour{notRun, answer(200, "x")}, status: 200, body: "x"},
		{name: "once: sent again after no connection", kind: "once", next: []behaviour{noConnection, answer(200, "x")}, status: 200, body: "x"},
		{name: "once: not sent again after no response", kind: "once", next: []behaviour{noResponse}, reason: ReasonTruncated, run: outcome.Unknown},
		{name: "once: not sent again after a truncated response", kind: "once", next: []behaviour{truncated(200, "x")}, reason: ReasonTruncated, run: outcome.Unknown},
		{name: "once: an endpoint's error is forwarded", kind: "once", next: []behaviour{answer(500, "e")}, status: 500, body: "e"},
		{name: "repeat: sent again after no response", kind: "repeat", next: []behaviour{noResponse, answer(200, "x")}, status: 200, body: "x"},
		{name: "repeat: sent again after a truncated response", kind: "repeat", next: []behaviour{truncated(200, "y"), answer(200, "x")}, status: 200, body: "x"},
		{name: "repeat: sent again after an error", kind: "repeat", next: []behaviour{answer(500, "e"), answer(200, "x")}, status: 200, body: "x"},
		{name: "repeat: the last error is forwarded", kind: "repeat", next: []behaviour{answer(500, "e"), answer(500, "e"), answer(500, "f")}, status: 500, body: "f"},
		{name: "repeat: not run after an attempt that may have run is not a refusal", kind: "repeat", next: []behaviour{noResponse, notRun, notRun, notRun, notRun, notRun}, reason: ReasonTruncated, run: outcome.Unknown},
		{name: "once: a status that promises is not forwarded without the statement", kind: "once", next: []behaviour{answer(503, "e")}, reason: ReasonInvalidResponse, run: outcome.Unknown},
		{name: "repeat: sent again after such a status", kind: "repeat", next: []behaviour{answer(429, "e"), answer(200, "x")}, status: 200, body: "x"},
		{name: "repeat: the last such status is not forwarded", kind: "repeat", next: []behaviour{answer(500, "e"), answer(408, "e"), answer(503, "f")}, reason: ReasonInvalidResponse, run: outcome.Unknown},
		{name: "repeat: a refusal after such a status is none", kind: "repeat", next: []behaviour{answer(503, "e"), notRun, notRun, notRun, notRun, notRun}, reason: ReasonTruncated, run: outcome.Unknown},
		{name: "stream: such a status is not forwarded", kind: "stream", next: []behaviour{answer(503, "e")}, reason: ReasonInvalidResponse, run: outcome.Unknown},
		{name: "stream: complete", kind: "stream", next: []behaviour{answer(200, eventOne+eventTwo)}, status: 200, body: eventOne + eventTwo},
		{name: "stream: truncated", kind: "stream", next: []behaviour{truncated(200, eventOne)}, status: 200, body: eventOne, reason: ReasonTruncated, run: outcome.Unknown},
		{name: "stream: not sent again after no response", kind: "stream", next: []behaviour{noResponse}, reason: ReasonTruncated, run: outcome.Unknown},
		{name: "stream: ended inside an event", kind: "stream", next: []behaviour{answer(200, eventOne+"id: 2\nda")}, status: 200, body: eventOne, reason: ReasonTruncated, run: outcome.Unknown},
		{name: "stream: without an event", kind: "stream", next: []behaviour{answer(200, "")}, status: 200},
		{name: "stream: without an event or a frame", kind: "stream", next: []behaviour{unframed(200, "")}, reason: ReasonTruncated, run: outcome.Unknown},
		{name: "resume: ended inside an event", kind: "resume", next: []behaviour{answer(200, eventOne+"id: 2\nda"), answer(200, eventTwo)}, status: 200, body: eventOne + eventTwo, resumed: "1"},
		{name: "resume: resumes after the last complete event", kind: "resume", next: []behaviour{truncated(200, eventOne+"id: 2\nda"), answer(200, eventTwo)}, status: 200, body: eventOne + eventTwo, resumed: "1"},
		{name: "resume: sent again after no response", kind: "resume", next: []behaviour{noResponse, answer(200, eventOne)}, status: 200, body: eventOne},
		{name: "resume: an error does not follow a begun stream", kind: "resume", next: []behaviour{truncated(200, eventOne), answer(404, "e"), answer(404, "e")}, status: 200, body: eventOne, reason: ReasonTruncated, run: outcome.Unknown, resumed: "1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{next: tc.next}
				got := &fakeAnswer{}
				failure := newRelay(endpoints).Serve(t.Context(), request(tc.kind, "m"), got)
				require.Equal(t, tc.status, got.status)
				require.Equal(t, tc.body, got.body.String())
				require.Empty(t, endpoints.next, "all attempts were made")
				if tc.reason == "" {
					require.Nil(t, failure)
				} else {
					require.NotNil(t, failure)
					require.Equal(t, tc.reason, failure.Reason)
					require.Equal(t, tc.run, failure.Run)
				}
				require.Equal(t, tc.resumed, endpoints.attempts[len(endpoints.attempts)-1].LastEvent)
			})
		})
	}
}

// TestCrashingRequest sends the same request repeatedly. It is refused after it
// has crashed two endpoints, and still served if only its connections were
// lost.
func TestCrashingRequest(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			endpoints := &fakeEndpoints{refusesConnections: crashes}
			r := newRelay(endpoints)
			crashed := map[string]bool{}
			for len(crashed) < 2 {
				endpoints.next = []behaviour{noResponse}
				require.Equal(t, ReasonTruncated, r.Serve(t.Context(), request("once", "m"), &fakeAnswer{}).Reason)
				crashed[endpoints.endpointIDs[len(endpoints.endpointIDs)-1]] = true
				time.Sleep(3 * time.Second)
			}
			endpoints.next = []behaviour{answer(200, "x")}
			failure := r.Serve(t.Context(), request("once", "m"), &fakeAnswer{})
			if crashes {
				require.Equal(t, ReasonCrashes, failure.Reason)
			} else {
				require.Nil(t, failure)
			}
		})
	}
}

// TestSuspectIsWithdrawn guards against a request that crashes an endpoint though the node
// knows by then that it is a suspect: it had been sent before. It is sent again, alone,
// unless it may not be repeated or its response has begun.
func TestSuspectIsWithdrawn(t *testing.T) {
	tests := []struct {
		name, kind string
		first      behaviour
		sent       int
	}{
		{"waits for a response", "repeat", hang, 2},
		{"waits for the first event", "resume", stall(""), 2},
		{"may not be repeated", "once", after(time.Second, answer(200, "x")), 1},
		{"has begun", "resume", slowly(eventOne, 300*time.Millisecond, eventTwo), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{next: []behaviour{test.first, answer(200, eventTwo)}}
				r := newRelay(endpoints)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go func() { _ = r.RunWithdrawals(ctx) }()
				req := request(test.kind, "m")
				ended := make(chan *Failure, 1)
				go func() { ended <- r.Serve(t.Context(), req, &fakeAnswer{}) }()
				time.Sleep(100 * time.Millisecond)
				for _, endpoint := range []string{"x", "y"} {
					r.Suspects.Crashed(endpoint, []suspect.Victim{{Request: identify(req, "s")}}, time.Now())
				}
				require.Nil(t, <-ended)
				require.Len(t, endpoints.endpointIDs, test.sent)
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestStalledStream checks that a stalled stream that is resumable is resumed
// elsewhere before its caller times out, and that another one is not
// interrupted.
func TestStalledStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := &fakeAnswer{}
		endpoints := &fakeEndpoints{next: []behaviour{stall(eventOne), answer(200, eventTwo)}}
		started := time.Now()
		require.Nil(t, newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got))
		require.Equal(t, eventOne+eventTwo, got.body.String())
		require.Less(t, time.Since(started), 2*time.Second)
	})
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{stall(eventOne)}}
		started := time.Now()
		failure := newRelay(endpoints).Serve(t.Context(), request("stream", "m"), &fakeAnswer{})
		require.Equal(t, ReasonTimeout, failure.Reason)
		require.Greater(t, time.Since(started), 3*time.Second)
	})
}

// pausing responds with a stream that pauses between its events.
func pausing(interval time.Duration, events ...string) behaviour {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		reader, writer := io.Pipe()
		go func() {
			for i, event := range events {
				if i > 0 && !pause.For(ctx, interval) {
					break
				}
				_, _ = io.WriteString(writer, event)
			}
			_ = writer.Close()
		}()
		return &Reply{Status: 200, Signed: true, EventStream: true, Header: http.Header{}, Body: reader, Length: -1}, nil
	}
}

// TestSlowStream checks that a stream that pauses for less than its caller
// accepts is not interrupted, and neither is one that pauses for longer at the
// last endpoint on which the request may run: the caller would get nothing
// more.
func TestSlowStream(t *testing.T) {
	cases := []struct {
		name string
		gap  time.Duration
		next []behaviour
	}{
		{"within the caller's patience", 500 * time.Millisecond, []behaviour{pausing(1900*time.Millisecond, eventOne, eventTwo, eventThree)}},
		{"at the last endpoint", 0, []behaviour{truncated(200, eventOne), truncated(200, eventTwo), pausing(1900*time.Millisecond, "id: 3\n", "data: c\n\n")}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{next: tc.next}
				r := newRelay(endpoints)
				r.Catalog().Route("h", "/resume/x").MaxGap = tc.gap
				got := &fakeAnswer{}
				require.Nil(t, r.Serve(t.Context(), request("resume", "m"), got))
				require.Equal(t, eventOne+eventTwo+eventThree, got.body.String())
				require.Len(t, endpoints.endpointIDs, len(tc.next))
			})
		})
	}
}

// TestResumedStreamPause checks that the time that a resumed stream stood still
// between two endpoints is not taken for a pause of the second one.
func TestResumedStreamPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lateEnd := func(ctx context.Context, attempt Attempt) (*Reply, error) {
			time.Sleep(900 * time.Millisecond)
			return answer(200, eventTwo)(ctx, attempt)
		}
		endpoints := &fakeEndpoints{next: []behaviour{truncated(200, eventOne), lateEnd}}
		r := newRelay(endpoints)
		r.Catalog().Route("h", "/resume/x").MaxGap = 400 * time.Millisecond
		require.Nil(t, r.Serve(t.Context(), request("resume", "m"), &fakeAnswer{}))
		require.Zero(t, r.loads.View(endpoints.endpointIDs[1], time.Now()).Pause)
	})
}

// TestStartedStreamWaits interrupts a stream late in its time while all
// endpoints are ejected after failures: the request waits for one of them.
func TestStartedStreamWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		truncateLate := func(ctx context.Context, _ Attempt) (*Reply, error) {
			time.Sleep(2500 * time.Millisecond)
			return truncated(200, eventOne)(ctx, Attempt{})
		}
		endpoints := &fakeEndpoints{next: []behaviour{truncateLate, answer(200, eventTwo)}}
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

// TestNoConnections has endpoints refuse connections for a while: the request
// is retried with growing pauses, and served once an endpoint accepts.
func TestNoConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		refuseAtFirst := func(ctx context.Context, attempt Attempt) (*Reply, error) {
			if time.Since(started) < 1500*time.Millisecond {
				return noConnection(ctx, attempt)
			}
			return answer(200, "x")(ctx, attempt)
		}
		endpoints := &fakeEndpoints{next: slices.Repeat([]behaviour{refuseAtFirst}, 1000)}
		r := newRelay(endpoints)
		stop := make(chan struct{})
		go func() {
			// Successes of other requests end the endpoints' ejection.
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
		require.Less(t, len(endpoints.attempts), 150)
	})
}

// TestShutdown checks the responses to requests in progress when the process
// shuts down: a waiting request was not run, one at an endpoint may have run.
func TestShutdown(t *testing.T) {
	cases := []struct {
		name  string
		model string
		next  []behaviour
		run   outcome.Run
		code  int
	}{
		{"waiting for a model", "rare", nil, outcome.NotRun, http.StatusServiceUnavailable},
		{"at an endpoint", "m", []behaviour{hang}, outcome.Unknown, http.StatusBadGateway},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRelay(&fakeEndpoints{next: tc.next})
				var failure *Failure
				go func() { failure = r.Serve(t.Context(), request("repeat", tc.model), &fakeAnswer{}) }()
				time.Sleep(time.Second)
				r.Shutdown()
				synctest.Wait()
				require.NotNil(t, failure)
				require.Equal(t, ReasonShuttingDown, failure.Reason)
				require.Equal(t, tc.run, failure.Run)
				require.Equal(t, tc.code, failure.Status(map[Reason]int{ReasonShuttingDown: http.StatusServiceUnavailable}))
			})
		})
	}
}

// TestModelNeverLoaded checks that a request for a model that is never loaded
// is refused well before its deadline.
func TestModelNeverLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		failure := newRelay(&fakeEndpoints{}).Serve(t.Context(), request("repeat", "rare"), &fakeAnswer{})
		require.Equal(t, ReasonNoModel, failure.Reason)
		require.Equal(t, outcome.NotRun, failure.Run)
		require.NotZero(t, failure.RetryAfter)
		require.Less(t, time.Since(started), 3*time.Second)
	})
}

// TestCallerDisconnects checks that the attempt ends when the caller
// disconnects.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, disconnect)
		started := time.Now()
		failure := newRelay(&fakeEndpoints{next: []behaviour{hang}}).Serve(ctx, request("repeat", "m"), &fakeAnswer{})
		require.Equal(t, ReasonCallerDisconnected, failure.Reason)
		require.Equal(t, time.Second, time.Since(started))
	})
}

// TestLongResponse checks that a response that is longer than the buffer is
// forwarded whole, and that one that ends early does not look complete.
func TestLongResponse(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 2*maxBufferedBody/16)
	for _, kind := range []string{"once", "repeat"} {
		synctest.Test(t, func(t *testing.T) {
			got := &fakeAnswer{}
			endpoints := &fakeEndpoints{next: []behaviour{answer(200, long)}}
			require.Nil(t, newRelay(endpoints).Serve(t.Context(), request(kind, "m"), got))
			require.Equal(t, len(long), got.body.Len())
			require.True(t, got.body.String() == long)
		})
		synctest.Test(t, func(t *testing.T) {
			got := &fakeAnswer{}
			endpoints := &fakeEndpoints{next: []behaviour{answer(500, long), answer(500, long), answer(500, long)}}
			failure := newRelay(endpoints).Serve(t.Context(), request(kind, "m"), got)
			if failure == nil {
				require.Equal(t, len(long), got.body.Len(), "an error response was cut")
			}
		})
		synctest.Test(t, func(t *testing.T) {
			got := &fakeAnswer{}
			endpoints := &fakeEndpoints{next: []behaviour{truncated(200, long), answer(200, "x")}}
			failure := newRelay(endpoints).Serve(t.Context(), request(kind, "m"), got)
			require.Equal(t, ReasonTruncated, failure.Reason)
			require.Len(t, endpoints.endpointIDs, 1, "sent again after a part of the response")
		})
	}
}

// TestRefusalWithoutEnd guards against a refusal whose body has no end, which would
// hold the request until its deadline: it is sent to another endpoint at once.
func TestRefusalWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{endlessRefusal, answer(200, eventOne)}}
		started := time.Now()
		require.Nil(t, newRelay(endpoints).Serve(t.Context(), request("once", "m"), &fakeAnswer{}))
		require.Less(t, time.Since(started), time.Second)
	})
}
