// Package httpplatform implements package platform over HTTP.
package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/netcount"
	"chestnutgauge/internal/platform"
)

// callTimeout bounds each call to the platform.
const callTimeout = 2 * time.Second

// Client implements the interfaces of package platform over HTTP.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at address, a host:port pair.
func New(address string) *Client {
	transport := httpclient.Over(&http.Transport{
		DialContext:         netcount.Dial(&net.Dialer{Timeout: time.Second}, netcount.Platform),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	})
	client := httpclient.NewClient(transport)
	client.Timeout = callTimeout
	return &Client{base: "http://" + address, http: client}
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := c.read(ctx, "/table/row?key="+url.QueryEscape(key), &row)
	return row, err
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}
	var rows []platform.Row
	err := c.read(ctx, "/table/rows?"+query.Encode(), &rows)
	return rows, err
}

// CommitReply is the body of the response to a transaction.
type CommitReply struct {
	Version   int64    `json:"version,omitempty"`
	Conflicts []string `json:"conflicts,omitempty"`
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, fmt.Errorf("%w: encode transaction: %v", platform.ErrUnavailable, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/table/commit", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, writeError(err)
	}
	defer resp.Body.Close()
	return commitResult(resp)
}

// maxResponseBytes bounds a response, in bytes. The longest ones have all objects of a kind.
const maxResponseBytes = 16 << 20

func bounded(resp *http.Response) io.Reader {
	return httpclient.NewBoundedReader(resp.Body, maxResponseBytes)
}

// commitResult decodes the response to a transaction.
func commitResult(resp *http.Response) (int64, error) {
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return 0, writeStatusError(resp.StatusCode)
	}
	var reply CommitReply
	err := json.NewDecoder(bounded(resp)).Decode(&reply)
	switch {
	case err != nil && resp.StatusCode == http.StatusConflict:
		return 0, fmt.Errorf("%w: conflict: decode: %v", platform.ErrUnavailable, err)
	case err != nil:
		return 0, fmt.Errorf("%w: decode: %v", platform.ErrUnknown, err)
	case resp.StatusCode == http.StatusConflict:
		return 0, &platform.ConflictError{Keys: reply.Conflicts}
	}
	return reply.Version, nil
}

// Put implements platform.Objects.
func (c *Client) Put(ctx context.Context, key string, data []byte) error {
	return c.writeObject(ctx, http.MethodPut, key, data)
}

// Delete implements platform.Objects.
func (c *Client) Delete(ctx context.Context, key string) error {
	return c.writeObject(ctx, http.MethodDelete, key, nil)
}

func (c *Client) writeObject(ctx context.Context, method, key string, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/objects?key="+url.QueryEscape(key), bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return writeError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return writeStatusError(resp.StatusCode)
	}
	return nil
}

// Objects returns the object store of the platform.
func (c *Client) Objects() platform.Objects {
	return objects{c}
}

// objects implements platform.Objects. Client can't implement it itself, since
// its method Get reads a row of the table.
type objects struct {
	*Client
}

// Get implements platform.Objects.
func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	resp, err := o.get(ctx, "/objects?key="+url.QueryEscape(key))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(bounded(resp))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	return data, nil
}

// Limits implements platform.Weights.
func (c *Client) Limits(ctx context.Context) (platform.WeightLimits, error) {
	var limits platform.WeightLimits
	err := c.read(ctx, "/weights", &limits)
	return limits, err
}

// List implements platform.Membership.
func (c *Client) List(ctx context.Context) ([]platform.VM, error) {
	var vms []platform.VM
	err := c.read(ctx, "/membership", &vms)
	return vms, err
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	resp, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(bounded(resp)).Decode(into); err != nil {
		return fmt.Errorf("%w: decode %s: %v", platform.ErrUnavailable, path, err)
	}
	return nil
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, platform.ErrNotFound
	}
	return nil, fmt.Errorf("%w: status %d", platform.ErrUnavailable, resp.StatusCode)
}

// writeError maps the transport error of a write to an error of package
// platform: ErrUnavailable if nothing was sent,
// and ErrUnknown otherwise.
func writeError(err error) error {
	if httpclient.NotSent(err) {
		return fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", platform.ErrUnknown, err)
}

// writeStatusError maps the status of a write that failed to an error of package
// platform: ErrUnavailable if the platform rejected the call, and ErrUnknown for
// any other status, after which the write may have taken effect.
func writeStatusError(status int) error {
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	if clientError || status == http.StatusServiceUnavailable {
		return fmt.Errorf("%w: status %d", platform.ErrUnavailable, status)
	}
	return fmt.Errorf("%w: status %d", platform.ErrUnknown, status)
}
