// Package coldstart measures cold starts: the system's own share for a burst
// of callers, and the order of loads in a storm of cold models.
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

// Sizes of the burst.
const (
	burstRouters = 8
	burstEngines = 4
	burstModels  = 20
	burstCallers = 64
	// wakesAtOnce bounds the first loads that fill the engines' disks.
	wakesAtOnce = 8
	settleTime  = 3 * time.Second
)

// platformAddress is where a generated example has the stand-in.
const platformAddress = "127.0.0.1:8070"

// burst is the measurement of bursts.
type burst struct {
	fleet  *fleet.Fleet
	client *http.Client
	shares *hdrhistogram.Histogram
	loads  int
	failed int
}

// Burst runs processes on loopback, parks models and sends a burst of callers
// over all routers to each.
func Burst(ctx context.Context, bin string) (report.Table, error) {
	table := report.Table{
		Title:   "Burst to one parked model",
		Columns: []string{"bursts", "callers each", "routers", "answered", "loads", "own share p50", "p95", "max"},
	}
	directory, err := os.MkdirTemp("", "coldstart")
	if err != nil {
		return table, err
	}
	defer os.RemoveAll(directory)
	f, err := generated(bin, directory)
	if err != nil {
		return table, err
	}
	defer f.Stop()
	if err := f.StartAll(ctx); err != nil {
		return table, err
	}
	b := &burst{
		fleet:  f,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: burstCallers}},
		shares: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	if err := b.run(ctx); err != nil {
		return table, err
	}
	at := func(quantile float64) time.Duration {
		return time.Duration(b.shares.ValueAtQuantile(quantile)) * time.Microsecond
	}
	answered := burstModels*burstCallers - b.failed
	table.Add(burstModels, burstCallers, burstRouters, answered, b.loads, at(50), at(95), time.Duration(b.shares.Max())*time.Microsecond)
	return table, nil
}

// generated returns a fleet whose engines and models take a whole burst at
// once, and whose memory holds all models, so that no caller waits in a queue
// of the engine and no model for an eviction.
func generated(bin, directory string) (*fleet.Fleet, error) {
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
		if err := b.one(ctx, modelName(i)); err != nil {
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

// park loads each model once and restarts the engines: the slots stay bound
// and the checkpoints are on the disks.
func (b *burst) park(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(wakesAtOnce)
	for i := range burstModels {
		group.Go(func() error { return b.ask(ctx, b.router(i), modelName(i)) })
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

// one sends a burst and adds its shares.
func (b *burst) one(ctx context.Context, model string) error {
	var group errgroup.Group
	var failed atomic.Int32
	begun := time.Now()
	for i := range burstCallers {
		group.Go(func() error {
			if err := b.ask(ctx, b.router(i), model); err != nil {
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
	b.add(model, begun, entries)
	return nil
}

// add takes each run's share: the time from the sending of the burst to the
// run's start, less the load.
func (b *burst) add(model string, begun time.Time, entries []standin.Entry) {
	var load time.Duration
	var started time.Time
	for _, entry := range entries {
		if entry.Model != model || entry.Time.Before(begun) {
			continue
		}
		switch entry.Kind {
		case standin.EntryLoadStart:
			b.loads++
			started = entry.Time
		case standin.EntryLoadEnd:
			load += entry.Time.Sub(started)
		case standin.EntryRunStart:
			share := entry.Time.Sub(begun) - load
			_ = b.shares.RecordValue(max(1, share.Microseconds()))
		}
	}
}

func (b *burst) ask(ctx context.Context, router, model string) error {
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("coldstart: %s answered %d: %s", target, resp.StatusCode, answer)
	}
	return nil
}
