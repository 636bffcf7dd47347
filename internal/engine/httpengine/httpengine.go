// Package httpengine implements engine.Engine over HTTP. Responses are streamed
// as server-sent events with one JSON chunk each.
package httpengine

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
	"strconv"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/httpclient"
)

// Settings are the timeouts of the adapter.
type Settings struct {
	// DialTimeout bounds the establishment of a connection.
	DialTimeout time.Duration
	// CallTimeout bounds calls other than Watch and streams.
	CallTimeout time.Duration
	// KeepAlive is the interval of TCP keep-alive probes.
	KeepAlive time.Duration
	// IdleTimeout is the time after which an unused connection is closed. It is
	// short so that a connection whose state a middlebox has dropped is rarely
	// used.
	IdleTimeout time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout: time.Second,
		CallTimeout: 2 * time.Second,
		KeepAlive:   5 * time.Second,
		IdleTimeout: 10 * time.Second,
	}
}

// ErrorReply is the body of an error response of an engine.
type ErrorReply struct {
	// Code is one of the Code constants.
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Codes of ErrorReply.
const (
	CodeOldFence   = "old_fence"
	CodeNoMemory   = "no_memory"
	CodeNotLoaded  = "not_loaded"
	CodeBusy       = "busy"
	CodeLeaving    = "leaving"
	CodeNoRequest  = "no_request"
	CodeBadRequest = "bad_request"
)

var errorsByCode = map[string]error{
	CodeOldFence:   engine.ErrOldFence,
	CodeNoMemory:   engine.ErrNoMemory,
	CodeNotLoaded:  engine.ErrNotLoaded,
	CodeBusy:       engine.ErrBusy,
	CodeLeaving:    engine.ErrLeaving,
	CodeNoRequest:  engine.ErrNoRequest,
	CodeBadRequest: engine.ErrBadRequest,
}

// Code returns the wire code of an engine error.
func Code(err error) string {
	for code, known := range errorsByCode {
		if errors.Is(err, known) {
			return code
		}
	}
	return CodeBadRequest
}

// Client implements engine.Engine over HTTP.
type Client struct {
	base        string
	callTimeout time.Duration
	http        *http.Client
	// fresh opens a new connection for each call. A resumed stream uses it, so
	// that it does not reuse the dead connection on which the stream was
	// interrupted.
	fresh *http.Client
}

var _ engine.Engine = (*Client)(nil)

// New returns a client of the engine at address, a host:port.
func New(address string, settings Settings) *Client {
	dialer := &net.Dialer{
		Timeout: settings.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     settings.KeepAlive,
			Interval: settings.KeepAlive,
			Count:    3,
		},
	}
	pooled := httpclient.Over(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     settings.IdleTimeout,

		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	})
	unpooled := httpclient.Over(&http.Transport{
		DialContext:       dialer.DialContext,
		DisableKeepAlives: true,

		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	})
	return &Client{
		base:        "http://" + address,
		callTimeout: settings.CallTimeout,
		http:        httpclient.NewClient(pooled),
		fresh:       httpclient.NewClient(unpooled),
	}
}

// State implements engine.Engine.
func (c *Client) State(ctx context.Context) (engine.State, error) {
	var state engine.State
	err := c.call(ctx, http.MethodGet, "/v1/state", nil, &state)
	return state, err
}

// Watch implements engine.Engine.
func (c *Client) Watch(ctx context.Context, after int64) (engine.State, error) {
	var state engine.State
	path := "/v1/state?after=" + strconv.FormatInt(after, 10)
	err := c.do(ctx, c.http, http.MethodGet, path, nil, &state)
	return state, err
}

// Order implements engine.Engine. It opens a new connection, because a call on
// a pooled connection whose state a middlebox has dropped would hang.
func (c *Client) Order(ctx context.Context, order engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.do(ctx, c.fresh, http.MethodPost, "/v1/orders", order, nil)
}

// Run implements engine.Engine.
func (c *Client) Run(ctx context.Context, req engine.Request) (engine.Stream, error) {
	client := c.http
	if req.IdempotencyKey != "" {
		// A request that must not be repeated opens a new connection, because a
		// pooled one may be dead.
		client = c.fresh
	}
	return c.stream(ctx, client, http.MethodPost, "/v1/run", req, req.ID)
}

// Resume implements engine.Engine.
func (c *Client) Resume(ctx context.Context, requestID string, offset int) (engine.Stream, error) {
	path := "/v1/runs/" + url.PathEscape(requestID) + "/stream?offset=" + strconv.Itoa(offset)
	return c.stream(ctx, c.fresh, http.MethodGet, path, nil, requestID)
}

// Cancel implements engine.Engine.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.call(ctx, http.MethodPost, "/v1/runs/"+url.PathEscape(requestID)+"/cancel", nil, nil)
}

// RunStatus implements engine.Engine.
func (c *Client) RunStatus(ctx context.Context, requestID string) (engine.RunStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	var status engine.RunStatus
	err := c.do(ctx, c.fresh, http.MethodGet, "/v1/runs/"+url.PathEscape(requestID), nil, &status)
	return status, err
}

// KVReply carries a session's KV cache.
type KVReply struct {
	Data []byte `json:"data"`
}

// ExportKV implements engine.Engine.
func (c *Client) ExportKV(ctx context.Context, session string) ([]byte, error) {
	var reply KVReply
	err := c.call(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(session), nil, &reply)
	return reply.Data, err
}

// ImportKV implements engine.Engine.
func (c *Client) ImportKV(ctx context.Context, session string, data []byte) error {
	return c.call(ctx, http.MethodPut, "/v1/kv/"+url.PathEscape(session), KVReply{Data: data}, nil)
}

// CacheEvents implements engine.Engine.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]engine.CacheEvent, error) {
	var events []engine.CacheEvent
	err := c.call(ctx, http.MethodGet, "/v1/cache-events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// call makes a call on the pooled client, bounded by the call timeout.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.do(ctx, c.http, method, path, body, into)
}

func (c *Client) do(ctx context.Context, client *http.Client, method, path string, body, into any) error {
	resp, err := c.send(ctx, client, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if into == nil {
		return nil
	}
	if err := decode(resp, into); err != nil {
		return fmt.Errorf("%w: decode %s: %v", engine.ErrUnknown, path, err)
	}
	return nil
}

func (c *Client) stream(ctx context.Context, client *http.Client, method, path string, body any, id string) (engine.Stream, error) {
	resp, err := c.send(ctx, client, method, path, body)
	if err != nil {
		return nil, err
	}
	return newStream(resp.Body, id), nil
}

// send makes a call and converts an error response into an error.
func (c *Client) send(ctx context.Context, client *http.Client, method, path string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("%w: encode %s: %v", engine.ErrBadRequest, path, err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", engine.ErrBadRequest, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, replyError(resp)
}

// maxResponseBytes bounds a response that is not a stream, in bytes.
const maxResponseBytes = 16 << 20

func decode(resp *http.Response, into any) error {
	return json.NewDecoder(httpclient.NewBoundedReader(resp.Body, maxResponseBytes)).Decode(into)
}

func replyError(resp *http.Response) error {
	var reply ErrorReply
	if err := decode(resp, &reply); err != nil {
		return fmt.Errorf("%w: status %d", engine.ErrUnknown, resp.StatusCode)
	}
	known, ok := errorsByCode[reply.Code]
	if !ok {
		return fmt.Errorf("%w: status %d: %s", engine.ErrUnknown, resp.StatusCode, reply.Message)
	}
	return fmt.Errorf("%w: %s", known, reply.Message)
}

// transportError converts an error of net/http into one of package engine.
func transportError(err error) error {
	if httpclient.NotSent(err) {
		return fmt.Errorf("%w: %v", engine.ErrNotSent, err)
	}
	return fmt.Errorf("%w: %v", engine.ErrUnknown, err)
}
