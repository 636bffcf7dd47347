// Package speed measures the processor time that a running router spends on a
// request and on a streamed chunk, sockets included.
package speed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutgauge/internal/bench/report"
)

// Settings of the measurement.
type Settings struct {
	// Callers is the address of a router, PIDFile the file with its process id.
	Callers string
	PIDFile string
	Models  []string
	// Requests are sent with an answer of one token each, Streams with answers
	// of Tokens tokens. Beside bounds those in flight.
	Requests int
	Streams  int
	Tokens   int
	Beside   int
}

// tick is the unit of processor times in /proc.
const tick = 10 * time.Millisecond

// client keeps its connections, as a balancer does.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// Shares of an entry VM that one core must carry ten times over.
const (
	targetRequests = 160
	targetTokens   = 57000
)

// Run measures.
func Run(ctx context.Context, s Settings) (report.Table, error) {
	table := report.Table{
		Title:   "Processor time of the router process",
		Columns: []string{"what", "n", "each", "at the target, cores"},
	}
	for _, model := range s.Models {
		if _, err := ask(ctx, s.Callers, model, 1, false); err != nil {
			return table, err
		}
	}
	request, err := phase(ctx, s, s.Requests, 1, false)
	if err != nil {
		return table, err
	}
	stream, err := phase(ctx, s, s.Streams, s.Tokens, true)
	if err != nil {
		return table, err
	}
	perRequest := request.spent / time.Duration(s.Requests)
	perChunk := (stream.spent - perRequest*time.Duration(s.Streams)) / time.Duration(stream.chunks)
	table.Add("request", s.Requests, perRequest, perRequest.Seconds()*targetRequests)
	table.Add("streamed chunk", stream.chunks, perChunk, perChunk.Seconds()*targetTokens)
	table.Add("both", "", "", perRequest.Seconds()*targetRequests+perChunk.Seconds()*targetTokens)
	return table, nil
}

// result of a phase.
type result struct {
	spent  time.Duration
	chunks int
}

// phase sends n requests and reads what the router spent on them.
func phase(ctx context.Context, s Settings, n, tokens int, stream bool) (result, error) {
	before, err := processorTime(s.PIDFile)
	if err != nil {
		return result{}, err
	}
	counts := make([]int, n)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(s.Beside)
	for i := range n {
		group.Go(func() error {
			count, err := ask(ctx, s.Callers, s.Models[i%len(s.Models)], tokens, stream)
			counts[i] = count
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return result{}, err
	}
	after, err := processorTime(s.PIDFile)
	if err != nil {
		return result{}, err
	}
	out := result{spent: after - before}
	for _, count := range counts {
		out.chunks += count
	}
	return out, nil
}

// processorTime reads the time that a process has spent, from /proc.
func processorTime(pidFile string) (time.Duration, error) {
	pid, err := os.ReadFile(pidFile)
	if err != nil {
		return 0, err
	}
	stat, err := os.ReadFile("/proc/" + strings.TrimSpace(string(pid)) + "/stat")
	if err != nil {
		return 0, err
	}
	// The second field is the name in parentheses; user and system time are
	// the 14th and 15th.
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, fmt.Errorf("speed: unexpected form of /proc stat: %q", stat)
	}
	var ticks int64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * tick, nil
}

// ask sends one request and returns the number of chunks of its answer.
func ask(ctx context.Context, callers, model string, tokens int, stream bool) (int, error) {
	body, err := json.Marshal(map[string]any{
		"model":      model,
		"messages":   []map[string]string{{"role": "user", "content": "hello"}},
		"max_tokens": tokens,
		"stream":     stream,
	})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return 0, fmt.Errorf("speed: %s: %s", resp.Status, text)
	}
	chunks := 0
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") {
			chunks++
		}
	}
	return chunks, lines.Err()
}
