package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/streamorigin"
	"chestnutgauge/internal/suspect"
)

// behaviour is what a fake endpoint does with one attempt.
type behaviour func(ctx context.Context, attempt Attempt) (*Reply, error)

// fakeEndpoints responds to attempts in the order in which they are sent,
// whatever the endpoint.
type fakeEndpoints struct {
	mu          sync.Mutex
	next        []behaviour
	attempts    []Attempt
	endpointIDs []string
	// refusesConnections reports whether the endpoints refuse connections
	// afterwards.
	refusesConnections bool
	// restarted holds the start times of endpoints that have restarted under their ids.
	restarted map[string]int64
}

func (f *fakeEndpoints) StartedAt(_ context.Context, to *inventory.Endpoint) (int64, error) {
	if at, ok := f.restarted[to.ID]; ok {
		return at, nil
	}
	return to.StartedAtMS, nil
}

func (f *fakeEndpoints) Refuses(context.Context, *inventory.Endpoint) bool {
	return f.refusesConnections
}

func (f *fakeEndpoints) Send(ctx context.Context, to *inventory.Endpoint, _ *Request, attempt Attempt) (*Reply, error) {
	f.mu.Lock()
	f.attempts = append(f.attempts, attempt)
	f.endpointIDs = append(f.endpointIDs, to.ID)
	do := f.next[0]
	f.next = f.next[1:]
	f.mu.Unlock()
	return do(ctx, attempt)
}

// soundEndpoints accept connections and have not restarted.
type soundEndpoints struct{}

func (soundEndpoints) Refuses(context.Context, *inventory.Endpoint) bool { return false }

func (soundEndpoints) StartedAt(_ context.Context, to *inventory.Endpoint) (int64, error) {
	return to.StartedAtMS, nil
}

// truncatedBody is a body whose connection is reset at its end.
type truncatedBody struct {
	io.Reader
}

var errReset = errors.New("connection reset")

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errReset
	}
	return n, err
}

func answer(status int, body string) behaviour {
	return func(context.Context, Attempt) (*Reply, error) {
		return &Reply{Status: status, Signed: true, EventStream: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Length: -1}, nil
	}
}

// unframed is an answer that only the end of its connection ends.
func unframed(status int, body string) behaviour {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		reply, err := answer(status, body)(ctx, attempt)
		reply.Unframed = true
		return reply, err
	}
}

func truncated(status int, body string) behaviour {
	return func(context.Context, Attempt) (*Reply, error) {
		return &Reply{Status: status, Signed: true, EventStream: true, Header: http.Header{}, Body: io.NopCloser(truncatedBody{strings.NewReader(body)}), Length: -1}, nil
	}
}

// truncatedReader is truncated with what a reader gives as the body.
func truncatedReader(body io.Reader) behaviour {
	return func(context.Context, Attempt) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Signed: true, EventStream: true, Header: http.Header{}, Body: io.NopCloser(truncatedBody{body}), Length: -1}, nil
	}
}

// slowly is a complete answer with a pause between two parts.
func slowly(first string, delay time.Duration, second string) behaviour {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		reader, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, first)
			time.Sleep(delay)
			_, _ = io.WriteString(writer, second)
			_ = writer.Close()
		}()
		return &Reply{Status: http.StatusOK, Signed: true, EventStream: true, Header: http.Header{}, Body: reader, Length: -1}, nil
	}
}

// emptyReply is a response with an empty body.
func emptyReply(status int) *Reply {
	return &Reply{Status: status, Signed: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
}

// notRun is a refusal by an endpoint that has no room.
func notRun(context.Context, Attempt) (*Reply, error) {
	reply := emptyReply(http.StatusServiceUnavailable)
	reply.NotRun = true
	return reply, nil
}

// withoutModel is a refusal by an endpoint that does not hold the request's model, or is
// not the intended one.
func withoutModel(context.Context, Attempt) (*Reply, error) {
	reply := emptyReply(http.StatusMisdirectedRequest)
	reply.NotRun, reply.WrongEndpoint = true, true
	return reply, nil
}

// endlessRefusal is a refusal whose body ends only with the attempt.
func endlessRefusal(ctx context.Context, attempt Attempt) (*Reply, error) {
	reply, err := notRun(ctx, attempt)
	reply.Body = endlessBody{ctx}
	return reply, err
}

// endlessBody is a body that sends a byte a second until its attempt ends.
type endlessBody struct {
	ctx context.Context
}

func (b endlessBody) Read(p []byte) (int, error) {
	if !pause.For(b.ctx, time.Second) {
		return 0, b.ctx.Err()
	}
	p[0] = 'a'
	return 1, nil
}

func (endlessBody) Close() error { return nil }

func noConnection(context.Context, Attempt) (*Reply, error) {
	return nil, &SendError{Err: errors.New("connection refused")}
}

func noResponse(context.Context, Attempt) (*Reply, error) {
	return nil, &SendError{Sent: true, Err: errReset}
}

func hang(ctx context.Context, _ Attempt) (*Reply, error) {
	<-ctx.Done()
	return nil, &SendError{Sent: true, Err: ctx.Err()}
}

// stalledBody returns some bytes and then blocks until its context ends.
type stalledBody struct {
	io.Reader
	ctx context.Context
}

func (b stalledBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		<-b.ctx.Done()
		err = b.ctx.Err()
	}
	return n, err
}

func stall(body string) behaviour {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		stalled := stalledBody{strings.NewReader(body), ctx}
		return &Reply{Status: 200, Signed: true, EventStream: true, Header: http.Header{}, Body: io.NopCloser(stalled), Length: -1}, nil
	}
}

// withReply is a behaviour whose response is changed.
func withReply(do behaviour, change func(*Reply)) behaviour {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		reply, err := do(ctx, attempt)
		if err == nil {
			change(reply)
		}
		return reply, err
	}
}

// fakeAnswer records what the caller receives.
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

func (noLoads) Expected(string, string, inventory.Requirement) (time.Time, bool) {
	return time.Time{}, false
}

func (noLoads) EnsureAdapter(context.Context, demand.AdapterNeed) (string, time.Time, error) {
	return "", time.Time{}, errors.New("no owner")
}

// loadAt is an owner that expects a model to be loaded at a time.
type loadAt struct {
	noLoads
	at time.Time
}

func (l loadAt) Expected(string, string, inventory.Requirement) (time.Time, bool) { return l.at, true }

// newRelay returns a relay with three endpoints that all hold model m.
func newRelay(sender Sender) *Relay {
	routes := []*catalog.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.AtMostOnce},
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
	return New(Dependencies{
		Catalog:         func() *catalog.Catalog { return c },
		Inventory:       inv,
		Sender:          sender,
		Adapters:        noLoads{},
		Loads:           noLoads{},
		Demand:          demand.NewMeter("n"),
		Limits:          notice.NewLimits[inventory.Key](),
		Permits:         ownLimiter{ratelimit.NewLimiter[inventory.Key]()},
		Suspects:        suspect.NewRegistry(),
		Trials:          &ownTrials{},
		Origins:         &ownOrigins{known: streamorigin.NewRegistry()},
		Forwarding:      noForwarding{},
		RejectionLimits: notice.NewLimits[string](),
		Budget:          Budget{Share: 0.2, Extra: 10, Nodes: func() int { return 1 }},
		Isolated:        func() bool { return false },
		Log:             slog.New(slog.DiscardHandler),
	})
}

// ownLimiter grants permits as the owner does.
type ownLimiter struct {
	limiter *ratelimit.Limiter[inventory.Key]
}

func (l ownLimiter) Ask(_ context.Context, endpoint inventory.Key, perSecond float64, ask ratelimit.Ask) ratelimit.Answer {
	return l.limiter.Ask(endpoint, perSecond, ask, time.Now())
}

// noForwarding has working links to all endpoints.
type noForwarding struct{}

func (noForwarding) Cut(inventory.Key, time.Time) bool { return false }

func (noForwarding) Lost(*inventory.Endpoint) {}

func (noForwarding) PickNode([]string, time.Time) *inventory.Endpoint { return nil }

// ownOrigins keeps the origins of streams at one node.
type ownOrigins struct {
	known *streamorigin.Registry
	// onlyVersion, unless it is empty, is the only version that has ever served.
	onlyVersion string
}

func (o *ownOrigins) Record(stream string, origin streamorigin.Origin, lifetime time.Duration) {
	o.known.PutOwn(stream, origin, lifetime, time.Now())
}

func (o *ownOrigins) Find(_ context.Context, stream, service string, lifetime time.Duration) streamorigin.Decision {
	evidence := streamorigin.Evidence{Service: service, Observed: lifetime}
	evidence.Origin, evidence.Found = o.known.Get(stream, time.Now())
	if o.onlyVersion != "" {
		evidence.Versions = []string{o.onlyVersion}
	}
	return streamorigin.Decide(evidence, lifetime)
}

// ownTrials grants trials as the owner does.
type ownTrials struct {
	trials suspect.Trials
}

func (t *ownTrials) Begin(_ context.Context, trial Trial, ttl time.Duration) (suspect.TrialAnswer, error) {
	now := time.Now()
	return t.trials.Begin(suspect.Trial{Name: trial.Name, Endpoint: trial.Endpoint.ID, Digests: trial.Digests}, now.Add(ttl), now), nil
}

func (t *ownTrials) End(trial Trial) {
	t.trials.End(suspect.Trial{Name: trial.Name, Endpoint: trial.Endpoint.ID, Digests: trial.Digests})
}

func request(kind, model string) *Request {
	now := time.Now()
	return &Request{ID: "r", Method: http.MethodPost, Path: "/" + kind + "/x", Target: "/" + kind + "/x", Host: "h", Model: model, Arrived: now, Deadline: now.Add(4 * time.Second)}
}

const (
	eventOne = "id: 1\ndata: a\n\n"
	eventTwo = "id: 2\ndata: b\n\n"
)
