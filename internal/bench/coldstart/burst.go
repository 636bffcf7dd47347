// Package coldstart measures cold starts: the system's overhead for a burst of
// callers, and the order of loads if many unloaded models are requested at once.
package coldstart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"chestnutgauge/internal/bench/fleet"
	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/bench/traffic"
	"chestnutgauge/internal/standin"
)

// Sizes of the bursts.
const (
	burstRouters = 8
	burstEngines = 4
	burstModels  = 20
	burstCallers = 64
	// maxParallelLoads limits the concurrent initial loads, which put the
	// checkpoints on the engines' disks.
	maxParallelLoads = 8
	settleTime       = 3 * time.Second
)

// platformAddress is the stand-in's address in a generated example.
const platformAddress = "127.0.0.1:8070"

// burst is a measurement of bursts in progress.
type burst struct {
	fleet     *fleet.Fleet
	client    *http.Client
	overheads *hdrhistogram.Histogram
	loads     int
	failed    int
}

// Burst runs processes on loopback, parks models and sends a burst of requests to
// each, spread over all routers.
func Burst(ctx context.Context, bin string) (report.Table, error) {
	table := report.Table{
		Title:   "Burst to one parked model",
		Columns: []string{"bursts", "callers each", "routers", "answered", "loads", "overhead p50", "p95", "max"},
	}
	directory, err := os.MkdirTemp("", "coldstart")
	if err != nil {
		return table, err
	}
	defer os.RemoveAll(directory)
	f, err := newFleet(bin, directory)
	if err != nil {
		return table, err
	}
	defer f.Stop()
	if err := f.StartAll(ctx); err != nil {
		return table, err
	}
	b := &burst{
		fleet:     f,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: burstCallers}},
		overheads: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	if err := b.run(ctx); err != nil {
		return table, err
	}
	at := func(quantile float64) time.Duration {
		return time.Duration(b.overheads.ValueAtQuantile(quantile)) * time.Microsecond
	}
	answered := burstModels*burstCallers - b.failed
	table.Add(burstModels, burstCallers, burstRouters, answered, b.loads, at(50), at(95), time.Duration(b.overheads.Max())*time.Microsecond)
	return table, nil
}

// newFleet returns a fleet whose engines run a complete burst concurrently and
// have memory for all models, so that no request queues at an engine and no load
// waits for an eviction.
func newFleet(bin, directory string) (*fleet.Fleet, error) {
	size := fleet.Size{VMs: burstRouters, Engines: burstEngines, Models: burstModels}
	if err := fleet.Generate(directory, size); err != nil {
		return nil, err
	}
	changes := []struct{ file, from, to string }{
		{"standin.toml", "max_running = 16", fmt.Sprintf("max_running = %d", burstCallers)},
		{"deployment.toml", "max_replicas = 2", fmt.Sprintf("max_replicas = 2\nmax_concurrency = %d", burstCallers)},
		{"deployment.toml", "memory_bytes = 8000000000", "memory_bytes = 1000000000"},
	}
	for _, change := range changes {
		file := filepath.Join(directory, change.file)
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		changed := strings.ReplaceAll(string(text), change.from, change.to)
		if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
			return nil, err
		}
	}
	running := filepath.Join(directory, "running")
	if err := os.Mkdir(running, 0o700); err != nil {
		return nil, err
	}
	return fleet.New(bin, directory, running)
}

func (b *burst) run(ctx context.Context) error {
	for i := range burstRouters {
		if err := b.fleet.Await(ctx, b.router(i), "/readyz"); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	if err := b.park(ctx); err != nil {
		return err
	}
	for i := range burstModels {
		if err := b.runBurst(ctx, modelName(i)); err != nil {
			return err
		}
	}
	return nil
}

func (b *burst) router(i int) string {
	return b.fleet.Address(fmt.Sprintf("127.0.0.1:%d", 8080+i%burstRouters))
}

func modelName(i int) string {
	return fmt.Sprintf("model-%d", i+1)
}

// park loads each model once and restarts the engines, so that the models are
// unloaded while their slots stay bound and their checkpoints are on disk.
func (b *burst) park(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxParallelLoads)
	for i := range burstModels {
		group.Go(func() error { return b.sendRequest(ctx, b.router(i), modelName(i)) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i := range burstEngines {
		fault := standin.Fault{Kind: standin.FaultRestart, Endpoint: fmt.Sprintf("e-%d", i+1)}
		body, err := json.Marshal(fault)
		if err != nil {
			return err
		}
		if err := b.post(ctx, b.fleet.Address(platformAddress), "/faults", body); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// runBurst sends a burst of requests to a model and records its overheads.
func (b *burst) runBurst(ctx context.Context, model string) error {
	var group errgroup.Group
	var failed atomic.Int32
	sentAt := time.Now()
	for i := range burstCallers {
		group.Go(func() error {
			if err := b.sendRequest(ctx, b.router(i), model); err != nil {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	b.failed += int(failed.Load())
	entries, err := traffic.Journal(ctx, b.fleet.Address(platformAddress))
	if err != nil {
		return err
	}
	b.recordOverheads(model, sentAt, entries)
	return nil
}

// recordOverheads records the overhead of each run: the time from sending the
// burst to the run's start, minus the duration of the load.
func (b *burst) recordOverheads(model string, sentAt time.Time, entries []standin.Entry) {
	var load time.Duration
	var started time.Time
	for _, entry := range entries {
		if entry.Model != model || entry.Time.Before(sentAt) {
			continue
		}
		switch entry.Kind {
		case standin.EntryLoadStart:
			b.loads++
			started = entry.Time
		case standin.EntryLoadEnd:
			load += entry.Time.Sub(started)
		case standin.EntryRunStart:
			overhead := entry.Time.Sub(sentAt) - load
			_ = b.overheads.RecordValue(max(1, overhead.Microseconds()))
		}
	}
}

func (b *burst) sendRequest(ctx context.Context, router, model string) error {
	body, err := json.Marshal(map[string]any{
		"model":      model,
		"messages":   []map[string]string{{"role": "user", "content": "hello"}},
		"max_tokens": 2,
	})
	if err != nil {
		return err
	}
	return b.post(ctx, router, "/v1/chat/completions", body)
}

func (b *burst) post(ctx context.Context, address, target string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("coldstart: %s answered %d: %s", target, resp.StatusCode, response)
	}
	return nil
}
