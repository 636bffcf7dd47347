// Package traffic sends mixed requests to routers, keeps a record of what each
// caller was told, and checks the records against the stand-in's journal.
package traffic

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"chestnutgauge/internal/standin"
)

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	Interactive Kind = "interactive"
	Batch       Kind = "batch"
	Once        Kind = "once"
	Service     Kind = "service"
)

// Mix is a weighted kind of request to a model or service.
type Mix struct {
	Kind   Kind
	Target string
	// Adapted is the model when Target is an adapter.
	Adapted string
	Weight  int
	Stream  bool
}

// Settings of the traffic.
type Settings struct {
	// Routers are the addresses of routers. A caller whose connection breaks
	// goes on at the next.
	Routers []string
	Mixes   []Mix
	// Callers is the number of callers that send at once.
	Callers int
	// Pause is the mean time between two requests of a caller.
	Pause time.Duration
	// Deadline of each request.
	Deadline time.Duration
	Tokens   int
	Seed     uint64
}

// Record is what one caller was told.
type Record struct {
	Key    string
	Mix    Mix
	Prompt string
	// Whole means that the answer ended with its end marker.
	Whole bool
	Text  string
	// Run is what a refusal or failure said: not_run, ran or unknown.
	Run  string
	Code string
	// Sends is the number of times that the caller sent the request. A request
	// that may be repeated is sent under a key of its own each time, so that
	// what a refusal says speaks of one sending.
	Sends int
	// Breaks tells of each sending that broke after a connection was made.
	Breaks []string
	// Silent means that no router gave an end within the deadline and the
	// allowance.
	Silent bool
}

// SendKey returns the key of the request's last sending.
func (r Record) SendKey() string {
	return r.sendKey(r.Sends)
}

func (r Record) sendKey(send int) string {
	if r.once() {
		return r.Key
	}
	return fmt.Sprintf("%s/%d", r.Key, send)
}

// once reports whether the request may not be repeated.
func (r Record) once() bool {
	return r.Mix.Kind == Once || r.Mix.Kind == Service
}

// allowance is the time beyond the deadline after which a request without an
// end counts as silent.
const allowance = 15 * time.Second

// Run sends requests until ctx ends, lets those in flight finish, and returns
// the records.
func Run(ctx context.Context, s Settings) []Record {
	var mu sync.Mutex
	var records []Record
	var callers sync.WaitGroup
	for number := range s.Callers {
		callers.Go(func() {
			c := newCaller(s, number)
			for ctx.Err() == nil {
				record := c.request(context.WithoutCancel(ctx))
				mu.Lock()
				records = append(records, record)
				mu.Unlock()
				select {
				case <-time.After(s.Pause/2 + rand.N(s.Pause)):
				case <-ctx.Done():
				}
			}
		})
	}
	callers.Wait()
	return records
}

// caller sends requests one after another.
type caller struct {
	settings Settings
	number   int
	sent     int
	rng      *rand.Rand
	client   *http.Client
}

func newCaller(s Settings, number int) *caller {
	return &caller{
		settings: s,
		number:   number,
		rng:      rand.New(rand.NewPCG(s.Seed, uint64(number))),
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (c *caller) pick() Mix {
	total := 0
	for _, mix := range c.settings.Mixes {
		total += mix.Weight
	}
	n := c.rng.IntN(total)
	for _, mix := range c.settings.Mixes {
		if n -= mix.Weight; n < 0 {
			return mix
		}
	}
	return c.settings.Mixes[0]
}

// request sends one request until it has an end: a whole answer, or a refusal
// or failure that a router told. A broken connection is no end; the caller
// sends again to the next router, with the same key and, for a stream, from
// where it broke.
func (c *caller) request(ctx context.Context) Record {
	c.sent++
	key := fmt.Sprintf("k-%d-%d", c.number, c.sent)
	record := Record{Key: key, Mix: c.pick(), Prompt: "prompt of " + key}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Deadline+allowance)
	defer cancel()
	router := c.rng.IntN(len(c.settings.Routers))
	lastEvent := ""
	for {
		record.Sends++
		ended := c.send(ctx, c.settings.Routers[router%len(c.settings.Routers)], &record, &lastEvent)
		if ended {
			return record
		}
		if ctx.Err() != nil {
			record.Silent = true
			return record
		}
		router++
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// send makes one try and reports whether the request has an end.
func (c *caller) send(ctx context.Context, router string, record *Record, lastEvent *string) bool {
	req, err := c.build(ctx, router, record, *lastEvent)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		record.noteBreak(err)
		return false
	}
	defer resp.Body.Close()
	ended := readAnswer(resp, record, lastEvent)
	if !ended {
		record.Breaks = append(record.Breaks, fmt.Sprintf("answer %d without its end", resp.StatusCode))
	}
	return ended
}

// noteBreak notes a call that failed after its connection was made.
func (r *Record) noteBreak(err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return
	}
	r.Breaks = append(r.Breaks, err.Error())
}

// readAnswer reads an answer and reports whether the request has an end.
func readAnswer(resp *http.Response, record *Record, lastEvent *string) bool {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp.Body, record, lastEvent)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	if resp.StatusCode != http.StatusOK {
		return readError(body, record)
	}
	return readWhole(body, record)
}

func (c *caller) build(ctx context.Context, router string, record *Record, lastEvent string) (*http.Request, error) {
	url := "http://" + router + "/v1/chat/completions"
	body := record.Prompt
	if record.Mix.Kind == Service {
		url = "http://" + router + "/v1/services/" + record.Mix.Target + "/confirm"
	} else {
		encoded, err := json.Marshal(map[string]any{
			"model":      record.Mix.Target,
			"messages":   []map[string]string{{"role": "user", "content": record.Prompt}},
			"max_tokens": c.settings.Tokens,
			"stream":     record.Mix.Stream,
		})
		if err != nil {
			return nil, err
		}
		body = string(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", record.SendKey())
	req.Header.Set("X-Organisation", fmt.Sprintf("organisation-%d", c.number%3))
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.settings.Deadline.Milliseconds(), 10))
	if lastEvent != "" {
		req.Header.Set("Last-Event-ID", lastEvent)
	}
	return req, nil
}

// readStream reads events. Without [DONE] or an error event the stream broke.
func readStream(body io.Reader, record *Record, lastEvent *string) bool {
	scanner := bufio.NewScanner(body)
	id, failed := "", false
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "data: [DONE]":
			record.Whole = true
			return true
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case line == "event: error":
			failed = true
		case strings.HasPrefix(line, "data: ") && failed:
			return readError([]byte(strings.TrimPrefix(line, "data: ")), record)
		case strings.HasPrefix(line, "data: "):
			var chunk struct {
				Choices []struct {
					Delta struct{ Content string }
				}
			}
			if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk) != nil || len(chunk.Choices) == 0 {
				return false
			}
			record.Text += chunk.Choices[0].Delta.Content
			*lastEvent = id
		}
	}
	return false
}

func readError(body []byte, record *Record) bool {
	var parsed struct {
		Error struct {
			Code string
			Run  string
		}
	}
	if json.Unmarshal(body, &parsed) != nil || parsed.Error.Code == "" {
		return false
	}
	record.Code, record.Run = parsed.Error.Code, parsed.Error.Run
	return true
}

func readWhole(body []byte, record *Record) bool {
	if record.Mix.Kind == Service {
		var reply standin.ServiceReply
		if json.Unmarshal(body, &reply) != nil {
			return false
		}
		record.Text, record.Whole = reply.Body, true
		return true
	}
	var parsed struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if json.Unmarshal(body, &parsed) != nil || len(parsed.Choices) == 0 {
		return false
	}
	record.Text, record.Whole = parsed.Choices[0].Message.Content, true
	return true
}
