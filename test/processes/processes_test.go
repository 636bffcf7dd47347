// Package processes runs the built programs as processes and sends them signals.
// The checks use only counts from the callers' records and from the stand-in's
// journal, never durations.
package processes

import (
	"context"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/bench/fleet"
	"chestnutgauge/internal/bench/traffic"
)

// Paths of the programs and the example.
const (
	binaries = "../../bin"
	example  = "../../examples/demo"
)

// tokens is the number of tokens in each response.
const tokens = 20

// step is a signal that is sent to a process while requests run.
type step struct {
	process string
	signal  syscall.Signal
	// wait is the time before the next step.
	wait time.Duration
	// restart starts the process again after the signal has ended it.
	restart bool
}

func (s step) apply(t *testing.T, f *fleet.Fleet) {
	require.NoError(t, f.Signal(s.process, s.signal))
	if s.restart {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, f.Wait(ctx, s.process))
		require.NoError(t, f.Start(s.process))
	}
	time.Sleep(s.wait)
}

// TestSignals sends mixed requests while processes are killed, frozen and shut
// down, and checks the callers' records against the stand-in's journal.
func TestSignals(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
		// mayBreak is true if connections of callers may break.
		mayBreak bool
	}{
		{"no fault", []step{{"router-1", syscall.SIGCONT, 3 * time.Second, false}}, false},
		{"router killed", []step{{"router-1", syscall.SIGKILL, 3 * time.Second, true}}, true},
		{"router shut down", []step{{"router-1", syscall.SIGTERM, 3 * time.Second, true}}, false},
		{"router frozen", []step{
			{"router-1", syscall.SIGSTOP, 2 * time.Second, false},
			{"router-1", syscall.SIGCONT, 2 * time.Second, false},
		}, false},
		{"controller killed", []step{{"controller-1", syscall.SIGKILL, 4 * time.Second, true}}, false},
		{"controller shut down", []step{{"controller-1", syscall.SIGTERM, 4 * time.Second, true}}, false},
		{"controller frozen", []step{
			{"controller-1", syscall.SIGSTOP, 3 * time.Second, false},
			{"controller-1", syscall.SIGCONT, 3 * time.Second, false},
		}, false},
		{"told to read settings again", []step{
			{"router-1", syscall.SIGHUP, 0, false},
			{"controller-1", syscall.SIGHUP, 0, false},
			{"admin-1", syscall.SIGHUP, 2 * time.Second, false},
			{"router-1", syscall.SIGCONT, 0, false},
			{"controller-1", syscall.SIGCONT, 0, false},
			{"admin-1", syscall.SIGCONT, 0, false},
		}, false},
		{"admin killed", []step{{"admin-1", syscall.SIGKILL, 2 * time.Second, true}}, false},
		{"controller and router killed together", []step{
			{"controller-2", syscall.SIGKILL, 0, true},
			{"router-2", syscall.SIGKILL, 4 * time.Second, true},
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, err := fleet.New(binaries, example, t.TempDir())
			require.NoError(t, err)
			t.Cleanup(f.Stop)
			require.NoError(t, f.StartAll(t.Context()))
			summary := runTraffic(t, f, test.steps)
			t.Logf("%+v", summary.Codes)
			require.Empty(t, summary.Violations)
			if !test.mayBreak {
				require.Empty(t, summary.ConnectionErrors, "a connection broke although nothing was killed")
			}
			require.Positive(t, summary.Complete)
		})
	}
}

// runTraffic sends requests while it applies the steps, and returns the summary
// of their records.
func runTraffic(t *testing.T, f *fleet.Fleet, steps []step) traffic.Summary {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	settings := traffic.Settings{
		Routers:  []string{f.Address("127.0.0.1:8080"), f.Address("127.0.0.1:8081")},
		Mixes:    traffic.DemoMixes(),
		Callers:  12,
		Pause:    100 * time.Millisecond,
		Deadline: 30 * time.Second,
		Tokens:   tokens,
		Seed:     1,
	}
	for _, router := range settings.Routers {
		require.NoError(t, f.Await(ctx, router, "/readyz"))
	}
	done := make(chan []traffic.Record, 1)
	go func() { done <- traffic.Run(ctx, settings) }()
	time.Sleep(3 * time.Second)
	for _, s := range steps {
		s.apply(t, f)
	}
	cancel()
	records := <-done
	entries, err := traffic.Journal(t.Context(), f.Address("127.0.0.1:8070"))
	require.NoError(t, err)
	summary := traffic.Check(records, entries, traffic.DemoLimits(), tokens)
	t.Logf("%d requests: %d complete, %d refused, %d failed, %d retried", summary.Requests, summary.Complete, summary.Refused, summary.Failed, summary.Retried)
	return summary
}

// TestProgramsCheckTheirSettings runs each daemon with --check on every
// example.
func TestProgramsCheckTheirSettings(t *testing.T) {
	examples, err := filepath.Glob("../../examples/*/router-1.toml")
	require.NoError(t, err)
	require.NotEmpty(t, examples)
	for _, file := range examples {
		require.NoError(t, fleet.CheckSettings(t.Context(), binaries, filepath.Dir(file)))
	}
}
