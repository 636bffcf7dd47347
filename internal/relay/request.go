package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"chestnutgauge/internal/inventory"
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
	// Target is the path and query as the caller sent them, Path the decoded
	// path that selects the route.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is when its header had been read, Deadline when the caller no
	// longer wants an answer.
	Arrived  time.Time
	Deadline time.Time
	// Model and Adapter are empty for plain services.
	Model        string
	Adapter      string
	PromptTokens int
	MaxTokens    int
	Prompt       []PromptPart
	// LastEvent is the id of the event after which a stream goes on.
	LastEvent string
}

// Try is one sending of a request.
type Try struct {
	Deadline  time.Time
	Priority  int
	LastEvent string
}

// Load is what an endpoint says about itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Reply is the beginning of an endpoint's answer.
type Reply struct {
	Status int
	Header http.Header
	// Body must be closed.
	Body io.ReadCloser
	// Length is the length of the body, -1 if the endpoint did not tell it.
	Length int64
	// NotRun means that the endpoint says that it did not run the request.
	NotRun bool
	// Strange means that the endpoint is not the one that was meant, or does
	// not hold the model.
	Strange bool
	Load    Load
	HasLoad bool
}

// SendError is a sending without an answer.
type SendError struct {
	// Sent means that the endpoint may have received the request.
	Sent bool
	Err  error
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
	Send(ctx context.Context, to *inventory.Endpoint, req *Request, try Try) (*Reply, error)
	// Refuses reports whether nothing listens at the endpoint's address, as
	// after a crash.
	Refuses(ctx context.Context, to *inventory.Endpoint) bool
}

// Answer takes the answer for the caller.
type Answer interface {
	// Begin takes the status and header. A length below 0 is not known.
	Begin(reply *Reply, length int)
	Write(data []byte) error
	Flush() error
}

// Adapters brings an adapter up at an engine that holds its model. It returns
// the id of the engine and when the adapter can be used there.
type Adapters interface {
	EnsureAdapter(ctx context.Context, service, model, adapter string) (engine string, ready time.Time, err error)
}

// Loads tells what is under way for a model that no engine holds.
type Loads interface {
	// Expected returns when an engine is expected to hold the model. ok is
	// false while nothing is known.
	Expected(service, model string) (at time.Time, ok bool)
}

// Budget bounds the repeats of a service over all nodes.
type Budget struct {
	// Share of the requests, and Extra repeats more.
	Share float64
	Extra float64
	// Nodes returns the number of nodes that share it.
	Nodes func() int
}
