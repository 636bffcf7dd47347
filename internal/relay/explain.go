package relay

import (
	"errors"
	"slices"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/team"
	"chestnutgauge/internal/waitqueue"
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	Route   string `json:"route"`
	Service string `json:"service"`
	// Team is the name of the team, or empty, and Priority that of the request.
	Team     string `json:"team,omitempty"`
	Priority int    `json:"priority"`
	// Verdict is "found", "absent", "ejected" or "full".
	Verdict string `json:"verdict"`
	// DecidedBy is "node", or "owner" if the owner chooses among the endpoints of the service by
	// what it knows. The candidates show what the node knows, by which it chooses without the
	// owner's answer.
	DecidedBy string `json:"decided_by"`
	// Queued is the number of requests that wait at the node for the same.
	Queued     int                `json:"queued"`
	Candidates []ExplainCandidate `json:"candidates"`
}

// ExplainCandidate is an endpoint of the service. Times are in milliseconds.
type ExplainCandidate struct {
	Endpoint   string `json:"endpoint"`
	DataCentre string `json:"data_centre"`
	// Excluded says what excludes it, or is empty.
	Excluded string `json:"excluded,omitempty"`
	// Share is how often the node would choose it: the choice is in part random.
	Share  float64       `json:"share"`
	CostMS float64       `json:"cost_ms"`
	Parts  []ExplainPart `json:"parts,omitempty"`
	// InFlight is the number of the node's requests, OtherLoad the estimate of the others.
	InFlight  int     `json:"in_flight"`
	OtherLoad float64 `json:"other_load"`
	Slots     int     `json:"slots"`
	// ReportAgeMS is the age of the endpoint's last report of its load, or -1 without one.
	ReportAgeMS float64 `json:"report_age_ms"`
}

// ExplainPart is one part of the cost.
type ExplainPart struct {
	Name   string  `json:"name"`
	CostMS float64 `json:"cost_ms"`
}

// Errors of Explain.
var (
	ErrNoConfiguration = errors.New("relay: no configuration yet")
	ErrNoSuchRoute     = errors.New("relay: no route for this host and path")
	ErrNoSuchService   = errors.New("relay: the route's service is not configured")
	ErrNoSuchTeam      = errors.New("relay: no team of this name")
)

// explainDraws is the number of choices from which shares are computed.
const explainDraws = 500

// Names of what excludes an endpoint, by the filter.
var exclusions = map[string]string{
	"AcceptsWork": "leaving, or only other nodes reach it",
	"NotEjected":  "ejected after failures, or in cooldown",
	"HasRoom":     "full",
}

// verdictNames are the names of verdicts in explanations.
var verdictNames = map[choose.Verdict]string{choose.Found: "found", choose.Absent: "absent", choose.Ejected: "ejected", choose.Full: "full"}

// Explain returns where a request of a team (or of none) would go now, without sending it and
// without counting it. It has no effect on other requests.
func (r *Relay) Explain(req *Request, teamName string) (Explanation, error) {
	x, err := r.explained(req, teamName)
	if err != nil {
		return Explanation{}, err
	}
	now := time.Now()
	snapshot := r.Inventory.Current()
	candidates, _ := x.candidateStates(snapshot, now)
	x.markCached(candidates)
	request := x.choiceRequest(now)
	explanation := Explanation{
		Route: x.route.Name, Service: x.service.Name, Team: x.teamName(), Priority: x.priority(), DecidedBy: "node",
		Queued: r.queues.Len(waitqueue.Key{Service: x.service.Name, Model: req.Model}),
	}
	if x.balances(snapshot) || x.limitsRejections() {
		explanation.DecidedBy = "owner"
	}
	shares := map[string]float64{}
	for range explainDraws {
		chosen, verdict := r.chooser.Choose(request, slices.Clone(candidates), newRand())
		explanation.Verdict = verdictNames[verdict]
		if verdict == choose.Found {
			shares[chosen.Name] += 1.0 / explainDraws
		}
	}
	for _, e := range r.chooser.Explain(request, candidates) {
		explanation.Candidates = append(explanation.Candidates, r.explainCandidate(e, shares[e.Name], now))
	}
	for _, e := range snapshot.Service(x.service.Name) {
		if !x.eligible(e, now) {
			explanation.Candidates = append(explanation.Candidates, ExplainCandidate{Endpoint: e.ID, DataCentre: e.DataCentre, Excluded: "does not hold the model", Slots: e.Slots, ReportAgeMS: -1})
		}
	}
	return explanation, nil
}

// explained returns the exchange of a request that is not sent.
func (r *Relay) explained(req *Request, teamName string) (*exchange, error) {
	c := r.Catalog()
	if c == nil {
		return nil, ErrNoConfiguration
	}
	route := c.Route(req.Host, req.Path)
	if route == nil {
		return nil, ErrNoSuchRoute
	}
	service := c.Services[route.Pick(splitPoint(req.stream()))]
	if service == nil {
		return nil, ErrNoSuchService
	}
	caller, err := findTeam(c, teamName)
	if err != nil {
		return nil, err
	}
	return &exchange{relay: r, req: req, route: route, service: service, catalog: c, team: caller, deadline: req.Arrived.Add(route.Timeout)}, nil
}

// findTeam returns the team of a name, or nil for the empty name.
func findTeam(c *catalog.Catalog, name string) (*team.Team, error) {
	if name == "" {
		return nil, nil
	}
	if c.Teams == nil {
		return nil, ErrNoSuchTeam
	}
	if found := c.Teams.Team(name); found != nil {
		return found, nil
	}
	return nil, ErrNoSuchTeam
}

func (r *Relay) explainCandidate(e choose.Explained, share float64, now time.Time) ExplainCandidate {
	out := ExplainCandidate{
		Endpoint: e.Name, DataCentre: e.DataCentre, Excluded: e.ExcludedBy, Share: share, CostMS: milliseconds(e.Cost),
		InFlight: e.InFlight, OtherLoad: e.OtherLoad, Slots: e.Limit, ReportAgeMS: -1,
	}
	if text, ok := exclusions[e.ExcludedBy]; ok {
		out.Excluded = text
	}
	if at := r.loads.View(e.Name, now).ReportedAt; !at.IsZero() {
		out.ReportAgeMS = milliseconds(now.Sub(at))
	}
	for _, part := range e.Parts {
		out.Parts = append(out.Parts, ExplainPart{Name: part.Name, CostMS: milliseconds(part.Cost)})
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// candidateStates returns the endpoints that can serve the request, and how each is throttled.
func (x *exchange) candidateStates(snapshot *inventory.Snapshot, now time.Time) ([]choose.Candidate, []notice.State) {
	endpoints := snapshot.Service(x.service.Name)
	candidates := make([]choose.Candidate, 0, len(endpoints))
	states := make([]notice.State, 0, len(endpoints))
	for _, e := range endpoints {
		if !x.eligible(e, now) {
			continue
		}
		candidate := x.candidate(e, now)
		state := x.throttle(e, now)
		if state.Until.After(candidate.EjectedUntil) {
			candidate.EjectedUntil = state.Until
		}
		candidates = append(candidates, candidate)
		states = append(states, state)
	}
	return candidates, states
}
