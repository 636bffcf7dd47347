package fleet

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/reachability"
	"chestnutgauge/internal/relay"
	"chestnutgauge/internal/streamorigin"
	"chestnutgauge/internal/team"
)

// deadLinks reach no endpoint.
type deadLinks struct{}

var errDead = errors.New("no link")

func (deadLinks) Send(context.Context, *inventory.Endpoint, *relay.Request, relay.Attempt) (*relay.Reply, error) {
	return nil, &relay.SendError{Err: errDead}
}
func (deadLinks) StartedAt(context.Context, *inventory.Endpoint) (int64, error) {
	return 0, errDead
}
func (deadLinks) Connect(context.Context, string) reachability.Connection {
	return reachability.Refused
}
func (deadLinks) Describe(header http.Header) (signed, eventStream bool) {
	return header.Get("Signature") != "", header.Get("Content-Type") == "text/event-stream"
}

// serveFunc serves a forwarded request.
type serveFunc func(ctx context.Context, req *relay.Request, answer relay.Answer) (int, *relay.Failure)

// forwarding returns a node without links, and the address of another one that serves what
// it forwards.
func forwarding(t *testing.T, serve serveFunc, closing bool) (*Forwarding, *inventory.Endpoint) {
	forwarder := &Forwarder{Serve: serve, Closing: func() bool { return closing }}
	server := httptest.NewServer((&Server{Publisher: &Publisher{}, RateLimits: NewRateLimits(), Suspects: NewSuspects(), Forwarder: forwarder, Log: discard}).Handler())
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	d := NewForwarding()
	d.Direct = deadLinks{}
	d.Others = func() []string { return []string{address} }
	d.Inventory = inventory.New()
	d.OnCut = func(string) {}
	d.HTTP = NewHTTP()
	d.ForwardHTTP = NewForwardHTTP(nil)
	d.Log = discard
	return d, d.PickNode(nil, time.Now())
}

func forwardedCall() (*relay.Request, relay.Attempt) {
	req := &relay.Request{
		ID: "r1", Method: "PUT", Target: "/a%20b?c=d", Path: "/a b", Host: "h.example", Model: "m", Adapter: "x",
		Header: http.Header{"Chestnutgauge-Request-Id": {"r1"}, "Some": {"1", "2"}}, Body: []byte("body"),
		PromptTokens: 7, MaxTokens: 9, Prompt: []relay.PromptPart{{ID: "p", Tokens: 3}}, Resumes: "r0",
		Credential: team.Credential{Digest: team.DigestOf("key"), Presented: true},
	}
	attempt := relay.Attempt{Deadline: time.Now().Add(time.Minute), LastEvent: "4", Service: "s", MaxRuns: 2, Required: inventory.OnlyVersion("v2"), Team: "t", ConfigVersion: 5}
	return req, attempt
}

// TestForwardedRequestArrivesUnchanged guards against requests that another node serves
// otherwise than this one would have.
func TestForwardedRequestArrivesUnchanged(t *testing.T) {
	var got *relay.Request
	d, node := forwarding(t, func(_ context.Context, req *relay.Request, answer relay.Answer) (int, *relay.Failure) {
		got = req
		answer.Begin(&relay.Reply{Status: 201, Signed: true, Header: http.Header{"Signature": {"s"}}, Origin: streamorigin.Origin{Service: "s", Version: "v2"}}, 4)
		_ = answer.Write([]byte("done"))
		return 1, nil
	}, false)
	req, attempt := forwardedCall()
	reply, err := d.Send(t.Context(), node, req, attempt)
	require.NoError(t, err)
	body, err := io.ReadAll(reply.Body)
	require.NoError(t, err)
	require.NoError(t, reply.Body.Close())
	require.Equal(t, "done", string(body))
	require.Equal(t, 201, reply.Status)
	require.True(t, reply.Signed)
	require.Equal(t, int64(4), reply.Length)
	require.Equal(t, http.Header{"Signature": {"s"}}, reply.Header)
	require.Equal(t, streamorigin.Origin{Service: "s", Version: "v2"}, reply.Origin)
	require.Equal(t, 1, reply.Runs())

	require.WithinDuration(t, attempt.Deadline, got.Deadline, time.Second)
	want := *req
	want.LastEvent = "4"
	want.Forwarded = &relay.Forwarded{Service: "s", MaxRuns: 2, Required: attempt.Required, Team: "t", ConfigVersion: 5}
	want.Arrived, want.Deadline = got.Arrived, got.Deadline
	require.Equal(t, &want, got)
}

// TestForwardedBytesArriveUnchanged guards against a request whose id, path or names hold bytes that are
// not UTF-8, and that reaches its endpoint with others if another node serves it.
func TestForwardedBytesArriveUnchanged(t *testing.T) {
	var got *relay.Request
	d, node := forwarding(t, func(_ context.Context, req *relay.Request, answer relay.Answer) (int, *relay.Failure) {
		got = req
		answer.Begin(&relay.Reply{Status: http.StatusOK, Header: http.Header{}}, 0)
		return 1, nil
	}, false)
	req, attempt := forwardedCall()
	req.ID, req.Target, req.Path, req.Host = "r\xe9", "/a\xff?b=\xfe", "/a\xff", "h\xe9.example"
	req.Model, req.Adapter, req.Resumes, attempt.LastEvent = "m\xe9", "a\xe9", "q\xe9", "4\xe9"
	reply, err := d.Send(t.Context(), node, req, attempt)
	require.NoError(t, err)
	require.NoError(t, reply.Body.Close())
	require.Equal(t, [...]string{req.ID, req.Target, req.Path, req.Host, req.Model, req.Adapter, req.Resumes, attempt.LastEvent},
		[...]string{got.ID, got.Target, got.Path, got.Host, got.Model, got.Adapter, got.Resumes, got.LastEvent})
}

// TestForwardedFailures checks what a node learns of requests that another one didn't serve.
func TestForwardedFailures(t *testing.T) {
	tests := []struct {
		name    string
		failure relay.Failure
		closing bool
		sent    bool
		final   bool
		// avoided means that the node is not asked again for a time.
		avoided bool
	}{
		{name: "refused", failure: relay.Failure{Reason: relay.ReasonFull, Run: outcome.NotRun, RetryAfter: 1500 * time.Millisecond}, final: true},
		{name: "cut off as well", failure: relay.Failure{Reason: relay.ReasonUnreachable, Run: outcome.NotRun}, avoided: true},
		{name: "key unknown there", failure: relay.Failure{Reason: relay.ReasonUnknownKey, Run: outcome.NotRun}, final: true},
		{name: "key of another team there", failure: relay.Failure{Reason: relay.ReasonKeyMoved, Run: outcome.NotRun, RetryAfter: 100 * time.Millisecond}, final: true},
		{name: "old configuration there", failure: relay.Failure{Reason: relay.ReasonConfigurationOld, Run: outcome.NotRun, RetryAfter: time.Second}, avoided: true},
		{name: "shutting down", closing: true, avoided: true},
		{name: "may have run", failure: relay.Failure{Reason: relay.ReasonTruncated, Run: outcome.Unknown}, sent: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			d, node := forwarding(t, func(context.Context, *relay.Request, relay.Answer) (int, *relay.Failure) {
				return 2, &tc.failure
			}, tc.closing)
			req, attempt := forwardedCall()
			_, err := d.Send(t.Context(), node, req, attempt)
			var failed *relay.SendError
			require.ErrorAs(t, err, &failed)
			require.Equal(t, tc.sent, failed.Sent)
			if tc.sent {
				require.Equal(t, 2, failed.Runs)
			}
			require.Equal(t, tc.final, failed.Refusal != nil)
			if tc.final {
				require.Equal(t, &tc.failure, failed.Refusal)
			}
			require.Equal(t, tc.avoided, d.PickNode(nil, time.Now()) == nil)
		})
	}
}

// TestKeyTakenAwayBeforeForwarding guards against a request that another node gets although its
// key was taken away while the connection to that node was made, and against a node that then
// counts as failed.
func TestKeyTakenAwayBeforeForwarding(t *testing.T) {
	d, node := forwarding(t, func(context.Context, *relay.Request, relay.Answer) (int, *relay.Failure) {
		t.Error("forwarded")
		return 0, nil
	}, false)
	refusal := &relay.Failure{Reason: relay.ReasonUnknownKey, Run: outcome.NotRun}
	req, attempt := forwardedCall()
	attempt.Authorize = func() *relay.Failure { return refusal }
	_, err := d.Send(t.Context(), node, req, attempt)
	var failed *relay.SendError
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
	require.Equal(t, refusal, failed.Refusal)
	require.NotNil(t, d.PickNode(nil, time.Now()))
}

// refusingLinks refuse each request after the check of its key.
type refusingLinks struct{ countingLinks }

func (*refusingLinks) Send(context.Context, *inventory.Endpoint, *relay.Request, relay.Attempt) (*relay.Reply, error) {
	return nil, &relay.SendError{Refusal: &relay.Failure{Reason: relay.ReasonUnknownKey}, Err: errDead}
}

// TestRefusedAttemptIsNoLostLink guards against links that are checked since a key was taken
// away.
func TestRefusedAttemptIsNoLostLink(t *testing.T) {
	d, _ := forwarding(t, nil, false)
	links := &refusingLinks{countingLinks{result: reachability.Made}}
	d.Direct = links
	endpoint := &inventory.Endpoint{ID: "e", Address: "127.0.0.1:1"}
	for range 20 {
		_, err := d.Send(t.Context(), endpoint, &relay.Request{}, relay.Attempt{})
		require.Error(t, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	require.Empty(t, d.checks)
	require.Empty(t, d.checkedAt)
	require.Zero(t, links.connections.Load())
}

// TestForwardedStream guards against streams that another node holds back, ends without a
// word, or goes on with after the caller has left.
func TestForwardedStream(t *testing.T) {
	next, left := make(chan bool), make(chan struct{})
	d, node := forwarding(t, func(ctx context.Context, _ *relay.Request, answer relay.Answer) (int, *relay.Failure) {
		answer.Begin(&relay.Reply{Status: 200, Signed: true, Header: http.Header{}}, -1)
		for <-next {
			_ = answer.Write([]byte("event"))
			_ = answer.Flush()
		}
		if _, more := <-next; more {
			return 2, &relay.Failure{Reason: relay.ReasonTruncated, Run: outcome.Unknown}
		}
		<-ctx.Done()
		close(left)
		return 1, nil
	}, false)
	begin := func(ctx context.Context) *relay.Reply {
		req, attempt := forwardedCall()
		go func() { next <- true }()
		reply, err := d.Send(ctx, node, req, attempt)
		require.NoError(t, err)
		buffer := make([]byte, 5)
		_, err = io.ReadFull(reply.Body, buffer)
		require.NoError(t, err, "an event passes before the next one exists")
		return reply
	}
	reply := begin(t.Context())
	next <- false
	next <- true
	_, err := io.ReadAll(reply.Body)
	require.ErrorIs(t, err, errForwarded, "broken off at the other node")
	require.Equal(t, 2, reply.Runs())
	require.NoError(t, reply.Body.Close())

	ctx, cancel := context.WithCancel(t.Context())
	reply = begin(ctx)
	next <- false
	close(next)
	cancel()
	<-left
	require.NoError(t, reply.Body.Close())
}

// TestCutNeedsAnotherNode guards against a crash or a restart of all endpoints that is taken
// for a partition, and against a partition that is taken for crashes. The loss of a connection
// and the question whether the endpoint has crashed share one check.
func TestCutNeedsAnotherNode(t *testing.T) {
	for _, result := range []reachability.Connection{reachability.Unanswered, reachability.Refused, reachability.Made} {
		d, _ := forwarding(t, nil, false)
		endpoint := &inventory.Endpoint{ID: "e", Address: "127.0.0.1:1"}
		links := &countingLinks{result: result}
		other := NewForwarding()
		other.Inventory = inventory.New()
		other.Inventory.Replace([]*inventory.Endpoint{endpoint})
		other.Log = discard
		other.Direct = links
		server := httptest.NewServer((&Server{Publisher: &Publisher{}, RateLimits: NewRateLimits(), Suspects: NewSuspects(), Forwarding: other, Log: discard}).Handler())
		t.Cleanup(server.Close)
		d.Others = func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} }
		reached := result == reachability.Made
		d.Lost(endpoint)
		require.Equal(t, !reached, d.Refuses(t.Context(), endpoint), "crashed")
		require.Equal(t, reached, d.Cut(endpoint.Key(), time.Now()), "cut")
		require.Equal(t, int64(1), links.connections.Load())
	}
}

// countingLinks count their connections, which all end in the same way.
type countingLinks struct {
	deadLinks
	result      reachability.Connection
	connections atomic.Int64
}

func (l *countingLinks) Connect(context.Context, string) reachability.Connection {
	l.connections.Add(1)
	return l.result
}

// TestSilentSecondOfNodeIsBridged guards against forwarded streams that break off since the
// other node is silent for a second or so: the user timeout is made for such a silence.
func TestSilentSecondOfNodeIsBridged(t *testing.T) {
	require.GreaterOrEqual(t, forwardSilence, 1500*time.Millisecond)
}

// forwardedOnce returns a reply as the node has it that forwarded the request.
func forwardedOnce(t *testing.T, sent *relay.Reply) *relay.Reply {
	d, node := forwarding(t, func(_ context.Context, _ *relay.Request, answer relay.Answer) (int, *relay.Failure) {
		answer.Begin(sent, 0)
		return 1, nil
	}, false)
	req, attempt := forwardedCall()
	reply, err := d.Send(t.Context(), node, req, attempt)
	require.NoError(t, err)
	require.NoError(t, reply.Body.Close())
	return reply
}

// TestForwardedReplyKeepsSignature guards against a response without the endpoint's signature that
// counts as a success at the node that forwarded the request, and against a signed one that does not.
func TestForwardedReplyKeepsSignature(t *testing.T) {
	for _, signed := range []bool{true, false} {
		reply := forwardedOnce(t, &relay.Reply{Status: http.StatusOK, Signed: signed, Header: http.Header{"Signature": {"s"}}})
		require.Equal(t, signed, reply.Signed)
	}
}

// TestForwardedReplyKeepsContentType guards against a response that is no stream of events and counts
// as one at the node that forwarded the request, and against streams that count as other content.
func TestForwardedReplyKeepsContentType(t *testing.T) {
	for _, events := range []bool{true, false} {
		reply := forwardedOnce(t, &relay.Reply{Status: http.StatusOK, EventStream: events, Header: http.Header{"Content-Type": {"text/event-stream"}}})
		require.Equal(t, events, reply.EventStream)
	}
}

// TestReplyOfEarlierVersionIsChecked guards against a response that a node of an earlier version passes
// on, which does not state whether it is signed and a stream of events, and that counts as both without
// being it, or as neither though it is.
func TestReplyOfEarlierVersionIsChecked(t *testing.T) {
	for _, signed := range []bool{true, false} {
		for _, events := range []bool{true, false} {
			header := "Chestnut-Forward-Reply: {\"status\":200,\"length\":-1}\r\n"
			if signed {
				header += "Signature: s\r\n"
			}
			if events {
				header += "Content-Type: text/event-stream\r\n"
			}
			d, node := scriptedNode(t, func(nodeCall) string { return nodeResponse("", header, "body", forwardEnd{Runs: 1}) })
			req, attempt := forwardedCall()
			reply, err := d.forward(t.Context(), node, req, attempt)
			require.NoError(t, err)
			require.NoError(t, reply.Body.Close())
			require.Equal(t, signed, reply.Signed)
			require.Equal(t, events, reply.EventStream)
		}
	}
}
