// Package demand measures the demand for each model at a node, and aggregates
// the reports of all nodes of a system.
package demand

import (
	"math"
	"time"

	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/retrybudget"
	"chestnutgauge/internal/suspect"
)

// ModelKey identifies a model of a service.
type ModelKey struct {
	Service string `json:"service"`
	Model   string `json:"model"`
}

// LoadKey identifies the loads of a model on engines of a software version.
type LoadKey struct {
	ModelKey
	Version string
}

// Model is the demand for a model at one node.
type Model struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// Rate is in requests per second, TokenRate in prompt tokens per second; both
	// are exponential averages with the time constant RateTime.
	Rate      float64 `json:"rate"`
	TokenRate float64 `json:"token_rate"`
	// LateRate is the rate of requests that were late because the engine was
	// slow, not because they waited for one. It is averaged like Rate.
	LateRate float64 `json:"late_rate,omitempty"`
	// CooldownMS is the time until the first of the engines that hold the model
	// may get a request of the node again, in milliseconds. 0 means that one may
	// get one now.
	CooldownMS int64 `json:"cooldown_ms,omitempty"`
	// Waiting is the number of requests that no engine can run now.
	Waiting int `json:"waiting,omitempty"`
	// WaitingAt is the number of further ones that need an engine of a software version,
	// by that version.
	WaitingAt map[string]int `json:"waiting_at,omitempty"`
	// Running is the number of running requests by engine id.
	Running map[string]int `json:"running,omitempty"`
}

// RateTime is the time constant of the averages.
const RateTime = 12 * time.Second

// minReportedRate is the rate below which a model is omitted from reports, in
// requests per second.
const minReportedRate = 0.002

// meter is the demand for a model at a node.
type meter struct {
	rate      float64
	tokenRate float64
	lateRate  float64
	// updatedAt is when the averages were last updated.
	updatedAt time.Time
	waiting   int
	waitingAt map[string]int
	running   map[string]int
	// cooldownEnd is the end of the cooldown of all engines that hold the model, as
	// of cooldownSeen.
	cooldownEnd  time.Time
	cooldownSeen time.Time
}

// Limits of the cooldowns in reports.
const (
	// minReportedCooldown is the time left from which a cooldown is reported.
	minReportedCooldown = 250 * time.Millisecond
	// cooldownTTL is the time for which a cooldown is reported after a request has
	// last met it.
	cooldownTTL = time.Second
)

// cooldown returns the time left of a model's cooldown, or 0.
func (m *meter) cooldown(now time.Time) time.Duration {
	left := m.cooldownEnd.Sub(now)
	if left < minReportedCooldown || now.Sub(m.cooldownSeen) > cooldownTTL {
		return 0
	}
	return left
}

// decay decays the averages to now.
func (m *meter) decay(now time.Time) {
	factor := math.Exp(-now.Sub(m.updatedAt).Seconds() / RateTime.Seconds())
	m.rate *= factor
	m.tokenRate *= factor
	m.lateRate *= factor
	m.updatedAt = now
}

// addWaiting adds n to the number of requests that wait.
func (m *meter) addWaiting(required inventory.Requirement, n int) {
	if !required.Required {
		m.waiting += n
		return
	}
	m.waitingAt[required.Version] += n
	if m.waitingAt[required.Version] <= 0 {
		delete(m.waitingAt, required.Version)
	}
}

// idle reports whether the model can be omitted from reports.
func (m *meter) idle() bool {
	return m.rate < minReportedRate && m.waiting == 0 && len(m.waitingAt) == 0 && len(m.running) == 0
}

// AdapterUse identifies an adapter in use on an engine.
type AdapterUse struct {
	Engine  string `json:"engine"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
}

// AdapterNeed is an adapter that a request needs on an engine.
type AdapterNeed struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	// Avoid is the id of an engine that is used only if no other one holds the
	// model, or empty.
	Avoid string `json:"avoid,omitempty"`
	// Required restricts the engines.
	Required inventory.Requirement `json:"required,omitzero"`
}

// Report is the demand at one node.
type Report struct {
	// Node is the address of the node.
	Node string `json:"node"`
	// ConfigVersion is the version of the configuration in force there, 0 if none.
	ConfigVersion int64 `json:"config_version,omitempty"`
	// Number is the number of the report. If Base is not 0, the report is a change of the
	// one with that number: models that it does not list are as before, but for those in
	// Gone, and so are the adapters if SameAdapters is set.
	Number       int64      `json:"number,omitempty"`
	Base         int64      `json:"base,omitempty"`
	Gone         []ModelKey `json:"gone,omitempty"`
	SameAdapters bool       `json:"same_adapters,omitempty"`
	// PeersVersion is the version of the owner's list of nodes that the node has, 0 if none.
	PeersVersion uint64 `json:"peers_version,omitempty"`

	Models   []Model      `json:"models,omitempty"`
	Adapters []AdapterUse `json:"adapters,omitempty"`
	// Reached are the engines to which the last connection succeeded, Unreachable
	// those to which it failed. Connections older than reachTTL are ignored.
	Reached     []string `json:"reached,omitempty"`
	Unreachable []string `json:"unreachable,omitempty"`
	// Drains are the node's drain marks of endpoints whose entries don't show them
	// as leaving.
	Drains []inventory.DrainMark `json:"drains,omitempty"`
	// Limits are the rate limits that endpoints named to the node, if the owner has
	// not received them.
	Limits []notice.LimitStatement[inventory.Key] `json:"limits,omitempty"`
	// LimitsVersion is the version of the owner's rate limits that the node has
	// received, 0 if none.
	LimitsVersion int64 `json:"limits_version,omitempty"`
	// RejectionLimits are the services whose endpoints said to the node how many rejections
	// a second they bear, if the owner has not received that. RejectionLimitsVersion is the
	// version of the owner's that the node has received, 0 if none.
	RejectionLimits        []notice.LimitStatement[string] `json:"rejection_limits,omitempty"`
	RejectionLimitsVersion int64                           `json:"rejection_limits_version,omitempty"`
	// Suspects are the node's own suspects, if the owner has not received them.
	Suspects []suspect.CrashMark `json:"suspects,omitempty"`
	// SuspectsVersion is the version of the owner's suspects that the node has received,
	// 0 if none.
	SuspectsVersion int64 `json:"suspects_version,omitempty"`
	// TeamLimits is what the node asks for the limits of teams, nil if none has one.
	TeamLimits *ratelimit.NodeAsk `json:"team_limits,omitempty"`
	// Uses is the work of teams since the node's last report.
	Uses []fairshare.Use `json:"uses,omitempty"`
	// Retries asks for a part of the additional retries. It is nil if the owner knows what the
	// node holds.
	Retries *retrybudget.Ask `json:"retries,omitempty"`
}
