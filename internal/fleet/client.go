package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/pause"
)

// Holder tells who owns the engines.
type Holder interface {
	// Holder returns the owner's address for other nodes, or "".
	Holder() string
}

// Client speaks with the owner for one node. Its methods are safe for
// concurrent use.
type Client struct {
	Self   string
	Holder Holder
	Meter  *demand.Meter
	Own    *owner.Owner
	Book   *demand.Book
	HTTP   *http.Client
	Log    *slog.Logger

	mu       sync.Mutex
	peers    []string
	expected map[demand.ModelKey]time.Time
	heardAt  time.Time
	// heardFrom is the owner that answered at heardAt.
	heardFrom string
	// failing tells that the last report failed; only Run uses it.
	failing bool
}

// Times of the exchange.
const (
	// reportEvery is the time between reports, reportSoon the least time.
	reportEvery = 250 * time.Millisecond
	reportSoon  = 8 * time.Millisecond
	callTimeout = 500 * time.Millisecond
	// heardKeep is how long the owner counts as alive after an answer.
	heardKeep = 900 * time.Millisecond
	// expectedKeep is how long what the owner said of loads counts.
	expectedKeep = time.Second
)

// initialNodes is taken for the number of nodes until the owner tells it.
const initialNodes = 10

// Nodes returns the number of nodes.
func (c *Client) Nodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peers) == 0 {
		return initialNodes
	}
	return len(c.peers)
}

// Alive reports whether the owner at an address answered lately.
func (c *Client) Alive(peer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heardFrom == peer && time.Since(c.heardAt) < heardKeep
}

// Expected implements relay.Loads.
func (c *Client) Expected(service, model string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.expected[demand.ModelKey{Service: service, Model: model}]
	return at, ok && time.Since(c.heardAt) < expectedKeep
}

// Run reports the demand until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.noteReport(c.report(ctx))
		if !pause.For(ctx, reportSoon) || !pause.Until(ctx, c.Meter.Urgent(), reportEvery-reportSoon) {
			break
		}
	}
	return ctx.Err()
}

// noteReport logs when reports begin to fail, and when they succeed again.
func (c *Client) noteReport(err error) {
	failing := err != nil
	if failing == c.failing {
		return
	}
	c.failing = failing
	if failing {
		c.Log.Info("demand not reported", "owner", c.Holder.Holder(), "error", err)
		return
	}
	c.Log.Info("demand reported again", "owner", c.Holder.Holder())
}

var errNoOwner = errors.New("fleet: no node owns the engines")

// report tells the owner the demand at this node.
func (c *Client) report(ctx context.Context) error {
	report := c.Meter.Report(time.Now())
	holder := c.Holder.Holder()
	var answer DemandAnswer
	switch holder {
	case "":
		return errNoOwner
	case c.Self:
		answer = take(c.Own, c.Book, report)
	default:
		if err := c.call(ctx, holder, demandPath, report, &answer); err != nil {
			return err
		}
	}
	c.heard(holder, answer)
	return nil
}

func (c *Client) heard(from string, answer DemandAnswer) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt, c.heardFrom = now, from
	c.peers = answer.Peers
	c.expected = make(map[demand.ModelKey]time.Time, len(answer.Expected))
	for _, e := range answer.Expected {
		key := demand.ModelKey{Service: e.Service, Model: e.Model}
		c.expected[key] = now.Add(time.Duration(e.InMS) * time.Millisecond)
	}
}

// EnsureAdapter implements relay.Adapters.
func (c *Client) EnsureAdapter(ctx context.Context, service, model, adapter string) (string, time.Time, error) {
	holder := c.Holder.Holder()
	if holder == "" {
		return "", time.Time{}, errNoOwner
	}
	if holder == c.Self {
		return c.Own.EnsureAdapter(ctx, service, model, adapter)
	}
	var answer AdapterAnswer
	err := c.call(ctx, holder, adapterPath, AdapterRequest{Service: service, Model: model, Adapter: adapter}, &answer)
	return answer.Engine, time.Now().Add(time.Duration(answer.ReadyMS) * time.Millisecond), err
}

// call makes a call that is answered at once.
func (c *Client) call(ctx context.Context, to, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.exchange(ctx, to, path, body, answer)
}

func (c *Client) exchange(ctx context.Context, to, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("fleet: encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("fleet: request: %w", err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkStatus(resp, to); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(answer); err != nil {
		return fmt.Errorf("fleet: decode: %w", err)
	}
	return nil
}
