package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"chestnutgauge/internal/httpserver"
	"chestnutgauge/internal/membudget"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/relay"
)

// Forwarder serves the requests that other nodes forward to this one.
type Forwarder struct {
	Serve func(ctx context.Context, req *relay.Request, answer relay.Answer) (runs int, failure *relay.Failure)
	// Closing reports whether the node shuts down.
	Closing func() bool
	// Memory bounds the bytes of the requests that are held. Nil means no bound.
	Memory *membudget.Budget
}

// IncompleteResponse returns the response to a request of another node whose header is not complete when
// the process has to end: it was not sent to an endpoint, so a third node may serve it.
func IncompleteResponse() string {
	// A struct of plain values always has an encoding.
	ended, _ := json.Marshal(forwardEnd{Reason: relay.ReasonShuttingDown, Run: outcome.NotRun})
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nTrailer: %[1]s\r\n\r\n"+
		"0\r\n%[1]s: %[2]s\r\n\r\n", headerForwardEnd, ended)
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var described forwardedRequest
	if err := json.Unmarshal([]byte(r.Header.Get(headerForward)), &described); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	share := f.Memory.Open()
	defer share.Close()
	body, err := httpserver.ReadAll(r.Context(), share.Reader(r.Body))
	full, incomplete := errors.Is(err, membudget.ErrFull), errors.Is(err, httpserver.ErrIncomplete)
	if err != nil && !full && !incomplete {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Trailer", headerForwardEnd)
	answer := &forwardAnswer{w: w, control: http.NewResponseController(w), closing: f.Closing, call: described.Call}
	var ended forwardEnd
	if full {
		ended = forwardEnd{Reason: relay.ReasonNoMemory, Run: outcome.NotRun}
	} else if incomplete || f.Closing() {
		ended = forwardEnd{Reason: relay.ReasonShuttingDown, Run: outcome.NotRun}
	} else {
		ctx := relay.WithCaller(r.Context(), func() bool { return httpserver.CallerLeft(r.Context()) })
		runs, failure := f.Serve(ctx, described.request(r.Header, body), answer)
		ended = forwardEnd{Runs: runs}
		if failure != nil {
			ended.Reason, ended.Run, ended.RetryAfterMS = failure.Reason, failure.Run, failure.RetryAfter.Milliseconds()
		}
	}
	answer.finish(ended)
}

// request returns the request for the relay.
func (f forwardedRequest) request(header http.Header, body []byte) *relay.Request {
	now := time.Now()
	header = header.Clone()
	header.Del(headerForward)
	header.Del("Content-Length")
	return &relay.Request{
		ID:           string(f.ID),
		Method:       string(f.Method),
		Target:       string(f.Target),
		Path:         string(f.Path),
		Host:         string(f.Host),
		Header:       header,
		Body:         body,
		Arrived:      now,
		Deadline:     now.Add(time.Duration(f.LeftMS) * time.Millisecond),
		Model:        string(f.Model),
		Adapter:      string(f.Adapter),
		PromptTokens: f.PromptTokens,
		MaxTokens:    f.MaxTokens,
		Prompt:       f.Prompt,
		LastEvent:    string(f.LastEvent),
		Resumes:      string(f.Resumes),
		Credential:   f.Credential,
		Forwarded:    &relay.Forwarded{Service: f.Service, MaxRuns: f.MaxRuns, Counted: f.Counted, Required: f.Required, Team: f.Team, ConfigVersion: f.ConfigVersion},
	}
}

// forwardAnswer passes a response on to the node that forwarded the request. It implements
// relay.Answer.
type forwardAnswer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// closing reports whether responses that begin now close their connections.
	closing func() bool
	// call is the name of the call, or empty if the other node sent none.
	call  string
	begun bool
}

// begin names the call and decides on the connection if the response has not begun.
func (a *forwardAnswer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	a.w.Header().Del(headerForwardCall)
	if a.call != "" {
		a.w.Header().Set(headerForwardCall, a.call)
	}
	if a.closing() {
		a.w.Header().Set("Connection", "close")
	}
}

// Begin implements relay.Answer.
func (a *forwardAnswer) Begin(reply *relay.Reply, length int) {
	header := a.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	header.Del("Content-Length")
	header.Del("Connection")
	header.Set("Trailer", headerForwardEnd)
	for _, name := range []string{"Content-Type", "Date"} {
		if header.Get(name) == "" {
			// A nil value prevents net/http from adding one.
			header[name] = nil
		}
	}
	described, err := json.Marshal(forwardedReply{
		Status:       reply.Status,
		Length:       int64(length),
		Origin:       reply.Origin,
		Unsigned:     !reply.Signed,
		OtherContent: !reply.EventStream,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header.Set(headerForwardReply, string(described))
	a.begin()
	a.w.WriteHeader(http.StatusOK)
}

// Write implements relay.Answer.
func (a *forwardAnswer) Write(data []byte) error {
	_, err := a.w.Write(data)
	return err
}

// Flush implements relay.Answer.
func (a *forwardAnswer) Flush() error {
	return a.control.Flush()
}

// finish ends the response, also one that has not begun. The flush makes it a chunked one,
// which has trailers.
func (a *forwardAnswer) finish(ended forwardEnd) {
	a.begin()
	if err := a.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	ended.Call = a.call
	text, err := json.Marshal(ended)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.w.Header().Set(headerForwardEnd, string(text))
}
