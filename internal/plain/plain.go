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

	"chestnutgauge/internal/httpclient"
)

// Errors of a call.
var (
	// ErrNotSent means that no connection could be made: nothing ran.
	ErrNotSent = errors.New("plain: could not connect")
	// ErrRefused means that the service accepts no new calls: nothing ran.
	ErrRefused = errors.New("plain: refused")
	// ErrUnknown means that the call was sent and its outcome is unknown.
	ErrUnknown = errors.New("plain: outcome unknown")
	// ErrNoRun means that the service has no record of a call.
	ErrNoRun = errors.New("plain: no such call")
)

// Headers of calls.
const (
	// HeaderRequestID carries the id of the attempt. The service must echo it.
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 8 << 20

// Request is one call.
type Request struct {
	ID             string
	IdempotencyKey string
	Method         string
	Path           string
	ContentType    string
	Body           []byte
}

// Response is the response to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Phase is the progress of a call.
type Phase string

// Phases of a call.
const (
	PhaseRunning Phase = "running"
	PhaseDone    Phase = "done"
)

// RunStatus is the status of a call, as GET /runs/{id} returns it.
type RunStatus struct {
	Phase Phase `json:"phase"`
	// The response, once the phase is done and while the service stores it.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Settings of a caller.
type Settings struct {
	// DialTimeout bounds the establishing of a connection.
	DialTimeout time.Duration
	// StatusTimeout bounds a query for the status of a call.
	StatusTimeout time.Duration
	// ProgressTimeout is the time without a response after which the status of
	// the call is queried, and the interval of further queries.
	ProgressTimeout time.Duration
	// RecoveryAttempts is the number of failed status queries after which a
	// call whose connection was lost is abandoned, and RecoveryInterval the
	// time between two queries.
	RecoveryAttempts int
	RecoveryInterval time.Duration
	// IdleTimeout closes unused connections.
	IdleTimeout time.Duration
	// Dial replaces the network dialer. It may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:      time.Second,
		StatusTimeout:    2 * time.Second,
		ProgressTimeout:  2 * time.Second,
		RecoveryAttempts: 5,
		RecoveryInterval: 500 * time.Millisecond,
		IdleTimeout:      10 * time.Second,
	}
}

// Caller calls endpoints of plain services.
type Caller struct {
	settings Settings
	pooled   *http.Client
	// unpooled opens a connection for each call. It is used for status queries
	// and for calls that may not be repeated, so that none of them is sent over
	// a pooled connection that the peer has closed.
	unpooled *http.Client
}

// NewCaller returns a caller.
func NewCaller(settings Settings) *Caller {
	dial := settings.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: settings.DialTimeout}).DialContext
	}
	return &Caller{
		settings: settings,
		pooled:   newClient(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: settings.IdleTimeout}),
		unpooled: newClient(&http.Transport{DialContext: dial, DisableKeepAlives: true}),
	}
}

// newClient returns a client over a pool of connections.
func newClient(pool *http.Transport) *http.Client {
	pool.MaxResponseHeaderBytes = httpclient.MaxHeadBytes
	return httpclient.NewClient(httpclient.Over(pool))
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.pooled.CloseIdleConnections()
}

// Health checks whether the endpoint at address accepts new calls. It returns
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

// RunStatus queries the endpoint at address for the status of a call. It
// returns ErrNoRun, ErrNotSent or ErrUnknown.
func (c *Caller) RunStatus(ctx context.Context, address, id string) (RunStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.StatusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs/"+url.PathEscape(id), nil)
	if err != nil {
		return RunStatus{}, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	resp, err := c.unpooled.Do(req)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*maxResponseBytes)).Decode(&status); err != nil {
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
		client = c.unpooled
	}
	resp, err := client.Do(httpReq)
	if err != nil {
		return Response{}, transportError(err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderRequestID); got != req.ID {
		return Response{}, fmt.Errorf("%w: answer is for request %q", ErrUnknown, got)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return Response{}, ErrRefused
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if len(body) > maxResponseBytes {
		return Response{}, fmt.Errorf("%w: answer is longer than %d bytes", ErrUnknown, maxResponseBytes)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// Follow is Call, except that it queries the status of a call without a
// response over other connections, and returns the response that the status
// holds once the service has it.
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
			return c.recoverResponse(ctx, address, req.ID, got.err)
		case <-ticker.C:
		}
		status, err := c.RunStatus(ctx, address, req.ID)
		if err == nil && status.Phase == PhaseDone && status.Status != 0 {
			return Response{Status: status.Status, ContentType: status.ContentType, Body: status.Body}, nil
		}
	}
}

// recoverResponse queries the service for the response of a call whose
// connection was lost. It returns cause if the service does not have it.
func (c *Caller) recoverResponse(ctx context.Context, address, id string, cause error) (Response, error) {
	for failures := 0; failures < c.settings.RecoveryAttempts; {
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
		case <-time.After(c.settings.RecoveryInterval):
		case <-ctx.Done():
			return Response{}, cause
		}
	}
	return Response{}, cause
}

func transportError(err error) error {
	if httpclient.NotSent(err) {
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}
