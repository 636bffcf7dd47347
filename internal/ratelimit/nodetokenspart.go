package ratelimit

import (
	"time"
)

// partEnds returns the time until which the node may use its part.
func (n *NodeTokens) partEnds() time.Duration {
	return max(n.answeredAt, n.ungrantedAt) + partEnd
}

// UsesPart reports whether the node uses its own part of a team's limit: no ask has been
// answered for some time, or the owner does not know the team.
func (n *NodeTokens) UsesPart(team string, now time.Duration) bool {
	return now-max(n.answeredAt, n.pooledAt) >= partDelay || now < n.team(team, now).unknownUntil
}

// SetNodes sets the number of nodes for a node that no owner has told it.
func (n *NodeTokens) SetNodes(nodes int) {
	if !n.told {
		n.nodes = nodes
	}
}

// Told reports whether an owner has told the number of nodes.
func (n *NodeTokens) Told() bool {
	return n.told
}

// Nodes returns the number of nodes that share the limits, 0 if it is not known.
func (n *NodeTokens) Nodes() int {
	return n.nodes
}

// TakePart uses the node's own part of a limit for a request. The verdict is Admitted or
// NoOwner, the latter also while the node does not use its part.
func (n *NodeTokens) TakePart(team string, limit Limit, cost float64, now time.Duration) Admission {
	t := n.team(team, now)
	admission := Admission{Team: team, Cost: cost, Source: SourcePart, Verdict: NoOwner, RetryAfter: noOwnerRetry}
	from, end := max(n.answeredAt, n.pooledAt)+partDelay, n.partEnds()
	if now < t.unknownUntil {
		from, end = t.unknownSince, t.unknownSince+partEnd
	}
	if n.nodes == 0 || now < from || now >= end {
		return admission
	}
	rate := limit.PerSecond / float64(n.nodes)
	t.refillPart(rate, from, now)
	extra := n.extra(t, limit, now)
	admission.Left = t.part.level + extra
	if admission.Left < cost {
		admission.RetryAfter = t.spread.delay(min(noOwnerRetry, max(minWait, seconds((cost-admission.Left)/rate))), min(maxReturnDelay, seconds(cost/rate)), now)
		return admission
	}
	admission.Verdict, admission.RetryAfter = Admitted, 0
	admission.Left -= cost
	fromPart := min(t.part.level, cost)
	t.part.level -= fromPart
	if fromPart < cost {
		admission.extra = cost - fromPart
		t.extraUsed += admission.extra
		t.extraAt = now
	}
	return admission
}

// extra returns what the node may use in addition to its part: its part of the slack, but no
// more than the limit allows over all nodes in a window. It is renewed once a window has passed
// and an ask was answered since. A node that no owner has answered since it started has none, so
// that a restart does not renew it.
func (n *NodeTokens) extra(t *teamTokens, limit Limit, now time.Duration) float64 {
	if !n.told {
		return 0
	}
	if now-t.extraAt >= n.bounds.Window && n.answeredAt > t.extraAt {
		t.extraUsed = 0
	}
	return max(0, min(partSlackShare*n.bounds.Slack/float64(n.nodes), n.bounds.windowUse(limit))-t.extraUsed)
}
