package fleet

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/rendezvous"
)

// teamPoolPath is the path of the call by which a node that doesn't reach the owner asks another
// one, to which it gives its part of the limits.
const teamPoolPath = "/v1/quota-pool"

// poolRetryInterval is the time after a failed call in which a node is not used as the pool.
const poolRetryInterval = 2 * time.Second

// errNoPool means that no node is known that may keep the pool.
var errNoPool = errors.New("fleet: no node keeps the pool of the limits")

// poolNode returns the node that keeps the pool, "" if there is none. All nodes choose the same
// one of those that they reach.
func (l *TeamLimits) poolNode(now time.Duration) string {
	if l.Others == nil {
		return ""
	}
	nodes := append(l.Others(), l.Self)
	nodes = slices.DeleteFunc(nodes, func(node string) bool {
		failedAt, failed := l.poolFailures[node]
		return failed && now-failedAt < poolRetryInterval
	})
	return rendezvous.First("team limits", nodes)
}

// joinPool gives the node's part to the pool if the owner is out of reach. It is called with each
// report, since the part counts there for less than a second.
func (l *TeamLimits) joinPool(ctx context.Context) {
	if l == nil || !l.limited() || !l.mayPool() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, teamLimitsTimeout)
	defer cancel()
	if err := l.askPool(ctx, false); err != nil {
		l.Log.Debug("limits of teams: no pool", "error", err)
	}
}

// askPool gives the node's part to the pool, and asks for what the waiting requests need if needs
// is set.
func (l *TeamLimits) askPool(ctx context.Context, needs bool) error {
	l.mu.Lock()
	sentAt := l.Clock()
	node := l.poolNode(sentAt)
	ask := l.own(sentAt).PoolAsk(l.Self, needs, sentAt)
	l.mu.Unlock()
	var answer ratelimit.NodeAnswer
	var err error
	switch node {
	case "":
		err = errNoPool
	case l.Self:
		answer, err = l.grantFromPool(ask)
	default:
		err = post(ctx, l.HTTP, node, teamPoolPath, ask, &answer)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	if err != nil {
		l.poolFailures[node] = now
		return err
	}
	l.own(now).Pooled(answer, sentAt, now)
	return nil
}

// mayPool reports whether the node asks a pool in place of the owner.
func (l *TeamLimits) mayPool() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	return l.own(now).MayPool(now)
}

// grantFromPool answers an ask of a node that gives its part to this one.
func (l *TeamLimits) grantFromPool(ask ratelimit.NodeAsk) (ratelimit.NodeAnswer, error) {
	limits, err := l.limits()
	if err != nil {
		return ratelimit.NodeAnswer{}, err
	}
	l.mu.Lock()
	now := l.Clock()
	count := l.own(now).Nodes()
	l.mu.Unlock()
	if count == 0 {
		return ratelimit.NodeAnswer{}, errNoPool
	}
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	if l.pool == nil || l.pool.Idle(now) {
		l.pool = ratelimit.NewPool(l.Bounds, count, now)
	}
	return l.pool.Grant(ask, limits, now), nil
}

// servePoolAsk answers another node's ask as the pool.
func (l *TeamLimits) servePoolAsk(w http.ResponseWriter, req *http.Request) {
	l.serve(w, req, l.grantFromPool)
}
