// Package soak runs the processes of an example under mixed requests while it
// injects random faults from a seed, and checks the callers' records against the
// stand-in's journal.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"chestnutgauge/internal/bench/fleet"
	"chestnutgauge/internal/bench/traffic"
	"chestnutgauge/internal/standin"
)

// Settings of a run.
type Settings struct {
	Binaries, Example, Directory string
	// Duration is how long faults are injected.
	Duration time.Duration
	Seed     uint64
	Traffic  traffic.Settings
	Limits   traffic.Limits
	// Log receives a line for each fault.
	Log io.Writer
}

// Durations of a run. Faults start after warmUp; each lasts between minPause and
// maxPause, and so does the time until the next. Traffic continues for settleTime
// after the last fault. drainTimeout bounds the wait for a process to shut down.
const (
	warmUp       = 4 * time.Second
	minPause     = 500 * time.Millisecond
	maxPause     = 4 * time.Second
	settleTime   = 8 * time.Second
	drainTimeout = 40 * time.Second
)

// run is one run in progress.
type run struct {
	Settings
	fleet *fleet.Fleet
	rng   *rand.Rand
	start time.Time
	// signalled is the process that the current fault killed, froze or shut down.
	signalled string
}

// Run runs the soak test and returns the summary of its check.
func Run(ctx context.Context, s Settings) (traffic.Summary, error) {
	f, err := fleet.New(s.Binaries, s.Example, s.Directory)
	if err != nil {
		return traffic.Summary{}, err
	}
	defer f.Stop()
	if err := f.StartAll(ctx); err != nil {
		return traffic.Summary{}, err
	}
	r := &run{Settings: s, fleet: f, rng: rand.New(rand.NewPCG(s.Seed, 0)), start: time.Now()}
	s.Traffic.Routers = []string{f.Address("127.0.0.1:8080"), f.Address("127.0.0.1:8081")}
	s.Traffic.Seed = s.Seed
	for _, router := range s.Traffic.Routers {
		if err := f.Await(ctx, router, "/readyz"); err != nil {
			return traffic.Summary{}, err
		}
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan []traffic.Record, 1)
	go func() { done <- traffic.Run(sending, s.Traffic) }()
	time.Sleep(warmUp)
	err = r.injectFaults(ctx)
	time.Sleep(settleTime)
	stop()
	records := <-done
	if err != nil {
		return traffic.Summary{}, err
	}
	entries, err := traffic.Journal(ctx, f.Address("127.0.0.1:8070"))
	if err != nil {
		return traffic.Summary{}, err
	}
	return traffic.Check(records, entries, s.Limits, s.Traffic.Tokens), nil
}

// injectFaults injects faults until Duration has passed: one at a time or, in a
// third of the cases, two.
func (r *run) injectFaults(ctx context.Context) error {
	for time.Since(r.start) < warmUp+r.Duration {
		r.signalled = ""
		undo, err := r.injectFault(ctx)
		if err != nil {
			return err
		}
		if r.rng.IntN(3) == 0 {
			second, err := r.injectFault(ctx)
			if err != nil {
				return err
			}
			undo = append(undo, second...)
		}
		time.Sleep(r.randomPause())
		for _, f := range undo {
			if err := f(); err != nil {
				return err
			}
		}
		time.Sleep(r.randomPause())
	}
	return nil
}

func (r *run) randomPause() time.Duration {
	return minPause + time.Duration(r.rng.Int64N(int64(maxPause-minPause)))
}

// injectFault injects a random fault of a process or of the stand-in, and returns
// the functions that undo it.
func (r *run) injectFault(ctx context.Context) ([]func() error, error) {
	processes := append(r.fleet.Names("router-"), append(r.fleet.Names("controller-"), r.fleet.Names("admin-")...)...)
	process := processes[r.rng.IntN(len(processes))]
	kind := r.rng.IntN(5)
	if process == r.signalled || kind > 2 {
		return r.injectStandInFault(ctx)
	}
	r.signalled = process
	switch kind {
	case 0:
		r.logf("kill %s", process)
		if err := r.fleet.Kill(process); err != nil {
			return nil, err
		}
		return []func() error{func() error { return r.fleet.Start(process) }}, nil
	case 1:
		r.logf("freeze %s", process)
		if err := r.fleet.Signal(process, syscall.SIGSTOP); err != nil {
			return nil, err
		}
		return []func() error{func() error { return r.fleet.Signal(process, syscall.SIGCONT) }}, nil
	}
	r.logf("shut down %s", process)
	if err := r.fleet.Signal(process, syscall.SIGTERM); err != nil {
		return nil, err
	}
	return []func() error{func() error { return r.restart(ctx, process) }}, nil
}

// restart waits until a process has shut down and starts it again.
func (r *run) restart(ctx context.Context, process string) error {
	waitCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := r.fleet.Wait(waitCtx, process); err != nil {
		return err
	}
	return r.fleet.Start(process)
}

// injectStandInFault sets a random fault of the stand-in, and returns the
// functions that undo it.
func (r *run) injectStandInFault(ctx context.Context) ([]func() error, error) {
	engines := []string{"cph-e1", "ros-e1"}
	engine := engines[r.rng.IntN(len(engines))]
	faults := []standin.Fault{
		{Kind: standin.FaultTableDown},
		{Kind: standin.FaultTableSlow, Milliseconds: 300},
		{Kind: standin.FaultTableResponseLost, Count: 3},
		{Kind: standin.FaultWeightsSlow, Factor: 4},
		{Kind: standin.FaultStall, Endpoint: engine},
		{Kind: standin.FaultTruncate, Endpoint: engine, Count: 3},
		{Kind: standin.FaultForeignChunk, Endpoint: engine, Count: 3},
		{Kind: standin.FaultDuplicate, Endpoint: engine, Count: 3},
		{Kind: standin.FaultResponseDelay, Endpoint: engine, Milliseconds: 500, Count: 3},
		{Kind: standin.FaultOrderResponseLost, Endpoint: engine, Count: 1},
		{Kind: standin.FaultCrashOnLoad, Endpoint: engine, Count: 1},
		{Kind: standin.FaultLeaving, Endpoint: engine},
		{Kind: standin.FaultRestart, Endpoint: engine},
	}
	fault := faults[r.rng.IntN(len(faults))]
	r.logf("%s %s", fault.Kind, fault.Endpoint)
	if err := r.post(ctx, fault); err != nil {
		return nil, err
	}
	lasting := fault.Count == 0 && fault.Kind != standin.FaultRestart && fault.Kind != standin.FaultStall
	if !lasting {
		return nil, nil
	}
	return []func() error{func() error {
		fault.Clear = true
		return r.post(ctx, fault)
	}}, nil
}

func (r *run) post(ctx context.Context, fault standin.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	address := r.fleet.Address("127.0.0.1:8070")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("soak: fault %s: status %d", fault.Kind, resp.StatusCode)
	}
	return nil
}

func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.Log, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
