package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/suspect"
)

// sentRequest records what became of one request at the endpoints.
type sentRequest struct {
	mu sync.Mutex
	// reached means that an endpoint got the request, or a part of it, and did not state that it
	// has not run.
	reached bool
	// running is the number of attempts in progress.
	running int
	history []string
}

// step is one way in which an attempt ends.
type step struct {
	name string
	// reaches means that an endpoint may run the request after it.
	reaches bool
	do      behaviour
}

func failing(err SendError) behaviour {
	return func(context.Context, Attempt) (*Reply, error) { return nil, &err }
}

// contradiction is a success that states that the request has not run.
func contradiction(ctx context.Context, attempt Attempt) (*Reply, error) {
	return withReply(answer(http.StatusOK, eventOne), func(reply *Reply) { reply.NotRun = true })(ctx, attempt)
}

// noConnectionInTime is an attempt that gets no connection until it is cancelled.
func noConnectionInTime(ctx context.Context, _ Attempt) (*Reply, error) {
	<-ctx.Done()
	return nil, &SendError{Err: ctx.Err()}
}

// steps are the ways in which attempts end, over the node's own links and through other nodes.
func steps(r *Relay, req *Request, disconnect context.CancelFunc) []step {
	full := Failure{Reason: ReasonFull, Run: outcome.NotRun, RetryAfter: time.Second}
	withdrawn := func(ctx context.Context, attempt Attempt) (*Reply, error) {
		for _, endpoint := range []string{"x", "y"} {
			r.Suspects.Crashed(endpoint, []suspect.Victim{{Request: identify(req, "s")}}, time.Now())
		}
		r.withdrawSuspects(time.Now())
		return hang(ctx, attempt)
	}
	ended := func(end func(), reaches bool) behaviour {
		return func(ctx context.Context, _ Attempt) (*Reply, error) {
			end()
			<-ctx.Done()
			return nil, &SendError{Sent: reaches, Err: ctx.Err()}
		}
	}
	return []step{
		{"refused", false, notRun},
		{"refused without the model", false, withoutModel},
		{"refused, endless body", false, endlessRefusal},
		{"no connection", false, noConnection},
		{"no connection in time", false, noConnectionInTime},
		{"permission expired", false, failing(SendError{Err: ErrPermissionExpired})},
		{"key refused", false, failing(SendError{Refusal: &Failure{Reason: ReasonKeyMoved, Run: outcome.NotRun}, Err: errNotAuthorized})},
		{"refused by another node", false, failing(SendError{Refusal: &full, Err: errors.New("full")})},
		{"caller left before it was sent", false, ended(disconnect, false)},
		{"shutdown before it was sent", false, ended(r.Shutdown, false)},

		{"permission expired after a part", true, failing(SendError{Sent: true, Err: ErrPermissionExpired})},
		{"key refused after a part", true, failing(SendError{Sent: true, Refusal: &Failure{Reason: ReasonKeyMoved, Run: outcome.NotRun}, Err: errNotAuthorized})},
		{"no response", true, noResponse},
		{"no response in time", true, hang},
		{"caller left", true, ended(disconnect, true)},
		{"shutdown", true, ended(r.Shutdown, true)},
		{"withdrawn", true, withdrawn},
		{"broken off at another node", true, failing(SendError{Sent: true, Runs: 2, Err: errReset})},
		{"response broken off", true, truncated(http.StatusOK, eventOne)},
		{"response broken off before an event", true, truncated(http.StatusOK, "id: 1")},
		{"refusal broken off without a statement", true, truncated(http.StatusServiceUnavailable, "busy")},
		{"503", true, answer(http.StatusServiceUnavailable, "busy")},
		{"429", true, answer(http.StatusTooManyRequests, "busy")},
		{"408", true, answer(http.StatusRequestTimeout, "late")},
		{"421", true, answer(http.StatusMisdirectedRequest, "other")},
		{"404", true, answer(http.StatusNotFound, "none")},
		{"500", true, answer(http.StatusInternalServerError, "error")},
		{"success", true, answer(http.StatusOK, eventOne)},
		{"unsigned success", true, withReply(answer(http.StatusOK, eventOne), dropSignature)},
		{"unsigned error without frame", true, withReply(unframed(http.StatusInternalServerError, "error"), dropSignature)},
		{"success without frame and body", true, unframed(http.StatusOK, "")},
		{"success that has not run", true, contradiction},
	}
}

// randomSteps draws the way in which each attempt ends. It prefers those that end in another attempt.
func (s *sentRequest) randomSteps(all []step, random *rand.Rand) behaviour {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		drawn := all[random.IntN(len(all))]
		if random.IntN(2) == 0 {
			drawn = all[random.IntN(4)]
		}
		s.mu.Lock()
		s.reached = s.reached || drawn.reaches
		s.history = append(s.history, drawn.name)
		s.running++
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running--
		}()
		return drawn.do(ctx, attempt)
	}
}

// maxPromiseAttempts is more than the attempts of one request.
const maxPromiseAttempts = 4000

// TestNotRunOnlyIfNoEndpointGotIt guards against a caller that reads a promise that its request has
// not run though one of its attempts, of any sequence of them, reached an endpoint, and against an
// attempt that goes on or begins after the promise.
func TestNotRunOnlyIfNoEndpointGotIt(t *testing.T) {
	const sequences = 1500
	promised, reached := 0, 0
	for seed := range uint64(sequences) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			kind := []string{"once", "repeat", "stream", "resume"}[random.IntN(4)]
			endpoints := &fakeEndpoints{}
			r := newRelay(endpoints)
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			req := request(kind, "m")
			var sent sentRequest
			do := sent.randomSteps(steps(r, req, disconnect), random)
			for range maxPromiseAttempts {
				endpoints.next = append(endpoints.next, do)
			}
			got := &fakeAnswer{}
			failure := r.Serve(ctx, req, got)

			sent.mu.Lock()
			defer sent.mu.Unlock()
			what := fmt.Sprintf("seed %d, %s: %s: status %d, failure %+v", seed, kind, strings.Join(sent.history, ", "), got.status, failure)
			require.False(t, promisesNotRun(got.status), what)
			if failure != nil {
				requirePromise(t, failure, sent.reached, what)
			}
			if failure != nil && failure.Run == outcome.NotRun {
				promised++
				require.Zero(t, sent.running, what)
			}
			if sent.reached {
				reached++
			}
			attempts := len(sent.history)
			sent.mu.Unlock()
			time.Sleep(time.Minute)
			sent.mu.Lock()
			require.Len(t, sent.history, attempts, what)
		})
	}
	require.NotZero(t, promised)
	require.NotZero(t, reached)
}

// requirePromise checks that a failure promises that the request has not run only if it has reached
// no endpoint, whatever the status of its reason.
func requirePromise(t *testing.T, failure *Failure, reached bool, what string) {
	if !reached {
		return
	}
	require.NotEqual(t, outcome.NotRun, failure.Run, what)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusNotFound} {
		require.False(t, promisesNotRun(failure.Status(map[Reason]int{failure.Reason: status})), what)
	}
	require.Zero(t, failure.RetryAfter, what)
}
