package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/progress"
)

// Holder identifies the node that owns the engines.
type Holder interface {
	// Holder returns the owner's peer address, or "" if no owner is known.
	Holder() string
}

// Client makes one node's calls to the owner of the engines. Its methods are
// safe for concurrent use.
type Client struct {
	Self       string
	Holder     Holder
	Meter      *demand.Meter
	Owner      *owner.Owner
	Aggregator *demand.Aggregator
	// Limits are the rate limits that this node knows.
	Limits *notice.Limits[inventory.Key]
	// RejectionLimits are the limits of rejections of services that this node knows.
	RejectionLimits *notice.Limits[string]
	// Suspects are the suspects that this node knows.
	Suspects *Suspects
	// TeamLimits are the limits of teams. It may be nil.
	TeamLimits *TeamLimits
	// LastNodes returns the addresses of the nodes that the last owner knew, for a node
	// that starts without one. It may be nil.
	LastNodes func() []string
	// ConfigVersion returns the version of the active configuration, 0 if none.
	ConfigVersion func() int64
	// OnConfigConfirmed is called with a version of the configuration that the owner confirms
	// as of a time on the clock of monotime. It may be nil.
	OnConfigConfirmed func(version int64, at time.Duration)
	// RetryParts is the node's part of the additional retries. It may be nil.
	RetryParts *RetryParts
	// Shares measures the work of this node's teams. It may be nil.
	Shares *fairshare.Meter
	// OnLeads is called with the teams that are ahead of their fair share, as the owner answered a
	// report that was sent at a time. It may be nil.
	OnLeads func(leads []fairshare.Lead, sent time.Time)
	HTTP    *http.Client
	Log     *slog.Logger

	mu    sync.Mutex
	peers []string
	// askable are the nodes that may be asked.
	askable peerRotation
	// peersVersion is the version of peers, 0 if the owner states none.
	peersVersion uint64
	// expected holds, by model and software version, when loads should complete.
	expected       map[demand.ModelKey]map[string]time.Time
	lastResponseAt time.Time
	// lastOwner is the owner that sent the response received at lastResponseAt.
	lastOwner string
	// sent is what the owner has received of this node, limitsReceived and
	// rejectionLimitsReceived are the versions of the owner's limits that this node has
	// received. Only Run uses them.
	sent sentVersions
	// reported is what the owner knows of this node's report, nil if that is unknown,
	// reportedTo is that owner. reportNumber is the number of the last report.
	reported                *demand.Sent
	reportedTo              string
	reportNumber            int64
	limitsReceived          int64
	rejectionLimitsReceived int64
	// failing is true if the last report failed; only Run uses it.
	failing bool
}

// Intervals and timeouts of calls to the owner.
const (
	// reportInterval is the longest time between two reports,
	// minReportInterval the shortest.
	reportInterval    = 250 * time.Millisecond
	minReportInterval = 8 * time.Millisecond
	callTimeout       = 500 * time.Millisecond
	// maxCallTime bounds a call whose response moves on.
	maxCallTime = 3 * time.Second
	// ownerTimeout is how long the owner counts as alive after a response.
	ownerTimeout = 900 * time.Millisecond
	// expectedTTL is how long the expected loads in a response are valid.
	expectedTTL = time.Second
)

// initialNodes is the assumed number of nodes until the owner reports it.
const initialNodes = 10

// Nodes returns the number of nodes that report to the owner.
func (c *Client) Nodes() int {
	if nodes, ok := c.KnownNodes(); ok {
		return nodes
	}
	return initialNodes
}

// KnownNodes returns the number of nodes that report to the owner, or false if the
// owner has not reported it yet.
func (c *Client) KnownNodes() (nodes int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers), len(c.peers) > 0
}

// Alive reports whether peer is the owner that last sent a response, and did so
// within ownerTimeout.
func (c *Client) Alive(peer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOwner == peer && time.Since(c.lastResponseAt) < ownerTimeout
}

// Expected implements relay.Loads. The result is valid for expectedTTL after
// the owner's last response.
func (c *Client) Expected(service, model string, required inventory.Requirement) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for version, loadedAt := range c.expected[demand.ModelKey{Service: service, Model: model}] {
		if !required.Allows(version) {
			continue
		}
		if !ok || loadedAt.Before(at) {
			at, ok = loadedAt, true
		}
	}
	return at, ok && time.Since(c.lastResponseAt) < expectedTTL
}

// knownPeersVersion returns the version of the list of nodes that this one has.
func (c *Client) knownPeersVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peersVersion
}

// Addresses returns the addresses of the nodes that report to the owner, as it last told.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.peers)
}

// Others returns the addresses of the other nodes that this one or the last owner knew.
func (c *Client) Others() []string {
	known := c.Addresses()
	if c.LastNodes != nil {
		known = append(known, c.LastNodes()...)
	}
	slices.Sort(known)
	known = slices.Compact(known)
	return slices.DeleteFunc(known, func(address string) bool { return address == c.Self })
}

// EnsureAdapter implements relay.Adapters.
func (c *Client) EnsureAdapter(ctx context.Context, need demand.AdapterNeed) (string, time.Time, error) {
	holder := c.Holder.Holder()
	if holder == "" {
		return "", time.Time{}, errNoOwner
	}
	if holder == c.Self {
		return c.Owner.EnsureAdapter(ctx, need)
	}
	var response AdapterResponse
	err := c.call(ctx, holder, adapterPath, need, &response)
	return response.Engine, time.Now().Add(time.Duration(response.ReadyMS) * time.Millisecond), err
}

// call is post with a timeout of callTimeout without progress.
func (c *Client) call(ctx context.Context, to, path string, body, response any) error {
	ctx, cancel := progress.WithTimeout(ctx, callTimeout, maxCallTime)
	defer cancel()
	return post(ctx, c.HTTP, to, path, body, response)
}

// post sends body as JSON to a node and decodes the JSON response into
// response.
func post(ctx context.Context, client *http.Client, to, path string, body, response any) error {
	return postWith(ctx, client, to, path, postOptions{header: http.Header{}, maxResponse: maxBody}, body, response)
}

// postOptions are the options of a call.
type postOptions struct {
	// header are fields of the request's header.
	header http.Header
	// maxResponse bounds the content of the response, in bytes.
	maxResponse int64
}

// postWith is post with options.
func postWith(ctx context.Context, client *http.Client, to, path string, options postOptions, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("fleet: encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("fleet: request: %w", err)
	}
	req.Header = options.header
	// Nodes do not read it, and it is a fifth of the bytes of a small call.
	req.Header.Set("User-Agent", "")
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	progress.Report(ctx)
	if err := checkStatus(resp, to); err != nil {
		return err
	}
	content, err := decompress(resp)
	if err != nil {
		return fmt.Errorf("fleet: decode: %w", err)
	}
	// A node that waits for the store itself sends single bytes meanwhile.
	content = progress.Reader(ctx, io.LimitReader(content, options.maxResponse), 1)
	if err := json.NewDecoder(content).Decode(response); err != nil {
		return fmt.Errorf("fleet: decode: %w", err)
	}
	return nil
}
