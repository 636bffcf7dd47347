package fleet

import (
	"context"
	"errors"
	"time"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/retrybudget"
)

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
			// No other node reports to a former owner, so its list of nodes would be of no use.
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

// storeResponse stores what an owner has answered to a report.
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
