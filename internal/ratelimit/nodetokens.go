package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// Source says what an admission was decided by.
type Source string

// Sources. The values appear in logs and metrics.
const (
	// SourceOwner is what the owner of the limits granted.
	SourceOwner Source = "owner"
	// SourcePart is the node's own part of the limit, used while the owner is out of reach.
	SourcePart Source = "own_part"
)

// Verdict is the result of a request for tokens.
type Verdict int

// Verdicts.
const (
	// Pending means that the owner has to be asked.
	Pending Verdict = iota
	Admitted
	// OverLimit means that the limit is used up.
	OverLimit
	// NoOwner means that the owner is out of reach, and the node's part is used up.
	NoOwner
)

// Admission is the answer to a request of a team that uses tokens of its limit.
type Admission struct {
	Verdict Verdict
	Source  Source
	Team    string
	Cost    float64
	// Left is what the node had left, without the cost of an admitted request.
	Left float64
	// RetryAfter is when a refused request should come back.
	RetryAfter time.Duration
	// grantedAt is when the tokens of an admitted request were granted, expiresAt when they
	// expire.
	grantedAt, expiresAt time.Duration
	// extra is what was taken in addition to the node's part.
	extra float64
}

// Timing of the use of granted tokens.
const (
	// refusalMemory is the longest time for which a refusal by the owner holds without asking
	// again.
	refusalMemory = 50 * time.Millisecond
	// useTime is the time constant of the average of recent use.
	useTime = time.Second
	// aheadTime is the time for whose expected use a node asks: the time until its next report
	// and its answer.
	aheadTime = 350 * time.Millisecond
	// lateAnswer is the time from an ask from which its tokens count as granted when it was
	// sent, not when the answer came.
	lateAnswer = 50 * time.Millisecond
	// partBurstTime is the time in which a node's part accumulates that is not used.
	partBurstTime = 500 * time.Millisecond
	// noOwnerRetry is when a request should come back that was refused since the owner is out
	// of reach.
	noOwnerRetry = time.Second
	// maxLots bounds the grants, and the returns, that are kept apart for a team.
	maxLots = 16
)

// NodeTokens holds the tokens that the owner granted to a node. All times are on one clock that
// never goes back and that counts suspension. It is not safe for concurrent use.
type NodeTokens struct {
	bounds Bounds
	teams  map[string]*teamTokens
	// answeredAt is when the last ask that was answered was sent, or when the node started.
	answeredAt time.Duration
	// ungrantedAt is when the last ask was sent that an owner took without granting, as one of
	// an older version does, 0 if there was none.
	ungrantedAt time.Duration
	// pooledAt is when the last ask that a pool answered was sent, 0 if there was none.
	pooledAt time.Duration
	// nodes is the number of nodes that share the limits, 0 if it is not known. told reports
	// that an owner said it.
	nodes   int
	told    bool
	sweptAt time.Duration
}

// NewNodeTokens returns the tokens of a node that starts now: none.
func NewNodeTokens(bounds Bounds, now time.Duration) *NodeTokens {
	return &NodeTokens{bounds: bounds, teams: map[string]*teamTokens{}, answeredAt: now}
}

// team returns the tokens for a team, without expired ones.
func (n *NodeTokens) team(name string, now time.Duration) *teamTokens {
	t, ok := n.teams[name]
	if !ok {
		n.dropIdle(now)
		t = &teamTokens{usedAt: now, extraAt: now}
		n.teams[name] = t
	}
	t.expire(now)
	return t
}

// dropIdle drops the teams that have not used anything for idleRetention.
func (n *NodeTokens) dropIdle(now time.Duration) {
	if now-n.sweptAt < idleRetention {
		return
	}
	n.sweptAt = now
	maps.DeleteFunc(n.teams, func(_ string, t *teamTokens) bool {
		return len(t.waiting) == 0 && now-max(t.usedAt, t.extraAt, t.partAt) > idleRetention
	})
}

// Take uses tokens for a request. A positive cost is required. The verdict is Pending if the
// owner must be asked, and never NoOwner.
func (n *NodeTokens) Take(team string, limit Limit, cost float64, now time.Duration) Admission {
	t := n.team(team, now)
	admission := Admission{Team: team, Cost: cost, Source: SourceOwner, Left: t.left()}
	switch {
	case admission.Left >= cost*fullShare && len(t.lots) > 0:
		admission.Verdict = Admitted
		admission.grantedAt, admission.expiresAt = t.spend(cost)
		admission.Left -= cost
		t.used(cost, now)
	case now < t.refusedUntil:
		admission.Verdict = OverLimit
		admission.RetryAfter = n.retryAfter(t, limit, cost, now)
	}
	return admission
}

// retryAfter returns when a refused request should come back: when the owner expects to have
// tokens, and one interval after the refused request before it. The interval is that of the node's
// part of the limit, or of what it used recently if that is more.
func (n *NodeTokens) retryAfter(t *teamTokens, limit Limit, cost float64, now time.Duration) time.Duration {
	interval := maxReturnDelay
	if part := max(limit.PerSecond/float64(max(1, n.nodes)), t.decayedUse(now)); cost < part*maxReturnDelay.Seconds() {
		interval = seconds(cost / part)
	}
	return t.spread.delay(max(minWait, t.availableAt-now), interval, now)
}

// Wait records that a request waits for the owner's answer. Each call is followed by one of
// EndWait.
func (n *NodeTokens) Wait(team string, cost float64, now time.Duration) {
	t := n.team(team, now)
	t.waiting = append(t.waiting, cost)
}

// EndWait records that a request no longer waits.
func (n *NodeTokens) EndWait(team string, cost float64, now time.Duration) {
	t := n.team(team, now)
	if i := slices.Index(t.waiting, cost); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

// Ask returns what the node asks of the owner, and removes what it returns with it. needs says
// whether it asks for the requests that wait, or only for what it expects: only one of the asks
// that are sent at the same time asks for those.
func (n *NodeTokens) Ask(node string, needs bool, now time.Duration) NodeAsk {
	ask := NodeAsk{Node: node, AnsweredMS: n.answeredAge(now).Milliseconds()}
	for name, t := range n.teams {
		t.expire(now)
		team := TeamAsk{Team: name}
		left := t.left()
		if needs {
			team.Need, team.Least = t.needs(left)
		}
		team.Ahead = t.expected(left, now)
		for _, l := range t.returns {
			team.Returns = append(team.Returns, TokenReturn{Tokens: l.tokens, AgeMS: (now - l.grantedAt).Milliseconds()})
		}
		t.returns = nil
		if team.Need > 0 || team.Ahead > 0 || len(team.Returns) > 0 {
			ask.Teams = append(ask.Teams, team)
		}
	}
	return ask
}

// Answered adds what the owner granted to an ask that was sent at a time.
func (n *NodeTokens) Answered(answer NodeAnswer, sentAt, now time.Duration) {
	if sentAt > n.answeredAt {
		n.answeredAt = sentAt
	}
	n.nodes, n.told = max(1, answer.Nodes), true
	n.addGranted(answer, sentAt, now)
}

// addGranted adds what was granted to an ask that was sent at a time.
func (n *NodeTokens) addGranted(answer NodeAnswer, sentAt, now time.Duration) {
	for _, team := range answer.Teams {
		t := n.team(team.Team, now)
		grantedAt := now
		if now-sentAt > lateAnswer {
			grantedAt = sentAt
		}
		if granted := positive(team.Granted); granted > 0 {
			t.addLot(lot{tokens: granted, grantedAt: grantedAt, expiresAt: sentAt + n.bounds.TokenLifetime()})
			t.expire(now)
		}
		if team.Unknown {
			t.unknown(now)
		}
		if team.InMS > 0 {
			in := time.Duration(team.InMS) * time.Millisecond
			t.availableAt = now + in
			t.refusedUntil = now + min(in, refusalMemory)
		}
	}
}

// Ungranted records that an owner took an ask, sent at a time, that it can't grant from. It grants
// to no node, so the nodes go on using their parts.
func (n *NodeTokens) Ungranted(sentAt time.Duration) {
	n.ungrantedAt = max(n.ungrantedAt, sentAt)
}

// Return gives back the tokens of a request that did not run. They can be used again until they
// expire.
func (n *NodeTokens) Return(admission Admission, now time.Duration) {
	if admission.Verdict != Admitted || admission.Cost <= 0 {
		return
	}
	t := n.team(admission.Team, now)
	if admission.Source == SourcePart {
		t.extraUsed = max(0, t.extraUsed-admission.extra)
		t.part.level += admission.Cost - admission.extra
		return
	}
	t.use = max(0, t.decayedUse(now)-admission.Cost/useTime.Seconds())
	t.usedAt = now
	switch {
	case now < admission.expiresAt:
		t.addLot(lot{tokens: admission.Cost, grantedAt: admission.grantedAt, expiresAt: admission.expiresAt})
	default:
		t.addReturn(admission.Cost, admission.grantedAt)
	}
}
