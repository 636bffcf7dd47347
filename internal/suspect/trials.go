package suspect

import (
	"slices"
	"sync"
	"time"
)

// maxTrials bounds the number of trials in progress.
const maxTrials = 256

// Trial is a suspect that runs alone on an endpoint.
type Trial struct {
	// Name tells it from other trials of the same suspect. Nodes of earlier versions send none.
	Name     string
	Endpoint string
	Digests  []Digest
}

// runningTrial is a trial that lasts until a time.
type runningTrial struct {
	Trial
	until time.Time
}

// TrialAnswer says whether a trial may begin.
type TrialAnswer string

// Answers.
const (
	TrialGranted TrialAnswer = "granted"
	// TrialEndpointBusy means that another suspect is on the endpoint.
	TrialEndpointBusy TrialAnswer = "endpoint_busy"
	// TrialDigestBusy means that another request with a digest of the suspect runs.
	TrialDigestBusy TrialAnswer = "digest_busy"
)

// Trials are the suspects that run. At most one of them is on an endpoint, and at
// most one has a digest. The methods are safe for concurrent use.
type Trials struct {
	mu      sync.Mutex
	running []runningTrial
}

// Begin begins a trial, if it may, which lasts until a time unless it is ended.
func (t *Trials) Begin(trial Trial, until, now time.Time) TrialAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = slices.DeleteFunc(t.running, func(running runningTrial) bool { return !now.Before(running.until) })
	busy := len(t.running) >= maxTrials
	for _, running := range t.running {
		if running.hasAny(trial.Digests) {
			return TrialDigestBusy
		}
		busy = busy || running.Endpoint == trial.Endpoint
	}
	if busy {
		return TrialEndpointBusy
	}
	t.running = append(t.running, runningTrial{Trial: trial, until: until})
	return TrialGranted
}

// hasAny reports whether the suspect has one of the digests.
func (t Trial) hasAny(digests []Digest) bool {
	return slices.ContainsFunc(digests, func(d Digest) bool { return slices.Contains(t.Digests, d) })
}

// End ends a trial.
func (t *Trials) End(trial Trial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = slices.DeleteFunc(t.running, func(running runningTrial) bool {
		return running.Name == trial.Name && running.Endpoint == trial.Endpoint && slices.Equal(running.Digests, trial.Digests)
	})
}
