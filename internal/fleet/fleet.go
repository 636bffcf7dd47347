// Package fleet implements the calls between the nodes of a system: demand
// reports and adapter requests to the node that owns the engines, the stream of
// its inventory to the others, and store calls made on another node's behalf.
//
// The calls use plain HTTP/1.1: a call that times out closes its connection, so
// that the next call does not reuse a connection that no longer responds.
package fleet

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/retrybudget"
	"chestnutgauge/internal/suspect"
)

// Expected is a load in progress, as known to the owner. InMS is the time until
// it is expected to complete, in milliseconds.
type Expected struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// Version is the software version of the engine.
	Version string `json:"version,omitempty"`
	InMS    int64  `json:"in_ms"`
}

// DemandResponse is the owner's response to a demand report.
type DemandResponse struct {
	// Peers are the addresses of the nodes that report demand, if the reporting node does
	// not have this version of them.
	Peers        []string `json:"peers,omitempty"`
	PeersVersion uint64   `json:"peers_version,omitempty"`
	// ReportNumber is the number of the node's report that the owner has, 0 if the report
	// is not known or has no number: the next one must be a whole one.
	ReportNumber int64      `json:"report_number,omitempty"`
	Expected     []Expected `json:"expected,omitempty"`
	// Limits are the rate limits that endpoints named to any node, if the reporting
	// node does not have this version of them.
	Limits        []notice.LimitStatement[inventory.Key] `json:"limits,omitempty"`
	LimitsVersion int64                                  `json:"limits_version"`
	// RejectionLimits are the limits of rejections of services that any node knows, if the
	// reporting node does not have this version of them.
	RejectionLimits        []notice.LimitStatement[string] `json:"rejection_limits,omitempty"`
	RejectionLimitsVersion int64                           `json:"rejection_limits_version"`
	// Suspects are the suspects of all nodes, if the reporting node does not have this
	// version of them.
	Suspects        []suspect.CrashMark `json:"suspects,omitempty"`
	SuspectsVersion int64               `json:"suspects_version"`
	// TeamLimits is what the node gets of the limits of teams, nil if it asked for nothing.
	TeamLimits *ratelimit.NodeAnswer `json:"team_limits,omitempty"`
	// Config confirms a version of the configuration. It is nil if the owner can't.
	Config *ConfigConfirmation `json:"config,omitempty"`
	// Leads are the teams that are ahead of their fair share of a service while others wait for it.
	Leads []fairshare.Lead `json:"leads,omitempty"`
	// Retries is the node's part of the additional retries. It is nil if the node has it.
	Retries *retrybudget.Answer `json:"retries,omitempty"`
}

// AdapterResponse names the engine that has an adapter. ReadyMS is the time
// until the adapter is usable there, in milliseconds.
type AdapterResponse struct {
	Engine  string `json:"engine"`
	ReadyMS int64  `json:"ready_ms"`
}

// Paths of the calls between nodes.
const (
	demandPath  = "/v1/demand"
	adapterPath = "/v1/adapter"
)

// maxBody bounds the body of a call, in bytes.
const maxBody = 1 << 20

// Server serves the calls of other nodes.
type Server struct {
	Owner      *owner.Owner
	Aggregator *demand.Aggregator
	Publisher  *Publisher
	Store      Store
	RateLimits *RateLimits
	// RejectionLimits are the limits of rejections of services that this node knows.
	RejectionLimits *notice.Limits[string]
	Places          *Places
	TeamLimits      *TeamLimits
	RetryParts      *RetryParts
	Balancer        *Balancer
	Suspects        *Suspects
	Origins         *Origins
	Forwarding      *Forwarding
	Forwarder       *Forwarder
	// OnConfigVersion is called with the version of the configuration in force at
	// each node that reports demand.
	OnConfigVersion func(version int64)
	// ConfigConfirmation returns the version of the configuration in force and the time since
	// that was confirmed, or false. It may be nil.
	ConfigConfirmation func() (version int64, age time.Duration, ok bool)
	// ConfigCopy returns what this node knows of the configuration for a node that has a version and takes
	// a form of rows, and the time since that was confirmed, or false.
	ConfigCopy func(version int64, form catalog.Form) (known catalog.Copy, age time.Duration, ok bool)
	// ConfigRows sends the rows that ConfigCopy offers.
	ConfigRows *RowSender
	Log        *slog.Logger
}

// Handler returns the handler of the calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+storePath, serveStore(s.Store, s.Log))
	mux.Handle("GET "+inventoryPath, s.Publisher)
	mux.HandleFunc("POST "+demandPath, s.serveDemand)
	mux.HandleFunc("POST "+adapterPath, s.serveAdapter)
	mux.HandleFunc("POST "+configCopyPath, s.serveConfigCopy)
	mux.HandleFunc("GET "+configRowPath, s.serveConfigRow)
	mux.HandleFunc("POST "+permitPath, s.RateLimits.servePermit)
	mux.HandleFunc("POST "+teamLimitsPath, s.TeamLimits.serveAsk)
	mux.HandleFunc("POST "+teamPoolPath, s.TeamLimits.servePoolAsk)
	mux.HandleFunc("POST "+placePath, s.Places.servePlace)
	mux.HandleFunc("POST "+balancePath, s.Balancer.serveBalance)
	mux.HandleFunc("POST "+trialPath, s.Suspects.serveTrial)
	mux.HandleFunc("POST "+suspectsPath, s.Suspects.serveSuspects)
	mux.HandleFunc("POST "+originsPath, s.Origins.serveStore)
	mux.HandleFunc("POST "+findOriginPath, s.Origins.serveFind)
	mux.HandleFunc("POST "+reachPath, s.Forwarding.serveReach)
	mux.Handle("POST "+forwardPath, s.Forwarder)
	return mux
}

// serveDemand serves a demand report.
func (s *Server) serveDemand(w http.ResponseWriter, r *http.Request) {
	var report demand.Report
	if !decodeBody(w, r, &report) {
		return
	}
	if _, ok := s.Owner.Lease.Grant(); !ok {
		http.Error(w, owner.ErrNotOwner.Error(), http.StatusConflict)
		return
	}
	s.OnConfigVersion(report.ConfigVersion)
	limits := s.TeamLimits.answerReport(&report)
	response := acceptReport(s.Owner, s.Aggregator, knowledge{s.RateLimits.Known, s.RejectionLimits, s.Suspects.Known, s.RetryParts}, report)
	response.TeamLimits = limits
	response.Config = s.configConfirmation()
	writeJSON(w, r, response, s.Log)
}

// serveAdapter serves a request for an adapter.
func (s *Server) serveAdapter(w http.ResponseWriter, r *http.Request) {
	var need demand.AdapterNeed
	if !decodeBody(w, r, &need) {
		return
	}
	engine, ready, err := s.Owner.EnsureAdapter(r.Context(), need)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, r, AdapterResponse{Engine: engine, ReadyMS: max(0, time.Until(ready).Milliseconds())}, s.Log)
}

// knowledge is what nodes tell each other of endpoints and requests.
type knowledge struct {
	limits          *notice.Limits[inventory.Key]
	rejectionLimits *notice.Limits[string]
	suspects        *suspect.Registry
	retries         *RetryParts
}

// acceptReport aggregates a demand report and returns the response. An urgent
// report wakes the owner's control loop.
func acceptReport(engineOwner *owner.Owner, aggregator *demand.Aggregator, known knowledge, report demand.Report) DemandResponse {
	now := time.Now()
	urgent, recorded := aggregator.Add(report, now)
	recorder := inventory.Recorder{Inventory: engineOwner.Inventory, Log: engineOwner.Log}
	recorder.Record(inventory.SourceReport, report.Drains, now)
	known.limits.Merge(report.Limits, now)
	known.rejectionLimits.Merge(report.RejectionLimits, now)
	known.suspects.Merge(report.Suspects, now)
	if urgent {
		engineOwner.Notify()
	}
	response := DemandResponse{Peers: aggregator.Nodes(now), Leads: aggregator.Leads(now)}
	response.Retries = known.retries.answerReport(&report, len(response.Peers))
	response.PeersVersion = peersVersion(response.Peers)
	if report.PeersVersion == response.PeersVersion {
		response.Peers = nil
	}
	if recorded {
		response.ReportNumber = report.Number
	}
	response.Limits, response.LimitsVersion = known.limits.AllSince(report.LimitsVersion, now)
	response.RejectionLimits, response.RejectionLimitsVersion = known.rejectionLimits.AllSince(report.RejectionLimitsVersion, now)
	response.Suspects, response.SuspectsVersion = known.suspects.AllSince(report.SuspectsVersion, now)
	for key, in := range engineOwner.Expected(now) {
		response.Expected = append(response.Expected, Expected{Service: key.Service, Model: key.Model, Version: key.Version, InMS: in.Milliseconds()})
	}
	return response
}

// peersVersion returns a version of a list of nodes that differs for other lists. It is never
// 0.
func peersVersion(peers []string) uint64 {
	return xxhash.Sum64String(strings.Join(peers, ",")) | 1
}

// decodeBody decodes the request's JSON body. On failure it responds with 400
// and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// writeJSON sends the response to a call, and returns its size in bytes.
func writeJSON(w http.ResponseWriter, r *http.Request, body any, log *slog.Logger) (size int) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	if err == nil {
		_, err = w.Write(data)
	}
	if err != nil {
		logNotSent(r, log, err)
	}
	return len(data)
}

// logNotSent logs and counts a response that its caller did not get whole.
func logNotSent(r *http.Request, log *slog.Logger, err error) {
	metrics.GetOrCreateCounter(`chestnut_peer_responses_not_sent_total{call="` + r.URL.Path + `"}`).Inc()
	log.Info("response to peer not sent", "call", r.URL.Path, "caller", r.RemoteAddr, "error", err)
}
