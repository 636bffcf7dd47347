package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/ratelimit"
)

// permitPath is the path of the call by which a node asks the owner for a permit.
const permitPath = "/v1/permit"

// Timing of permits.
const (
	// permitTimeout bounds a call for a permit.
	permitTimeout = 300 * time.Millisecond
	// permitBackoff is the time after a failed call in which the owner is not asked.
	permitBackoff = 500 * time.Millisecond
	// unknownNodesDelay is the time after which a node asks again that reaches no
	// owner and does not know how many nodes there are.
	unknownNodesDelay = time.Second
)

// permitRequest asks the owner for a permit to send a request to an endpoint.
type permitRequest struct {
	Endpoint  inventory.Key `json:"endpoint"`
	PerSecond float64       `json:"per_second"`
	Request   string        `json:"request"`
	Priority  int           `json:"priority"`
	// WaitedMS and MaxWaitMS are in milliseconds.
	WaitedMS  int64 `json:"waited_ms"`
	MaxWaitMS int64 `json:"max_wait_ms"`
}

// permitResponse is the owner's answer. InMS is the time until a permit is expected,
// in milliseconds.
type permitResponse struct {
	Granted bool  `json:"granted"`
	InMS    int64 `json:"in_ms,omitempty"`
}

// RateLimits keeps the rate limits of endpoints together with the other nodes: it
// asks the owner of the engines for permits, and grants them at the owner. Its
// methods are safe for concurrent use.
type RateLimits struct {
	Self   string
	Holder Holder
	Lease  owner.Lease
	// Known are the limits that this node knows.
	Known *notice.Limits[inventory.Key]
	// Nodes returns the number of nodes, or false if it is not known.
	Nodes func() (int, bool)
	HTTP  *http.Client
	Log   *slog.Logger

	limiter *ratelimit.Limiter[inventory.Key]
	pacer   *ratelimit.Pacer[inventory.Key]

	mu sync.Mutex
	// failedOwner is the owner that did not answer at failedAt.
	failedOwner string
	failedAt    time.Time
}

// NewRateLimits returns RateLimits that have granted nothing. The exported fields
// must be set before the first call.
func NewRateLimits() *RateLimits {
	return &RateLimits{
		Known:   notice.NewLimits[inventory.Key](),
		limiter: ratelimit.NewLimiter[inventory.Key](),
		pacer:   ratelimit.NewPacer[inventory.Key](),
	}
}

// Ask implements relay.Permits. Without an answer of the owner, the node uses its
// part of the share for such nodes.
func (r *RateLimits) Ask(ctx context.Context, endpoint inventory.Key, perSecond float64, ask ratelimit.Ask) ratelimit.Answer {
	answer, err := r.askOwner(ctx, endpoint, perSecond, ask)
	if err == nil {
		return answer
	}
	answer = r.alone(endpoint, perSecond)
	r.Log.Info("permit without an owner", "request_id", ask.Request, "endpoint", endpoint.ID, "per_second", perSecond,
		"granted", answer.Granted, "in_ms", answer.In.Milliseconds(), "error", err)
	return answer
}

// errOwnerBackoff means that the owner has just failed to answer.
var errOwnerBackoff = errors.New("fleet: the owner did not answer a moment ago")

// askOwner asks the owner for a permit.
func (r *RateLimits) askOwner(ctx context.Context, endpoint inventory.Key, perSecond float64, ask ratelimit.Ask) (ratelimit.Answer, error) {
	holder := r.Holder.Holder()
	switch {
	case holder == "":
		return ratelimit.Answer{}, errNoOwner
	case holder == r.Self:
		return r.grant(endpoint, perSecond, ask, time.Now())
	case r.failed(holder, time.Now()):
		return ratelimit.Answer{}, errOwnerBackoff
	}
	request := permitRequest{
		Endpoint:  endpoint,
		PerSecond: perSecond,
		Request:   ask.Request,
		Priority:  ask.Priority,
		WaitedMS:  ask.Waited.Milliseconds(),
		MaxWaitMS: ask.MaxWait.Milliseconds(),
	}
	var response permitResponse
	limited, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	if err := post(limited, r.HTTP, holder, permitPath, request, &response); err != nil {
		if ctx.Err() == nil {
			r.setFailed(holder, time.Now())
		}
		return ratelimit.Answer{}, err
	}
	return ratelimit.Answer{Granted: response.Granted, In: time.Duration(response.InMS) * time.Millisecond}, nil
}

// grant answers a request for a permit at the owner. An endpoint that names no limit
// any more gets all requests.
func (r *RateLimits) grant(endpoint inventory.Key, perSecond float64, ask ratelimit.Ask, now time.Time) (ratelimit.Answer, error) {
	if _, ok := r.Lease.Grant(); !ok {
		return ratelimit.Answer{}, owner.ErrNotOwner
	}
	known, state := r.Known.Get(endpoint)
	switch state {
	case notice.LimitNamed:
		perSecond = known
	case notice.LimitAbsent:
		return ratelimit.Answer{Granted: true}, nil
	}
	return r.limiter.Ask(endpoint, perSecond, ask, now), nil
}

// alone answers a request for a permit at a node that does not reach the owner.
func (r *RateLimits) alone(endpoint inventory.Key, perSecond float64) ratelimit.Answer {
	nodes, ok := r.Nodes()
	if !ok {
		return ratelimit.Answer{In: unknownNodesDelay}
	}
	return r.pacer.Ask(endpoint, perSecond, nodes, rand.Float64(), time.Now())
}

// failed reports whether an owner did not answer within the last permitBackoff.
func (r *RateLimits) failed(holder string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedOwner == holder && now.Sub(r.failedAt) < permitBackoff
}

func (r *RateLimits) setFailed(holder string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedOwner, r.failedAt = holder, now
}

// servePermit serves a call of another node for a permit.
func (r *RateLimits) servePermit(w http.ResponseWriter, req *http.Request) {
	var body permitRequest
	if !decodeBody(w, req, &body) {
		return
	}
	ask := ratelimit.Ask{
		Request:  body.Request,
		Priority: body.Priority,
		Waited:   time.Duration(body.WaitedMS) * time.Millisecond,
		MaxWait:  time.Duration(body.MaxWaitMS) * time.Millisecond,
	}
	answer, err := r.grant(body.Endpoint, body.PerSecond, ask, time.Now())
	if err != nil {
		http.Error(w, fmt.Sprint(err), http.StatusConflict)
		return
	}
	in := (answer.In + time.Millisecond - 1).Milliseconds()
	writeJSON(w, req, permitResponse{Granted: answer.Granted, InMS: in}, r.Log)
}
