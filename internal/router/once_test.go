package router_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// onceCase is a fault that is injected while a caller sends a non-idempotent
// request to router A and repeats it at router B.
type onceCase struct {
	name string
	// only limits the case to one path.
	only string
	// faults are active from the start, until the given time.
	faults []standin.Fault
	until  time.Duration
	// act is called when router A reaches atStep with a claim row for the nth
	// time.
	atStep testsystem.Step
	nth    int
	act    func(*testsystem.System, *testsystem.RouterNode)
	// after is the time after the first request at which act is called, if not
	// 0.
	after time.Duration
	// firstDeadline is the deadline of the first request.
	firstDeadline time.Duration
	// hangUp is when the caller of the first request disconnects, if not 0.
	hangUp time.Duration
	// repeatAfter is when the request is first repeated.
	repeatAfter time.Duration
	// end is the expected result of a much later repeat: answered, not
	// answered, or either.
	end string
}

const (
	endAnswered = "answered"
	endOpen     = "not answered"
)

func kill(_ *testsystem.System, router *testsystem.RouterNode) { router.Disconnect() }

func freeze(_ *testsystem.System, _ *testsystem.RouterNode) { time.Sleep(20 * time.Second) }

func setFault(fault standin.Fault, d time.Duration) func(*testsystem.System, *testsystem.RouterNode) {
	return func(system *testsystem.System, _ *testsystem.RouterNode) {
		_ = system.StandIn.SetFault(fault)
		fault.Clear = true
		time.AfterFunc(d, func() { _ = system.StandIn.SetFault(fault) })
	}
}

func onEndpoints(kind standin.FaultKind, names ...string) func(*testsystem.System, *testsystem.RouterNode) {
	return func(system *testsystem.System, _ *testsystem.RouterNode) {
		for _, name := range names {
			_ = system.StandIn.SetFault(standin.Fault{Kind: kind, Endpoint: name})
		}
	}
}

func onceCases() []onceCase {
	engines := []string{"e1", "e2", "e3", "e4"}
	claims := claim.Prefix
	cases := []onceCase{
		{name: "no fault", repeatAfter: 3 * time.Second, end: endAnswered},
		{name: "repeat at the same moment", end: endAnswered},
		{name: "repeat while it runs", repeatAfter: 500 * time.Millisecond, end: endAnswered},
		{name: "caller hangs up", hangUp: 300 * time.Millisecond, repeatAfter: 300 * time.Millisecond, end: endAnswered},
		{name: "caller hangs up before the claim", hangUp: time.Nanosecond, repeatAfter: time.Second, end: endAnswered},
		{name: "deadline before the answer", firstDeadline: 300 * time.Millisecond, repeatAfter: 400 * time.Millisecond, end: endAnswered},
		{name: "late answer after the claim ended", faults: []standin.Fault{{Kind: standin.FaultResponseDelay, Milliseconds: 5000}}, until: time.Minute, firstDeadline: 2 * time.Second, repeatAfter: 3 * time.Second, end: endAnswered},
		{name: "killed while the endpoint runs", after: 500 * time.Millisecond, act: kill, repeatAfter: time.Second, end: endAnswered},
		{name: "engine silent after receipt", only: chatPath, after: 300 * time.Millisecond, act: onEndpoints(standin.FaultStall, engines...), repeatAfter: time.Second, end: endAnswered},
		{name: "service silent after receipt", only: servicePath, faults: []standin.Fault{{Kind: standin.FaultStall}}, until: time.Minute, repeatAfter: time.Second, end: endAnswered},
		{name: "connection cut", faults: []standin.Fault{{Kind: standin.FaultTruncate}}, until: time.Minute, repeatAfter: time.Second, end: endAnswered},
		{name: "engine crashes", only: chatPath, after: 300 * time.Millisecond, act: onEndpoints(standin.FaultRestart, engines...), repeatAfter: time.Second, end: endOpen},
		{name: "table down at the start", faults: []standin.Fault{{Kind: standin.FaultTableDown}}, until: 5 * time.Second, repeatAfter: 6 * time.Second, end: endAnswered},
		{name: "table slow", faults: []standin.Fault{{Kind: standin.FaultTableSlow, Milliseconds: 400}}, until: time.Minute, end: endAnswered},
		{name: "table slower than the deadline", faults: []standin.Fault{{Kind: standin.FaultTableSlow, Milliseconds: 3000}}, until: 20 * time.Second, firstDeadline: time.Second, repeatAfter: 2 * time.Second, end: endAnswered},
		{name: "stale reads", faults: []standin.Fault{{Kind: standin.FaultTableStale, Prefix: claims}}, until: 10 * time.Second, repeatAfter: 500 * time.Millisecond, end: endAnswered},
		{name: "stale reads and lost answers", faults: []standin.Fault{{Kind: standin.FaultTableStale, Prefix: claims}, {Kind: standin.FaultTableResponseLost, Prefix: claims}}, until: 5 * time.Second, repeatAfter: 500 * time.Millisecond, end: endAnswered},
		{name: "every answer of the table lost", faults: []standin.Fault{{Kind: standin.FaultTableResponseLost, Prefix: claims}}, until: 5 * time.Second, repeatAfter: 100 * time.Millisecond, end: endAnswered},
		{name: "answer to the claim lost, killed", faults: []standin.Fault{{Kind: standin.FaultTableResponseLost, Prefix: claims, Count: 1}}, atStep: testsystem.StepCommitted, nth: 1, act: kill, repeatAfter: time.Second, end: endOpen},
	}
	steps := []struct {
		name string
		step testsystem.Step
		nth  int
		kill string
	}{
		{"before the claim", testsystem.StepCommit, 1, endAnswered},
		{"between claim and dispatch", testsystem.StepCommitted, 1, endOpen},
		{"before the answer is kept", testsystem.StepCommit, 2, endAnswered},
		{"after the answer is kept", testsystem.StepCommitted, 2, endAnswered},
	}
	for _, s := range steps {
		cases = append(cases,
			onceCase{name: "killed " + s.name, atStep: s.step, nth: s.nth, act: kill, repeatAfter: time.Second, end: s.kill},
			onceCase{name: "frozen " + s.name, atStep: s.step, nth: s.nth, act: freeze, repeatAfter: time.Second, end: endAnswered},
			onceCase{name: "frozen past the deadline " + s.name, atStep: s.step, nth: s.nth, act: freeze, firstDeadline: 3 * time.Second, repeatAfter: time.Second, end: endAnswered},
			onceCase{name: "table down " + s.name, atStep: s.step, nth: s.nth, act: setFault(standin.Fault{Kind: standin.FaultTableDown}, 10*time.Second), repeatAfter: 2 * time.Second, end: endAnswered},
			onceCase{name: "answer lost " + s.name, atStep: s.step, nth: s.nth, act: setFault(standin.Fault{Kind: standin.FaultTableResponseLost, Prefix: claims}, 2*time.Second), repeatAfter: 500 * time.Millisecond, end: endAnswered},
		)
	}
	return cases
}

// TestAtMostOnce checks from the journal, for all cases, that the key never ran
// twice and that not_run was never reported for a key that had run.
func TestAtMostOnce(t *testing.T) {
	for _, path := range []string{chatPath, servicePath} {
		for _, c := range onceCases() {
			if c.only != "" && c.only != path {
				continue
			}
			t.Run(strings.TrimPrefix(path, "/v1/")+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.check(t, path) })
			})
		}
	}
}

func (c onceCase) check(t *testing.T, path string) {
	system, a, b := newBookingSystem(t)
	for _, fault := range c.faults {
		require.NoError(t, system.StandIn.SetFault(fault))
		fault.Clear = true
		time.AfterFunc(c.until, func() { _ = system.StandIn.SetFault(fault) })
	}
	c.hook(system, a)
	var sent sync.WaitGroup
	send := func(ctx context.Context, router *testsystem.RouterNode, deadline time.Duration) {
		got := book(ctx, router, path, deadline)
		if got.run() == "not_run" {
			require.Zero(t, runs(system, "key"), "not_run of a key that ran: %s", got.Body)
		}
		if got.Code == 200 {
			require.True(t, got.complete(path), got.Body.String())
		}
	}
	firstDeadline := max(c.firstDeadline, 0)
	if firstDeadline == 0 {
		firstDeadline = 30 * time.Second
	}
	ctx := t.Context()
	if c.hangUp > 0 {
		hungUp, cancel := context.WithTimeout(ctx, c.hangUp)
		defer cancel()
		ctx = hungUp
	}
	sent.Go(func() { send(ctx, a, firstDeadline) })
	time.Sleep(c.repeatAfter)
	sent.Go(func() { send(t.Context(), b, 10*time.Second) })
	sent.Wait()
	time.Sleep(45 * time.Second)
	last := book(t.Context(), b, path, 20*time.Second)
	require.Equal(t, c.end == endAnswered, last.complete(path), "%d %s", last.Code, last.Body)
	if c.end == endOpen {
		require.Equal(t, "unknown", last.run())
	}
	require.LessOrEqual(t, runs(system, "key"), 1)
}

// hook installs the fault at router A.
func (c onceCase) hook(system *testsystem.System, a *testsystem.RouterNode) {
	if c.after > 0 {
		time.AfterFunc(c.after, func() { c.act(system, a) })
	}
	if c.atStep == "" {
		return
	}
	var mu sync.Mutex
	count := 0
	onStep := func(step testsystem.Step, key string) {
		if step != c.atStep || !strings.HasPrefix(key, claim.Prefix) {
			return
		}
		mu.Lock()
		count++
		hit := count == c.nth
		mu.Unlock()
		if hit {
			c.act(system, a)
		}
	}
	a.OnStep.Store(&onStep)
}
