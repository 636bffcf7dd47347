package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"chestnutgauge/internal/standin"
)

// Limits are the operators' replica limits by model.
type Limits map[string]int

// Summary counts how requests ended, and lists what broke a promise.
type Summary struct {
	Requests, Whole, Refused, Failed, Resent int
	// Breaks tells of each sending that broke after a connection was made.
	Breaks []string
	// Codes counts refusals and failures by code and run.
	Codes map[string]int
	// Violations tell each broken promise.
	Violations []string
}

// Check compares records with the journal.
func Check(records []Record, entries []standin.Entry, limits Limits, tokens int) Summary {
	s := Summary{Requests: len(records), Codes: map[string]int{}}
	peaks := standin.Measure(entries)
	for _, record := range records {
		s.count(record)
		s.checkAnswer(record, tokens)
		s.checkRuns(record, peaks.Runs)
	}
	for model, limit := range limits {
		if peaks.Replicas[model] > limit {
			s.violate("model %s had %d replicas loaded or loading, limit %d", model, peaks.Replicas[model], limit)
		}
	}
	for _, endpoint := range peaks.Overcommitted {
		s.violate("memory of %s was overcommitted", endpoint)
	}
	slices.Sort(s.Violations)
	return s
}

func (s *Summary) violate(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

func (s *Summary) count(record Record) {
	switch {
	case record.Whole:
		s.Whole++
	case record.Run == "not_run":
		s.Refused++
	default:
		s.Failed++
	}
	s.Breaks = append(s.Breaks, record.Breaks...)
	if record.Sends > 1 {
		s.Resent++
	}
	if record.Code != "" {
		s.Codes[record.Code+"/"+record.Run]++
	}
}

// checkAnswer checks that the caller got an end, and its own whole text.
func (s *Summary) checkAnswer(record Record, tokens int) {
	if record.Silent {
		s.violate("request %s (%s) got no end", record.Key, record.Mix.Target)
		return
	}
	want := expected(record, tokens)
	switch {
	case record.Whole && record.Text != want:
		s.violate("request %s (%s) got %q, want %q", record.Key, record.Mix.Target, record.Text, want)
	case !record.Whole && record.Run != "not_run" && record.Run != "ran" && record.Run != "unknown":
		s.violate("request %s (%s) ended with %q, which says nothing about the run", record.Key, record.Mix.Target, record.Code)
	}
}

// expected returns the whole answer to a request.
func expected(record Record, tokens int) string {
	if record.Mix.Kind == Service {
		return record.Prompt
	}
	messages, _ := json.Marshal([]struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{{"user", record.Prompt}})
	model, adapter := record.Mix.Target, ""
	if record.Mix.Adapted != "" {
		model, adapter = record.Mix.Adapted, record.Mix.Target
	}
	return standin.AnswerText(model, adapter, string(messages), tokens)
}

// checkRuns checks what a caller was told against the executions of its keys.
func (s *Summary) checkRuns(record Record, runs map[string]int) {
	all := 0
	for send := 1; send <= record.Sends; send++ {
		all += runs[record.sendKey(send)]
		if record.once() {
			break
		}
	}
	if record.once() && all > 1 {
		s.violate("request %s (%s) may not be repeated and ran %d times", record.Key, record.Mix.Target, all)
	}
	if last := runs[record.SendKey()]; record.Run == "not_run" && last > 0 {
		s.violate("request %s (%s) was told not_run (%s) and ran %d times", record.Key, record.Mix.Target, record.Code, last)
	}
	if record.Whole && all == 0 {
		s.violate("request %s (%s) was answered and never ran", record.Key, record.Mix.Target)
	}
}

// Journal reads the stand-in's journal.
func Journal(ctx context.Context, address string) ([]standin.Entry, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/journal", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var entries []standin.Entry
	decoder := json.NewDecoder(resp.Body)
	for decoder.More() {
		var entry standin.Entry
		if err := decoder.Decode(&entry); err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
