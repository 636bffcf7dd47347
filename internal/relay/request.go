package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/streamorigin"
	"chestnutgauge/internal/suspect"
	"chestnutgauge/internal/team"
)

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as received, Path the decoded path that
	// selects the route.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is when the request's header had been read, Deadline when the
	// caller stops waiting for a response.
	Arrived  time.Time
	Deadline time.Time
	// Model and Adapter are empty for plain services.
	Model        string
	Adapter      string
	PromptTokens int
	MaxTokens    int
	// TokensCounted reports whether the request states PromptTokens and MaxTokens.
	TokensCounted bool
	Prompt        []PromptPart
	// Credential identifies the caller's team.
	Credential team.Credential
	// LastEvent is the id of the event after which a stream is resumed.
	LastEvent string
	// Resumes is the id of the caller's attempt that brought the first event of the
	// stream that this one resumes, or empty.
	Resumes string
	// Forwarded is set if another node forwards the request.
	Forwarded *Forwarded
}

// Forwarded is what holds for a request that another node forwards. It is forwarded no
// further.
type Forwarded struct {
	// Service is the service that the other node has chosen.
	Service string
	// MaxRuns is the number of endpoints on which it may still run.
	MaxRuns int
	// Counted means that it has been counted in a retry budget.
	Counted bool
	// Required restricts the endpoints.
	Required inventory.Requirement
	// Team is the name of the caller's team, or empty, by version ConfigVersion of the
	// configuration.
	Team          string
	ConfigVersion int64
}

// Attempt describes one attempt to send a request.
type Attempt struct {
	Deadline  time.Time
	Priority  int
	LastEvent string
	// Team is the name of the caller's team, or empty.
	Team string
	// ConfigVersion is the version of the configuration by which the request's key was
	// accepted.
	ConfigVersion int64
	// Authorize checks whether the request may still be sent. It may be nil.
	Authorize func() *Failure
	// If a node chooses the endpoints, Service is their service, MaxRuns the number of them
	// on which the request may still run, and Required restricts them. Counted means that the
	// request has been counted in a retry budget.
	Service  string
	MaxRuns  int
	Counted  bool
	Required inventory.Requirement
	// Allowed reports whether the permission to send the request still holds. It is checked
	// right before the first byte is written. Nil means that it needs none.
	Allowed func() bool
}

// ErrPermissionExpired is the cause of attempts that were not sent since the permission to
// send them had expired.
var ErrPermissionExpired = errors.New("relay: the permission to send the request has expired")

// Load is the load that an endpoint reports with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes there at the moment, compared with the usual time,
	// which is 1. 0 means that the endpoint does not state it.
	Slowness float64
}

// Reply is the status and header of an endpoint's response, with its unread
// body.
type Reply struct {
	Status int
	Header http.Header
	// Body must be closed.
	Body io.ReadCloser
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Unframed means that only the end of the connection ends the body.
	Unframed bool
	// NotRun means that the endpoint states that it did not run the request.
	NotRun bool
	// Signed means that the response bears the endpoint's signature, without which no success
	// counts.
	Signed bool
	// EventStream means that the content type is that of server-sent events, without an encoding.
	EventStream bool
	// WrongEndpoint means that the endpoint is not the intended one, or does
	// not hold the model.
	WrongEndpoint bool
	Load          Load
	HasLoad       bool
	// Leaving means that the endpoint states that it is leaving.
	Leaving bool
	// Cooldown is the time for which the endpoint, which refused the request,
	// wants no others. 0 means that it states none.
	Cooldown time.Duration
	// RateLimit is what it states of the number of requests a second that it takes.
	RateLimit notice.RateLimit
	// RejectionLimit is what it states of the rejections a second that the endpoints of its
	// service bear.
	RejectionLimit notice.RateLimit
	// Origin is what began the stream that the response is, once it has begun.
	Origin streamorigin.Origin
	// Runs returns, once the body has ended, the number of endpoints that may have run the
	// request. Nil means one.
	Runs func() int
	// Connection is that of the attempt.
	Connection Connection
}

// SendError reports an attempt that got no response.
type SendError struct {
	// Sent means that the endpoint may have received the request.
	Sent bool
	// Runs is the number of endpoints that may have run it if it is more than one.
	Runs int
	// Refusal is the failure, if that is final, at a node that did not serve the request, or
	// of the check of the attempt.
	Refusal *Failure
	// Connection is that of the attempt.
	Connection Connection
	Err        error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("send: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// Sender sends requests to endpoints. Its errors are of type SendError.
type Sender interface {
	Send(ctx context.Context, to *inventory.Endpoint, req *Request, attempt Attempt) (*Reply, error)
	// Refuses reports whether the endpoint's address refuses connections, as
	// after a crash.
	Refuses(ctx context.Context, to *inventory.Endpoint) bool
	// StartedAt asks an engine when it started, in Unix milliseconds.
	StartedAt(ctx context.Context, to *inventory.Endpoint) (ms int64, err error)
}

// Answer receives the response for the caller.
type Answer interface {
	// Begin receives the status and header. A negative length means unknown.
	Begin(reply *Reply, length int)
	Write(data []byte) error
	Flush() error
}

// Adapters loads an adapter at an engine that holds its model. It returns the
// id of the engine and when the adapter can be used there.
type Adapters interface {
	EnsureAdapter(ctx context.Context, need demand.AdapterNeed) (engine string, ready time.Time, err error)
}

// Permits grants permits for requests to endpoints that name a rate limit.
type Permits interface {
	// Ask asks for a permit to send a request to an endpoint whose limit is
	// perSecond.
	Ask(ctx context.Context, endpoint inventory.Key, perSecond float64, ask ratelimit.Ask) ratelimit.Answer
}

// Trials lets one suspect at a time run on an endpoint, over all nodes.
type Trials interface {
	// Begin asks to run a suspect on an endpoint. It lasts for ttl unless it is ended.
	// An error means that the other nodes can't be asked.
	Begin(ctx context.Context, trial Trial, ttl time.Duration) (suspect.TrialAnswer, error)
	// End ends what Begin has granted.
	End(trial Trial)
}

// Trial is the permission to run a suspect alone on an endpoint.
type Trial struct {
	// Name tells it from other trials of the same suspect.
	Name     string
	Endpoint inventory.Key
	Digests  []suspect.Digest
}

// Loads predicts when a model that no engine holds will be loaded.
type Loads interface {
	// Expected returns when an engine of the required version is expected to hold the
	// model. ok is false if that is unknown.
	Expected(service, model string, required inventory.Requirement) (at time.Time, ok bool)
}

// Budget bounds the retries of a service over all nodes.
type Budget struct {
	// Share is the number of retries allowed per request, Extra the number of
	// retries allowed in addition.
	Share float64
	Extra float64
	// Nodes returns the number of nodes that share the budget.
	Nodes func() int
}
