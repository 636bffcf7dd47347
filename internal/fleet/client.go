package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/retrybudget"
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
	askable peers
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

// Run reports the demand at this node to the owner until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.report(ctx)
		c.logReportState(err)
		if err != nil {
			c.Suspects.exchange(ctx, c.Others(), time.Now())
			c.TeamLimits.joinPool(ctx)
		}
		if !pause.For(ctx, minReportInterval) || !pause.Either(ctx, c.Meter.Urgent(), c.Suspects.Known.OwnChanged(), reportInterval-minReportInterval) {
			break
		}
	}
	return ctx.Err()
}

// logReportState logs when reports start to fail and when they succeed again.
func (c *Client) logReportState(err error) {
	failing := err != nil
	if failing == c.failing {
		return
	}
	c.failing = failing
	if failing {
		c.Log.Info("demand report failed", "owner", c.Holder.Holder(), "error", err)
		return
	}
	c.Log.Info("demand reports succeed again", "owner", c.Holder.Holder())
}

var errNoOwner = errors.New("fleet: no node owns the engines")

// report sends the demand at this node to the owner and stores the response.
func (c *Client) report(ctx context.Context) error {
	now := time.Now()
	holder := c.Holder.Holder()
	if c.reportedTo != holder {
		c.reported, c.reportedTo = nil, holder
	}
	c.reportNumber++
	report, reported := c.Meter.Report(now).Since(c.reported, c.reportNumber, now)
	report.PeersVersion = c.knownPeersVersion()
	report.Drains = c.Owner.Inventory.Current().UnlistedDrains(now)
	report.ConfigVersion = c.ConfigVersion()
	c.reported = nil
	report.Uses = c.Shares.Report(now)
	sent := c.addOwn(&report, holder, now)
	limitsAskedAt := c.TeamLimits.addToReport(&report)
	c.RetryParts.addToReport(&report, holder)
	var response DemandResponse
	sentAt := monotime.Now()
	switch holder {
	case "":
		return errNoOwner
	case c.Self:
		if _, owns := c.Owner.Lease.Grant(); !owns {
			// Nobody else reports to a former owner, so its list of nodes would be of no use.
			return errNoOwner
		}
		if c.sent.to != c.Self {
			go c.Suspects.ask(ctx, c.Others())
		}
		limits := c.TeamLimits.answerReport(&report)
		response = acceptReport(c.Owner, c.Aggregator, knowledge{c.Limits, c.RejectionLimits, c.Suspects.Known, c.RetryParts}, report)
		response.TeamLimits = limits
	default:
		if err := c.call(ctx, holder, demandPath, report, &response); err != nil {
			c.sent = sentVersions{}
			return err
		}
	}
	c.sent = sent
	switch {
	case response.ReportNumber == reported.Number():
		c.reported = reported
	case report.Base != 0:
		// The owner has started again and needs a whole report.
		c.Meter.RequestReport()
	}
	c.limitsReceived, c.rejectionLimitsReceived = response.LimitsVersion, response.RejectionLimitsVersion
	c.storeResponse(holder, response)
	c.TeamLimits.reportAnswered(response.TeamLimits, limitsAskedAt)
	c.confirmConfig(response.Config, sentAt)
	c.RetryParts.reportAnswered(retrybudget.Report{Owner: holder, Ask: report.Retries, Answer: response.Retries, SentAt: sentAt})
	if c.OnLeads != nil {
		c.OnLeads(response.Leads, now)
	}
	return nil
}

// sentVersions are the versions of a node's own rate limits and suspects that an owner has
// received. They are zero after a failed report: the owner may have started again.
type sentVersions struct {
	to              string
	limits          int64
	rejectionLimits int64
	suspects        int64
}

// addOwn adds to a report the node's own rate limits and suspects that the holder has not
// received, and returns what it will have received with it.
func (c *Client) addOwn(report *demand.Report, holder string, now time.Time) sentVersions {
	report.LimitsVersion, report.RejectionLimitsVersion = c.limitsReceived, c.rejectionLimitsReceived
	report.SuspectsVersion = c.Suspects.Received()
	before := c.sent
	if before.to != holder {
		before = sentVersions{}
	}
	sent := sentVersions{to: holder}
	report.Limits, sent.limits = c.Limits.OwnSince(before.limits, now)
	report.RejectionLimits, sent.rejectionLimits = c.RejectionLimits.OwnSince(before.rejectionLimits, now)
	report.Suspects, sent.suspects = c.Suspects.Known.OwnSince(before.suspects, now)
	return sent
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

func (c *Client) storeResponse(from string, response DemandResponse) {
	now := time.Now()
	c.Limits.Merge(response.Limits, now)
	c.RejectionLimits.Merge(response.RejectionLimits, now)
	c.Suspects.Receive(response.Suspects, response.SuspectsVersion)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponseAt, c.lastOwner = now, from
	if len(response.Peers) > 0 || response.PeersVersion == 0 {
		c.peers = response.Peers
	}
	c.askable.add(c.peers, now)
	c.peersVersion = response.PeersVersion
	c.expected = make(map[demand.ModelKey]map[string]time.Time, len(response.Expected))
	for _, e := range response.Expected {
		key := demand.ModelKey{Service: e.Service, Model: e.Model}
		if c.expected[key] == nil {
			c.expected[key] = map[string]time.Time{}
		}
		c.expected[key][e.Version] = now.Add(time.Duration(e.InMS) * time.Millisecond)
	}
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

// call is post with a timeout of callTimeout.
func (c *Client) call(ctx context.Context, to, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return post(ctx, c.HTTP, to, path, body, response)
}

// post sends body as JSON to a node and decodes the JSON response into
// response.
func post(ctx context.Context, client *http.Client, to, path string, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("fleet: encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("fleet: request: %w", err)
	}
	// Nodes do not read it, and it is a fifth of the bytes of a small call.
	req.Header.Set("User-Agent", "")
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkStatus(resp, to); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(response); err != nil {
		return fmt.Errorf("fleet: decode: %w", err)
	}
	return nil
}
