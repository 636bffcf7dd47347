// Package path measures the system's own share of the time to the first token,
// cold and warm, against running processes.
package path

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/bench/traffic"
	"chestnutgauge/internal/standin"
)

// Settings of the measurement.
type Settings struct {
	// Callers is the address of a router, Platform that of the stand-in.
	Callers  string
	Platform string
	// Models are asked for once cold and then Warm times warm.
	Models []string
	Warm   int
	// Engines maps an engine to the time it takes to its first token.
	Engines map[string]time.Duration
}

// sample is the time to the first token of one request.
type sample struct {
	model    string
	received time.Time
	first    time.Duration
}

// Run measures.
func Run(ctx context.Context, s Settings) (report.Table, error) {
	table := report.Table{
		Title:   "Own share of the time to the first token",
		Columns: []string{"request", "n", "p50", "p95", "max"},
	}
	var cold, warm []sample
	for _, model := range s.Models {
		one, err := ask(ctx, s.Callers, model)
		if err != nil {
			return table, err
		}
		cold = append(cold, one)
		for range s.Warm {
			one, err := ask(ctx, s.Callers, model)
			if err != nil {
				return table, err
			}
			warm = append(warm, one)
		}
	}
	entries, err := traffic.Journal(ctx, s.Platform)
	if err != nil {
		return table, err
	}
	add(&table, "cold", cold, entries, s.Engines)
	add(&table, "warm", warm, entries, s.Engines)
	return table, nil
}

func add(table *report.Table, name string, samples []sample, entries []standin.Entry, engines map[string]time.Duration) {
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, one := range samples {
		own := one.first - outside(one, entries, engines)
		_ = histogram.RecordValue(max(1, own.Microseconds()))
	}
	at := func(quantile float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond
	}
	table.Add(name, len(samples), at(50), at(95), time.Duration(histogram.Max())*time.Microsecond)
}

// outside returns the time that the engine spent on a request: on the load
// that the request waited for, and to the first token.
func outside(one sample, entries []standin.Entry, engines map[string]time.Duration) time.Duration {
	var spent time.Duration
	var loadStart time.Time
	end := one.received.Add(one.first)
	for _, entry := range entries {
		if entry.Model != one.model || entry.Time.Before(one.received) || entry.Time.After(end) {
			continue
		}
		switch entry.Kind {
		case standin.EntryLoadStart:
			loadStart = entry.Time
		case standin.EntryLoadEnd:
			spent += entry.Time.Sub(loadStart)
		case standin.EntryRunStart:
			spent += engines[entry.Endpoint]
		}
	}
	return spent
}

func ask(ctx context.Context, address, model string) (sample, error) {
	body, err := json.Marshal(map[string]any{
		"model":      model,
		"messages":   []map[string]string{{"role": "user", "content": "hello"}},
		"max_tokens": 2,
		"stream":     true,
	})
	if err != nil {
		return sample{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return sample{}, err
	}
	one := sample{model: model, received: time.Now()}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return one, err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	whole := false
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "data: {") && one.first == 0 {
			one.first = time.Since(one.received)
		}
		whole = whole || line == "data: [DONE]"
	}
	if !whole {
		return one, fmt.Errorf("path: answer of %s is not whole: status %d", model, resp.StatusCode)
	}
	return one, scanner.Err()
}
