// Package path measures the system's overhead in the time to the first token, cold
// and warm, with running processes.
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
	// Models are each requested once cold and then Warm times warm.
	Models []string
	Warm   int
	// Engines maps engine names to their time to the first token.
	Engines map[string]time.Duration
}

// sample is the time to the first token of one request.
type sample struct {
	model      string
	sentAt     time.Time
	firstToken time.Duration
}

// Run sends the requests and returns the table of results.
func Run(ctx context.Context, s Settings) (report.Table, error) {
	table := report.Table{
		Title:   "Overhead in the time to the first token",
		Columns: []string{"request", "n", "p50", "p95", "max"},
	}
	var cold, warm []sample
	for _, model := range s.Models {
		measured, err := sendRequest(ctx, s.Callers, model)
		if err != nil {
			return table, err
		}
		cold = append(cold, measured)
		for range s.Warm {
			measured, err := sendRequest(ctx, s.Callers, model)
			if err != nil {
				return table, err
			}
			warm = append(warm, measured)
		}
	}
	entries, err := traffic.Journal(ctx, s.Platform)
	if err != nil {
		return table, err
	}
	addRow(&table, "cold", cold, entries, s.Engines)
	addRow(&table, "warm", warm, entries, s.Engines)
	return table, nil
}

func addRow(table *report.Table, name string, samples []sample, entries []standin.Entry, engines map[string]time.Duration) {
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, measured := range samples {
		overhead := measured.firstToken - engineTime(measured, entries, engines)
		_ = histogram.RecordValue(max(1, overhead.Microseconds()))
	}
	at := func(quantile float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond
	}
	table.Add(name, len(samples), at(50), at(95), time.Duration(histogram.Max())*time.Microsecond)
}

// engineTime returns the time that the engine spent on a request: the load that
// the request waited for and the time to the first token.
func engineTime(measured sample, entries []standin.Entry, engines map[string]time.Duration) time.Duration {
	var spent time.Duration
	var loadStart time.Time
	end := measured.sentAt.Add(measured.firstToken)
	for _, entry := range entries {
		if entry.Model != measured.model || entry.Time.Before(measured.sentAt) || entry.Time.After(end) {
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

func sendRequest(ctx context.Context, address, model string) (sample, error) {
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
	measured := sample{model: model, sentAt: time.Now()}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return measured, err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	complete := false
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "data: {") && measured.firstToken == 0 {
			measured.firstToken = time.Since(measured.sentAt)
		}
		complete = complete || line == "data: [DONE]"
	}
	if !complete {
		return measured, fmt.Errorf("path: truncated response from %s: status %d", model, resp.StatusCode)
	}
	return measured, scanner.Err()
}
