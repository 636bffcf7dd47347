package fleet

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/relay"
	"chestnutgauge/internal/streamorigin"
	"chestnutgauge/internal/team"
)

// forwardPath is the path of the call by which a node has another one serve a request.
const forwardPath = "/v1/forward"

// Headers of the call, and of its response.
const (
	// headerForward holds a forwardedRequest. The other headers are the caller's.
	headerForward = "Chestnut-Forward"
	// headerForwardReply holds a forwardedReply, if the response is that of an endpoint.
	headerForwardReply = "Chestnut-Forward-Reply"
	// headerForwardEnd is a trailer with a forwardEnd. A response without it is incomplete.
	headerForwardEnd = "Chestnut-Forward-End"
	// headerForwardCall holds the name of the call in its response.
	headerForwardCall = "Chestnut-Forward-Call"
)

// forwardedRequest describes a caller's request that another node serves.
type forwardedRequest struct {
	// Call is the name of the call. No other one has it. Nodes that don't send it get responses
	// without a name.
	Call   string `json:"call,omitempty"`
	ID     text   `json:"id"`
	Method text   `json:"method"`
	Target text   `json:"target"`
	Path   text   `json:"path"`
	Host   text   `json:"host"`
	// LeftMS is the time that the caller still waits, in milliseconds.
	LeftMS       int64              `json:"left_ms"`
	Model        text               `json:"model,omitempty"`
	Adapter      text               `json:"adapter,omitempty"`
	PromptTokens int                `json:"prompt_tokens,omitempty"`
	MaxTokens    int                `json:"max_tokens,omitempty"`
	Prompt       []relay.PromptPart `json:"prompt,omitempty"`
	LastEvent    text               `json:"last_event,omitempty"`
	Resumes      text               `json:"resumes,omitempty"`
	Service      string             `json:"service"`
	// MaxRuns is the number of endpoints on which the request may still run.
	MaxRuns int `json:"max_runs"`
	// Counted means that the request has been counted in a retry budget.
	Counted  bool                  `json:"counted,omitempty"`
	Required inventory.Requirement `json:"required,omitzero"`
	// Credential identifies the caller's team.
	Credential team.Credential `json:"credential,omitzero"`
	// Team is the name of that team by version ConfigVersion of the configuration.
	Team          string `json:"team,omitempty"`
	ConfigVersion int64  `json:"config_version,omitempty"`
}

// forwardedReply describes an endpoint's response that another node passes on.
type forwardedReply struct {
	Status int `json:"status"`
	// Length is the length of the body, or -1 if it is unknown.
	Length int64 `json:"length"`
	// Origin is what began it if it is a stream.
	Origin streamorigin.Origin `json:"origin,omitzero"`
	// Unsigned means that it lacks the endpoint's signature. Nodes of earlier versions don't send
	// it, so the node that gets the response checks the header as well.
	Unsigned bool `json:"unsigned,omitempty"`
	// OtherContent means that its content type is not that of server-sent events. It is checked
	// as well.
	OtherContent bool `json:"other_content,omitempty"`
}

// forwardEnd says how the request ended at the other node.
type forwardEnd struct {
	// Call is the name of the call.
	Call string `json:"call,omitempty"`
	// Runs is the number of endpoints that may have run the request.
	Runs int `json:"runs"`
	// Reason is empty if the response is complete.
	Reason       relay.Reason `json:"reason,omitempty"`
	Run          outcome.Run  `json:"run,omitempty"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
}

// ofTheNode are the reasons for which another node may serve a request that one did not.
var ofTheNode = map[relay.Reason]bool{
	relay.ReasonUnreachable:  true,
	relay.ReasonShuttingDown: true,
	relay.ReasonNotReady:     true,
	relay.ReasonNoMemory:     true,
	relay.ReasonNoRoute:      true,
	relay.ReasonUnknownModel: true,

	relay.ReasonConfigurationOld: true,
}

// Errors of forwarded requests.
var (
	// errForwarded is the error of a request that another node could not serve.
	errForwarded = errors.New("fleet: not served by the other node")
	// errOtherCall means that the end of a response names another call than its header.
	errOtherCall = errors.New("fleet: the end of the response is that of another call")
)

// forward has another node serve a request.
func (f *Forwarding) forward(ctx context.Context, node string, req *relay.Request, attempt relay.Attempt) (*relay.Reply, error) {
	end := f.nodes.Begin(node)
	requestsForwarded.Inc()
	var refusal *relay.Failure
	name := rand.Text()
	ctx, exchange := httpclient.NewExchange(ctx, httpclient.Terms{
		Check: func() bool {
			refusal = attempt.Authorized()
			return refusal == nil
		},
		Named:     func(resp *http.Response) bool { return resp.Header.Get(headerForwardCall) == name },
		FirstOnly: withoutName,
	})
	resp, err := f.callForward(ctx, node, name, req, attempt)
	if exchange.Refused() {
		end()
		return nil, &relay.SendError{Refusal: refusal, Connection: connectionOf(exchange), Err: err}
	}
	if err != nil {
		end()
		if ctx.Err() == nil {
			f.nodes.Failed(node, time.Now())
		}
		return nil, &relay.SendError{Sent: exchange.Written(), Connection: connectionOf(exchange), Err: err}
	}
	body := &forwardedBody{response: resp, end: end}
	var described forwardedReply
	if text := resp.Header.Get(headerForwardReply); text != "" {
		if err := json.Unmarshal([]byte(text), &described); err == nil {
			reply := f.forwardReply(resp, described, body)
			reply.Connection = connectionOf(exchange)
			return reply, nil
		}
	}
	defer func() { _ = body.Close() }()
	failed := f.notForwarded(node, resp)
	failed.Connection = connectionOf(exchange)
	return nil, failed
}

// connectionOf describes the connections that an exchange took.
func connectionOf(exchange *httpclient.Exchange) relay.Connection {
	taken, kept := exchange.Connections()
	return relay.Connection{Taken: taken, Kept: kept, Written: exchange.Written()}
}

// withoutName reports whether a response names no call. A node of an earlier version sends such ones:
// one response to each call, so that the first one on a connection is that to the first call.
func withoutName(resp *http.Response) bool {
	return len(resp.Header.Values(headerForwardCall)) == 0
}

// callForward makes the call with a name.
func (f *Forwarding) callForward(ctx context.Context, node, name string, req *relay.Request, attempt relay.Attempt) (*http.Response, error) {
	described, err := json.Marshal(forwardedRequest{
		Call:         name,
		ID:           text(req.ID),
		Method:       text(req.Method),
		Target:       text(req.Target),
		Path:         text(req.Path),
		Host:         text(req.Host),
		LeftMS:       time.Until(attempt.Deadline).Milliseconds(),
		Model:        text(req.Model),
		Adapter:      text(req.Adapter),
		PromptTokens: req.PromptTokens,
		MaxTokens:    req.MaxTokens,
		Prompt:       req.Prompt,
		LastEvent:    text(attempt.LastEvent),
		Resumes:      text(req.Resumes),
		Service:      attempt.Service,
		MaxRuns:      attempt.MaxRuns,
		Counted:      attempt.Counted,
		Required:     attempt.Required,
		Credential:   req.Credential,
		Team:         attempt.Team,

		ConfigVersion: attempt.ConfigVersion,
	})
	if err != nil {
		return nil, fmt.Errorf("fleet: encode: %w", err)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+forwardPath, bytes.NewReader(req.Body))
	if err != nil {
		return nil, fmt.Errorf("fleet: request: %w", err)
	}
	call.Header = req.Header.Clone()
	call.Header.Set(headerForward, string(described))
	if call.Header.Get("User-Agent") == "" {
		// An empty value prevents net/http from adding its default.
		call.Header["User-Agent"] = []string{""}
	}
	resp, err := f.ForwardHTTP.Do(call)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return resp, nil
}

// forwardReply returns an endpoint's response that another node passes on.
func (f *Forwarding) forwardReply(resp *http.Response, described forwardedReply, body *forwardedBody) *relay.Reply {
	header := resp.Header.Clone()
	signed, eventStream := f.Direct.Describe(header)
	header.Del(headerForwardReply)
	header.Del(headerForwardCall)
	header.Del("Trailer")
	header.Del("Connection")
	return &relay.Reply{
		Status: described.Status,
		Header: header,
		Body:   body,
		Length: described.Length,
		Origin: described.Origin,
		Signed: signed && !described.Unsigned,
		Runs:   body.runs,

		EventStream: eventStream && !described.OtherContent,
	}
}

// notForwarded returns the error of a request that another node did not serve.
func (f *Forwarding) notForwarded(node string, resp *http.Response) *relay.SendError {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
	ended, err := endOf(resp)
	if err != nil || ended.Reason == "" {
		f.nodes.Failed(node, time.Now())
		return &relay.SendError{Sent: true, Err: errors.Join(fmt.Errorf("%w: status %d", errForwarded, resp.StatusCode), err)}
	}
	failed := &relay.SendError{Sent: ended.Run != outcome.NotRun, Runs: ended.Runs, Err: fmt.Errorf("%w: %s", errForwarded, ended.Reason)}
	switch {
	case ended.Run != outcome.NotRun:
	case ofTheNode[ended.Reason]:
		f.nodes.Declined(node, time.Now())
	default:
		failed.Refusal = &relay.Failure{Reason: ended.Reason, Run: ended.Run, RetryAfter: time.Duration(ended.RetryAfterMS) * time.Millisecond}
	}
	return failed
}

// endOf returns the end of a response whose body has been read. It returns an error if there is none,
// or if it doesn't name the call that the header names.
func endOf(resp *http.Response) (forwardEnd, error) {
	var ended forwardEnd
	if err := json.Unmarshal([]byte(resp.Trailer.Get(headerForwardEnd)), &ended); err != nil {
		return forwardEnd{}, fmt.Errorf("fleet: end of a forwarded request: %w", err)
	}
	if ended.Call != resp.Header.Get(headerForwardCall) {
		return forwardEnd{}, errOtherCall
	}
	return ended, nil
}

// forwardedBody is the body of a response that another node passes on. It ends with an
// error unless the other node says that it is complete.
type forwardedBody struct {
	response *http.Response
	end      func()
	ended    forwardEnd
}

// Read implements io.Reader.
func (b *forwardedBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	ended, endErr := endOf(b.response)
	if endErr != nil {
		return n, errors.Join(io.ErrUnexpectedEOF, endErr)
	}
	b.ended = ended
	if b.ended.Reason != "" {
		return n, fmt.Errorf("%w: %s", errForwarded, b.ended.Reason)
	}
	return n, io.EOF
}

// Close implements io.Closer.
func (b *forwardedBody) Close() error {
	if b.end != nil {
		b.end()
		b.end = nil
	}
	return b.response.Body.Close()
}

// runs returns the number of endpoints that may have run the request.
func (b *forwardedBody) runs() int {
	return max(1, b.ended.Runs)
}
