// Package plain calls plain services over HTTP.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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

// Caller calls endpoints of plain services.
type Caller struct {
	pooled *http.Client
	fresh  *http.Client
}

// NewCaller returns a caller.
func NewCaller() *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Caller{
		pooled: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}},
		// A call that may not be repeated gets a connection of its own, so that
		// it is not the one that finds a pooled connection dead.
		fresh: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
	}
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

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}
