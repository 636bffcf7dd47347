package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/relay"
	"chestnutgauge/internal/suspect"
)

// Paths of the calls about suspects.
const (
	suspectsPath = "/v1/suspects"
	trialPath    = "/v1/trial"
)

// Limits of the calls about suspects.
const (
	// trialTimeout bounds a call for a trial.
	trialTimeout = 300 * time.Millisecond
	// maxTrialTime bounds the time for which a trial is granted.
	maxTrialTime = time.Minute
	// sendConcurrency is the number of nodes that suspects are sent to at once.
	sendConcurrency = 16
	// askInterval is the time after which other nodes are asked for theirs again,
	// askedNodes the number of them that answer.
	askInterval = time.Second
	askedNodes  = 3
	// maxAskCalls is the number of calls in which one node is asked for all of them.
	maxAskCalls = 8
)

// suspectsRequest tells another node of suspects, or asks for those that it knows.
type suspectsRequest struct {
	Suspects []suspect.CrashMark `json:"suspects,omitempty"`
	Asks     bool                `json:"asks,omitempty"`
	// Version is the version of the other node's suspects that the node has received.
	Version int64 `json:"version,omitempty"`
}

// suspectsResponse has the suspects that a node that asks lacks, and the version that it
// then has.
type suspectsResponse struct {
	Suspects []suspect.CrashMark `json:"suspects,omitempty"`
	Version  int64               `json:"version"`
}

// trialRequest asks the owner to run a suspect alone on an endpoint, or ends that.
type trialRequest struct {
	// Name tells the trial from others of the same suspect. Nodes of earlier versions send none.
	Name     string           `json:"name,omitempty"`
	Endpoint inventory.Key    `json:"endpoint"`
	Digests  []suspect.Digest `json:"digests"`
	TTLMS    int64            `json:"ttl_ms,omitempty"`
	Ended    bool             `json:"ended,omitempty"`
}

// trialResponse is the owner's answer.
type trialResponse struct {
	Answer suspect.TrialAnswer `json:"answer"`
}

// Suspects keeps what all nodes know of requests that crash endpoints. The owner of
// the engines grants the trials of suspects. Its methods are safe for concurrent use.
type Suspects struct {
	Self   string
	Holder Holder
	Lease  owner.Lease
	// Known are the suspects that this node knows.
	Known *suspect.Registry
	HTTP  *http.Client
	Log   *slog.Logger

	trials suspect.Trials
	// received is the version of the owner's suspects that this node has received.
	received atomic.Int64
	// sent is the version of this node's own suspects that it has sent to other nodes
	// without an owner, askedAt when it last asked for theirs. Only exchange uses them.
	sent    int64
	askedAt time.Time
}

// NewSuspects returns Suspects without an entry. The exported fields must be set before
// the first call.
func NewSuspects() *Suspects {
	return &Suspects{Known: suspect.NewRegistry()}
}

// Receive implements SuspectReceiver.
func (s *Suspects) Receive(marks []suspect.CrashMark, version int64) {
	s.Known.Merge(marks, time.Now())
	s.received.Store(version)
}

// Received implements SuspectReceiver.
func (s *Suspects) Received() int64 {
	return s.received.Load()
}

// Begin implements relay.Trials.
func (s *Suspects) Begin(ctx context.Context, trial relay.Trial, ttl time.Duration) (suspect.TrialAnswer, error) {
	return s.askTrial(ctx, trialRequest{Name: trial.Name, Endpoint: trial.Endpoint, Digests: trial.Digests, TTLMS: ttl.Milliseconds()})
}

// End implements relay.Trials. If the owner can't be told, the trial ends with its time.
func (s *Suspects) End(trial relay.Trial) {
	_, err := s.askTrial(context.Background(), trialRequest{Name: trial.Name, Endpoint: trial.Endpoint, Digests: trial.Digests, Ended: true})
	if err != nil {
		s.Log.Info("end of a trial not told", "endpoint", trial.Endpoint.ID, "error", err)
	}
}

// askTrial asks the owner for a trial, or ends one.
func (s *Suspects) askTrial(ctx context.Context, request trialRequest) (suspect.TrialAnswer, error) {
	response, err := askOwner(ctx, ownerLink{s.Self, s.Holder, s.HTTP}, trialPath, trialTimeout, request, s.decide)
	return response.Answer, err
}

// decide decides on a trial at the owner.
func (s *Suspects) decide(_ context.Context, request trialRequest) (trialResponse, error) {
	if _, ok := s.Lease.Grant(); !ok {
		return trialResponse{}, owner.ErrNotOwner
	}
	trial := suspect.Trial{Name: request.Name, Endpoint: request.Endpoint.String(), Digests: request.Digests}
	if request.Ended {
		s.trials.End(trial)
		return trialResponse{}, nil
	}
	now := time.Now()
	ttl := min(time.Duration(max(0, request.TTLMS))*time.Millisecond, maxTrialTime)
	return trialResponse{Answer: s.trials.Begin(trial, now.Add(ttl), now)}, nil
}

// serveTrial serves another node's request for a trial.
func (s *Suspects) serveTrial(w http.ResponseWriter, r *http.Request) {
	serveDecision(w, r, s.Log, s.decide)
}

// serveSuspects serves the exchange of suspects with a node that reaches no owner.
func (s *Suspects) serveSuspects(w http.ResponseWriter, r *http.Request) {
	var request suspectsRequest
	if !decodeBody(w, r, &request) {
		return
	}
	now := time.Now()
	s.Known.Merge(request.Suspects, now)
	var response suspectsResponse
	if request.Asks {
		response.Suspects, response.Version = s.Known.AllSince(request.Version, now)
	}
	writeJSON(w, r, response, s.Log)
}

// exchange exchanges suspects with other nodes while the owner can't be reached: it tells
// all of them of this node's new ones, and asks some of them for theirs from time to time.
func (s *Suspects) exchange(ctx context.Context, nodes []string, now time.Time) {
	if len(nodes) == 0 {
		return
	}
	marks, version := s.Known.OwnSince(s.sent, now)
	if len(marks) > 0 {
		s.sent = version
		go s.send(ctx, nodes, marks)
	}
	if now.Sub(s.askedAt) >= askInterval {
		s.askedAt = now
		go s.ask(ctx, nodes)
	}
}

// send sends suspects to nodes.
func (s *Suspects) send(ctx context.Context, nodes []string, marks []suspect.CrashMark) {
	var group errgroup.Group
	group.SetLimit(sendConcurrency)
	for _, node := range nodes {
		group.Go(func() error {
			_, err := s.call(ctx, node, suspectsRequest{Suspects: marks})
			return err
		})
	}
	err := group.Wait()
	s.Log.Info("suspects told without an owner", "suspects", len(marks), "nodes", len(nodes), "error", err)
}

// ask asks nodes for the suspects that they know until some have answered.
func (s *Suspects) ask(ctx context.Context, nodes []string) {
	answered := 0
	var failed error
	for _, i := range rand.Perm(len(nodes)) {
		if answered == askedNodes {
			break
		}
		if err := s.askNode(ctx, nodes[i]); err != nil {
			failed = err
			continue
		}
		answered++
	}
	s.Log.Info("suspects asked for", "nodes", len(nodes), "answered", answered, "known", s.Known.Len(), "error", failed)
}

// askNode asks a node for all suspects that it knows, of which a response holds a part.
func (s *Suspects) askNode(ctx context.Context, node string) error {
	version := int64(0)
	for range maxAskCalls {
		response, err := s.call(ctx, node, suspectsRequest{Asks: true, Version: version})
		if err != nil || response.Version == version {
			return err
		}
		version = response.Version
	}
	return nil
}

// call calls a node and records the suspects in its response.
func (s *Suspects) call(ctx context.Context, node string, request suspectsRequest) (suspectsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response suspectsResponse
	if err := post(ctx, s.HTTP, node, suspectsPath, request, &response); err != nil {
		return response, err
	}
	s.Known.Merge(response.Suspects, time.Now())
	return response, nil
}
