// Package plain calls plain services over HTTP.
package plain

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// Errors of a call.
var (
	// ErrNotSent means that no connection could be made: nothing ran.
	ErrNotSent = errors.New("plain: could not connect")
	// ErrRefused means that the service takes no new calls: nothing ran.
	ErrRefused = errors.New("plain: refused")
	// ErrUnknown means that the call was sent and its outcome is open.
	ErrUnknown = errors.New("plain: outcome unknown")
	// ErrNoRun means that the service has no record of a call.
	ErrNoRun = errors.New("plain: no such call")
)

// Headers that the service is sent, and must echo where said.
const (
	// HeaderRequestID carries the id of the try. The service echoes it.
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 8 << 20

// Request is one call.
type Request struct {
	ID             string
	IdempotencyKey string
	Method         string
	Path           string
	ContentType    string
	Body           []byte
}

// Response is the answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Phase is how far a call has come.
type Phase string

// Phases of a call.
const (
	PhaseRunning Phase = "running"
	PhaseDone    Phase = "done"
)

// RunStatus is what a service knows about a call, as GET /runs/{id} tells it.
type RunStatus struct {
	Phase Phase `json:"phase"`
	// The answer, once the phase is done and while the service keeps it.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Settings of a caller.
type Settings struct {
	// DialTimeout bounds the setting up of a connection.
	DialTimeout time.Duration
	// StatusTimeout bounds a question for the status of a call.
	StatusTimeout time.Duration
	// ProgressTimeout is the time without an answer after which the service is
	// asked about the call.
	ProgressTimeout time.Duration
	// BreakChecks is the number of failed questions about a call whose
	// connection broke, and BreakPause the time between two questions.
	BreakChecks int
	BreakPause  time.Duration
	// IdleTimeout closes unused connections.
	IdleTimeout time.Duration
	// Dial replaces the network. It may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:     time.Second,
		StatusTimeout:   2 * time.Second,
		ProgressTimeout: 2 * time.Second,
		BreakChecks:     5,
		BreakPause:      500 * time.Millisecond,
		IdleTimeout:     10 * time.Second,
	}
}

// Caller calls endpoints of plain services.
type Caller struct {
	settings Settings
	pooled   *http.Client
	// fresh opens a connection for each call. A call that may not be repeated
	// uses it, so that it is not the one that finds a pooled connection dead.
	// net/http also sends a call anew by itself only on a pooled connection.
	fresh *http.Client
}

// NewCaller returns a caller.
func NewCaller(settings Settings) *Caller {
	dial := settings.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: settings.DialTimeout}).DialContext
	}
	return &Caller{
		settings: settings,
		pooled:   &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: settings.IdleTimeout}},
		fresh:    &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
	}
}

// Close closes the unused connections.
func (c *Caller) Close() {
	c.pooled.CloseIdleConnections()
}

// Health asks the endpoint at address whether it takes new calls. It returns
// ErrRefused if it does not, ErrNotSent or ErrUnknown.
func (c *Caller) Health(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.StatusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ErrRefused
	}
	return nil
}

// RunStatus asks the endpoint at address about a call. It returns ErrNoRun,
// ErrNotSent or ErrUnknown.
func (c *Caller) RunStatus(ctx context.Context, address, id string) (RunStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.StatusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs/"+url.PathEscape(id), nil)
	if err != nil {
		return RunStatus{}, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	resp, err := c.fresh.Do(req)
	if err != nil {
		return RunStatus{}, transportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return RunStatus{}, ErrNoRun
	}
	if resp.StatusCode != http.StatusOK {
		return RunStatus{}, fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
	}
	var status RunStatus
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*maxAnswerBytes)).Decode(&status); err != nil {
		return RunStatus{}, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	return status, nil
}

// Call sends a call to the endpoint at address. It returns ErrNotSent,
// ErrRefused or ErrUnknown.
func (c *Caller) Call(ctx context.Context, address string, req Request) (Response, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	httpReq.Header.Set("Content-Type", req.ContentType)
	httpReq.Header.Set(HeaderRequestID, req.ID)
	client := c.pooled
	if req.IdempotencyKey != "" {
		httpReq.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
		client = c.fresh
	}
	resp, err := client.Do(httpReq)
	if err != nil {
		return Response{}, transportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return Response{}, ErrRefused
	}
	if got := resp.Header.Get(HeaderRequestID); got != req.ID {
		return Response{}, fmt.Errorf("%w: answer is for request %q", ErrUnknown, got)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if len(body) > maxAnswerBytes {
		return Response{}, fmt.Errorf("%w: answer is longer than %d bytes", ErrUnknown, maxAnswerBytes)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// Follow is Call, but a call that has gone silent is asked about on other
// connections, and its answer taken from there once the service has it.
func (c *Caller) Follow(ctx context.Context, address string, req Request) (Response, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		resp Response
		err  error
	}
	called := make(chan result, 1)
	go func() {
		resp, err := c.Call(callCtx, address, req)
		called <- result{resp, err}
	}()
	ticker := time.NewTicker(c.settings.ProgressTimeout)
	defer ticker.Stop()
	for {
		select {
		case got := <-called:
			if !errors.Is(got.err, ErrUnknown) || ctx.Err() != nil {
				return got.resp, got.err
			}
			return c.afterBreak(ctx, address, req.ID, got.err)
		case <-ticker.C:
		}
		status, err := c.RunStatus(ctx, address, req.ID)
		if err == nil && status.Phase == PhaseDone && status.Status != 0 {
			return Response{Status: status.Status, ContentType: status.ContentType, Body: status.Body}, nil
		}
	}
}

// afterBreak asks for the answer of a call whose connection broke. It returns
// cause if the service does not have it.
func (c *Caller) afterBreak(ctx context.Context, address, id string, cause error) (Response, error) {
	for failures := 0; failures < c.settings.BreakChecks; {
		status, err := c.RunStatus(ctx, address, id)
		switch {
		case errors.Is(err, ErrNoRun):
			return Response{}, cause
		case err != nil:
			failures++
		case status.Phase == PhaseDone && status.Status != 0:
			return Response{Status: status.Status, ContentType: status.ContentType, Body: status.Body}, nil
		case status.Phase == PhaseDone:
			return Response{}, cause
		}
		select {
		case <-time.After(c.settings.BreakPause):
		case <-ctx.Done():
			return Response{}, cause
		}
	}
	return Response{}, cause
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}
