package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/team"
)

// teamLimitsPath is the path of the call by which a node asks the owner for tokens of the limits
// of teams.
const teamLimitsPath = "/v1/quota"

// Timing of asks.
const (
	// teamLimitsTimeout bounds a call, and the time that a request waits for the answer.
	teamLimitsTimeout = 300 * time.Millisecond
	// teamLimitsRetryInterval is the time between two asks for requests that wait while the
	// owner does not answer.
	teamLimitsRetryInterval = 20 * time.Millisecond
)

// TeamLimits keeps the limits of teams together with the other nodes: it uses what the owner of
// the engines grants, and grants it at the owner. Its methods are safe for concurrent use, and
// those for demand reports also on nil. The exported fields must be set before the first call.
type TeamLimits struct {
	Self    string
	Holder  Holder
	Lease   owner.Lease
	Catalog func() *catalog.Catalog
	// Bounds are those of the settings.
	Bounds ratelimit.Bounds
	// LastNodes returns the addresses of the nodes that the last owner knew, LastNodeCount their
	// number, also of those whose addresses are not known.
	LastNodes     func() []string
	LastNodeCount func() int
	// Others returns the addresses of the other nodes that this one knows. Without it, the node
	// keeps its part of the limits to itself.
	Others func() []string
	// Clock counts suspension: what was granted before a suspension has expired after it.
	Clock monotime.Clock
	HTTP  *http.Client
	Log   *slog.Logger

	mu sync.Mutex
	// granted is nil until the first use.
	granted *ratelimit.NodeTokens
	// refusals are the log lines on refusals by team.
	refusals map[string]refusalLog
	// asking is closed when the ask in progress has ended, nil if there is none.
	asking chan struct{}
	// poolFailures are the times of failed calls to nodes as the pool.
	poolFailures map[string]time.Duration

	allocatorMu sync.Mutex
	// allocator grants in the tenure with the fencing token fence.
	allocator *ratelimit.Allocator
	fence     int64
	// pool grants the parts of nodes that don't reach the owner and ask this one.
	pool *ratelimit.Allocator
}

// limitOf returns the limit of a team.
func limitOf(t *team.Team) ratelimit.Limit {
	return ratelimit.Limit{PerSecond: t.PerSecond, Burst: t.Burst}
}

// own returns the tokens that the node was granted. The caller holds mu.
func (l *TeamLimits) own(now time.Duration) *ratelimit.NodeTokens {
	if l.granted == nil {
		l.poolFailures = map[string]time.Duration{}
		l.granted = ratelimit.NewNodeTokens(l.Bounds, now)
	}
	return l.granted
}

// Admit implements relay.TeamLimits. A request for which the node has too few tokens waits for
// the owner's answer, at most teamLimitsTimeout.
func (l *TeamLimits) Admit(ctx context.Context, caller *team.Team, cost float64) ratelimit.Admission {
	admission := l.take(caller, cost, false)
	if admission.Verdict == ratelimit.Pending {
		admission = l.await(ctx, caller, cost)
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		l.record(admission)
	}
	return admission
}

// take decides on a request by what the node knows. last says that the request waits no longer.
func (l *TeamLimits) take(caller *team.Team, cost float64, last bool) ratelimit.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	granted := l.own(now)
	admission := granted.Take(caller.Name, limitOf(caller), cost, now)
	if admission.Verdict != ratelimit.Pending {
		return admission
	}
	if !granted.Told() {
		granted.SetNodes(l.listedNodes())
	}
	if last || granted.UsesPart(caller.Name, now) && (!granted.MayPool(now) || l.poolNode(now) == "") {
		return granted.TakePart(caller.Name, limitOf(caller), cost, now)
	}
	return admission
}

// listedNodes returns the number of nodes that the last owner knew, or 0 if this one was not
// among them.
func (l *TeamLimits) listedNodes() int {
	if !slices.Contains(l.LastNodes(), l.Self) {
		return 0
	}
	return l.LastNodeCount()
}

// await has the owner asked until the request is decided on or has waited for teamLimitsTimeout.
func (l *TeamLimits) await(ctx context.Context, caller *team.Team, cost float64) ratelimit.Admission {
	ctx, cancel := context.WithTimeout(ctx, teamLimitsTimeout)
	defer cancel()
	l.mu.Lock()
	l.own(l.Clock()).Wait(caller.Name, cost, l.Clock())
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.own(l.Clock()).EndWait(caller.Name, cost, l.Clock())
	}()
	for {
		select {
		case <-l.startAsk():
		case <-ctx.Done():
		}
		admission := l.take(caller, cost, ctx.Err() != nil)
		if admission.Verdict != ratelimit.Pending {
			return admission
		}
	}
}

// startAsk starts an ask unless there is one in progress, and returns a channel that is closed
// when it has ended.
func (l *TeamLimits) startAsk() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asking == nil {
		l.asking = make(chan struct{})
		go l.ask(l.asking)
	}
	return l.asking
}

// ask asks the owner for what the waiting requests need. The call does not end with any of them.
func (l *TeamLimits) ask(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), teamLimitsTimeout)
	defer cancel()
	ask := l.askOwner
	if l.mayPool() {
		ask = func(ctx context.Context) error { return l.askPool(ctx, true) }
	}
	if err := ask(ctx); err != nil {
		l.Log.Debug("limits of teams: no answer", "owner", l.Holder.Holder(), "error", err)
		pause.For(ctx, teamLimitsRetryInterval)
	}
	l.mu.Lock()
	l.asking = nil
	l.mu.Unlock()
	close(done)
}

func (l *TeamLimits) askOwner(ctx context.Context) error {
	l.mu.Lock()
	sentAt := l.Clock()
	ask := l.own(sentAt).Ask(l.Self, true, sentAt)
	l.mu.Unlock()
	holder := l.Holder.Holder()
	var answer ratelimit.NodeAnswer
	var err error
	switch holder {
	case "":
		err = errNoOwner
	case l.Self:
		answer, err = l.grant(ask)
	default:
		err = post(ctx, l.HTTP, holder, teamLimitsPath, ask, &answer)
	}
	if err != nil {
		return err
	}
	l.answered(answer, sentAt)
	return nil
}

func (l *TeamLimits) answered(answer ratelimit.NodeAnswer, sentAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	l.own(now).Answered(answer, sentAt, now)
}

// Return implements relay.TeamLimits.
func (l *TeamLimits) Return(admission ratelimit.Admission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	l.own(now).Return(admission, now)
	teamLimitReturns.Inc()
}

// errNoLimits means that the owner has no configuration.
var errNoLimits = errors.New("fleet: no configuration")

// grant answers an ask at the owner. The lease is checked for each: an owner that was paused, or
// has lost the lease, grants nothing.
func (l *TeamLimits) grant(ask ratelimit.NodeAsk) (ratelimit.NodeAnswer, error) {
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	limits, err := l.limits()
	if err != nil {
		return ratelimit.NodeAnswer{}, err
	}
	lease, ok := l.Lease.Grant()
	if !ok {
		return ratelimit.NodeAnswer{}, owner.ErrNotOwner
	}
	now := l.Clock()
	if l.allocator == nil || l.fence != lease.Fence {
		l.mu.Lock()
		count := max(l.own(now).Nodes(), l.LastNodeCount())
		l.mu.Unlock()
		l.allocator, l.fence = ratelimit.NewAllocator(l.Bounds, l.LastNodes(), count, now), lease.Fence
	}
	return l.allocator.Grant(ask, limits, now), nil
}

// limits returns a function that finds the limit of a team in the configuration in force.
func (l *TeamLimits) limits() (func(team string) (ratelimit.Limit, bool), error) {
	c := l.Catalog()
	if c == nil {
		return nil, errNoLimits
	}
	return func(name string) (ratelimit.Limit, bool) {
		t := c.Teams.Team(name)
		if t == nil {
			return ratelimit.Limit{}, false
		}
		return limitOf(t), true
	}, nil
}

// serveAsk answers another node's ask as the owner.
func (l *TeamLimits) serveAsk(w http.ResponseWriter, req *http.Request) {
	l.serve(w, req, l.grant)
}

// serve decodes an ask, and responds with what grant returns.
func (l *TeamLimits) serve(w http.ResponseWriter, req *http.Request, grant func(ratelimit.NodeAsk) (ratelimit.NodeAnswer, error)) {
	var ask ratelimit.NodeAsk
	if !decodeBody(w, req, &ask) {
		return
	}
	answer, err := grant(ask)
	if err != nil {
		http.Error(w, fmt.Sprint(err), http.StatusConflict)
		return
	}
	writeJSON(w, req, answer, l.Log)
}

// addToReport adds to a demand report what the node asks for, and returns the time of it.
func (l *TeamLimits) addToReport(report *demand.Report) time.Duration {
	if l == nil || !l.limited() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	ask := l.own(now).Ask(l.Self, false, now)
	report.TeamLimits = &ask
	return now
}

// limited reports whether a team has a limit.
func (l *TeamLimits) limited() bool {
	c := l.Catalog()
	return c != nil && c.Teams.Limited()
}

// answerReport removes from a demand report what the node asks for, and returns the answer, nil
// if there is none.
func (l *TeamLimits) answerReport(report *demand.Report) *ratelimit.NodeAnswer {
	ask := report.TeamLimits
	report.TeamLimits = nil
	if l == nil || ask == nil {
		return nil
	}
	answer, err := l.grant(*ask)
	if err != nil {
		return nil
	}
	return &answer
}

// reportAnswered adds what the owner granted with the answer to a demand report. One of a version
// without limits of teams grants nothing.
func (l *TeamLimits) reportAnswered(answer *ratelimit.NodeAnswer, sentAt time.Duration) {
	switch {
	case l == nil || sentAt == 0:
	case answer != nil:
		l.answered(*answer, sentAt)
	default:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.own(l.Clock()).Ungranted(sentAt)
	}
}

// record counts an admission and logs a refusal.
func (l *TeamLimits) record(admission ratelimit.Admission) {
	countAdmission(admission)
	if admission.Verdict == ratelimit.Admitted {
		return
	}
	notLogged, logs := l.logsRefusal(admission.Team)
	if !logs {
		return
	}
	l.Log.Info("team refused", "team", admission.Team, "cost", admission.Cost, "left", admission.Left,
		"source", string(admission.Source), "over_limit", admission.Verdict == ratelimit.OverLimit,
		"retry_after_ms", admission.RetryAfter.Milliseconds(), "not_logged", notLogged)
}

// refusalLogInterval is the shortest time between two log lines on refusals of a team.
const refusalLogInterval = time.Second

// maxRefusalLogs bounds the teams whose last line is remembered, also of former configurations.
const maxRefusalLogs = 4096

// refusalLog is what was logged of the refusals of a team.
type refusalLog struct {
	at time.Duration
	// notLogged counts the refusals since without a line.
	notLogged int
}

// logsRefusal reports whether a refusal of a team is logged, and how many were not since the last
// one that was.
func (l *TeamLimits) logsRefusal(team string) (notLogged int, logs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	entry, found := l.refusals[team]
	if found && now-entry.at < refusalLogInterval {
		entry.notLogged++
		l.refusals[team] = entry
		return 0, false
	}
	if l.refusals == nil || len(l.refusals) >= maxRefusalLogs {
		l.refusals = map[string]refusalLog{}
	}
	l.refusals[team] = refusalLog{at: now}
	return entry.notLogged, true
}
