package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"chestnutgauge/internal/standin"
)

// Limits maps models to their maximum number of replicas.
type Limits map[string]int

// Summary counts the outcomes of requests and lists violations.
type Summary struct {
	Requests, Complete, Refused, Failed, Retried int
	// ConnectionErrors describes each attempt that failed after its connection was
	// established.
	ConnectionErrors []string
	// Codes counts refusals and failures by "code/run".
	Codes map[string]int
	// Violations describes each violated guarantee.
	Violations []string
}

// Check checks records against the stand-in's journal. tokens is the length of
// each response.
func Check(records []Record, entries []standin.Entry, limits Limits, tokens int) Summary {
	s := Summary{Requests: len(records), Codes: map[string]int{}}
	peaks := standin.Measure(entries)
	for _, record := range records {
		s.count(record)
		s.checkResponse(record, tokens)
		s.checkRuns(record, peaks.Runs)
	}
	for model, limit := range limits {
		if peaks.Replicas[model] > limit {
			s.addViolation("model %s had %d replicas loaded or loading, limit %d", model, peaks.Replicas[model], limit)
		}
	}
	for _, endpoint := range peaks.Overcommitted {
		s.addViolation("memory of %s was overcommitted", endpoint)
	}
	slices.Sort(s.Violations)
	return s
}

func (s *Summary) addViolation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

func (s *Summary) count(record Record) {
	switch {
	case record.Complete:
		s.Complete++
	case record.Run == "not_run":
		s.Refused++
	default:
		s.Failed++
	}
	s.ConnectionErrors = append(s.ConnectionErrors, record.ConnectionErrors...)
	if record.Attempts > 1 {
		s.Retried++
	}
	if record.Code != "" {
		s.Codes[record.Code+"/"+record.Run]++
	}
}

// checkResponse checks that the request ended, that a complete response has the
// expected text, and that an error states whether the request ran.
func (s *Summary) checkResponse(record Record, tokens int) {
	if record.Unfinished {
		s.addViolation("request %s (%s) did not end in time", record.Key, record.Mix.Target)
		return
	}
	want := expectedText(record, tokens)
	switch {
	case record.Complete && record.Text != want:
		s.addViolation("request %s (%s) got %q, want %q", record.Key, record.Mix.Target, record.Text, want)
	case !record.Complete && record.Run != "not_run" && record.Run != "ran" && record.Run != "unknown":
		s.addViolation("request %s (%s) ended with %q, which does not state whether it ran", record.Key, record.Mix.Target, record.Code)
	}
}

// expectedText returns the text of a complete response to a request.
func expectedText(record Record, tokens int) string {
	if record.Mix.Kind == Service {
		return record.Prompt
	}
	messages, _ := json.Marshal([]struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{{"user", record.Prompt}})
	model, adapter := record.Mix.Target, ""
	if record.Mix.BaseModel != "" {
		model, adapter = record.Mix.BaseModel, record.Mix.Target
	}
	return standin.AnswerText(model, adapter, string(messages), tokens)
}

// checkRuns checks the reported outcome against the executions of the request's
// keys.
func (s *Summary) checkRuns(record Record, runs map[string]int) {
	total := 0
	for attempt := 1; attempt <= record.Attempts; attempt++ {
		total += runs[record.attemptKey(attempt)]
		if record.nonIdempotent() {
			break
		}
	}
	if record.nonIdempotent() && total > 1 {
		s.addViolation("request %s (%s) may not be repeated and ran %d times", record.Key, record.Mix.Target, total)
	}
	if last := runs[record.AttemptKey()]; record.Run == "not_run" && last > 0 {
		s.addViolation("request %s (%s) was reported as not_run (%s) and ran %d times", record.Key, record.Mix.Target, record.Code, last)
	}
	if record.Complete && total == 0 {
		s.addViolation("request %s (%s) was answered and never ran", record.Key, record.Mix.Target)
	}
}

// Journal fetches the journal of the stand-in at address.
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
