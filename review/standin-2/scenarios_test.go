//go:build review

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

var zones = []string{"north-a", "north-b", "north-c"}

// manifestModel is a model in the manifest.
func manifestModel(name string, adapters int) map[string]any {
	return map[string]any{"name": name, "weightsMb": 34300.0, "loadTimeS": 6.0, "adapters": adapters, "adapterSizeMb": 40.0, "warmS": 0.28, "diskS": 0.4}
}

// manifest has a route of a model service.
func manifest(prefix string, attempts int, models []map[string]any) string {
	text, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-stream", "host": "ficu95.example", "prefix": prefix, "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400,
			"priority": 0, "service": "pool", "maxAttempts": attempts, "sticky": true, "resumable": true, "gapTargetMs": 400,
		}},
		"services": []map[string]any{{
			"name": "pool", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCacheTokens": 232000, "kvTokenBytes": 327680, "linkMbps": 550000.0, "weightsMb": 200000.0, "maxAdapters": 8,
				"loadsPerS": 4.5, "hostMemoryMb": 130000.0, "diskMb": 1200000.0, "models": models,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return string(text)
}

// adaptersScenario asks for many adapters, more than the engines have room for, and from time to time
// kills the machine that orders the engines, right after an engine has accepted a load. The rule is broken
// if an engine is ordered to load more adapters than it may hold.
func adaptersScenario(ctx context.Context, s *system) (int, error) {
	const (
		engines, models, adaptersOfModel = 12, 4, 42
		interval                         = 6 * time.Millisecond
		kills                            = 36
		killInterval                     = 2500 * time.Millisecond
	)
	var names []string
	var described []map[string]any
	for i := range models {
		names = append(names, fmt.Sprintf("daka51%d", i))
		described = append(described, manifestModel(names[i], adaptersOfModel))
	}
	if err := s.begin(6, zones, manifest("/lohu930/", 2, described)); err != nil {
		return 0, err
	}
	p := &pool{service: "pool", maxAdapters: 8, store: s.store, record: s.record}
	var mu sync.Mutex
	breaches := 0
	for i := range engines {
		address, err := s.address(100 + i)
		if err != nil {
			return 0, err
		}
		e := newEngine(p, address, zones[i%len(zones)], 64, names...)
		e.events = 20
		e.overLimit = func(_ *engine, _, text string) {
			mu.Lock()
			defer mu.Unlock()
			breaches++
			s.record.line("LIMIT broken: %s", text)
		}
		if err := e.start(names...); err != nil {
			return 0, err
		}
	}
	if err := s.startNodes(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go every(ctx, interval, func(i int) {
		n := s.pick()
		if n == nil {
			return
		}
		model := fmt.Sprintf("%s/a%d", names[rand.IntN(models)], 1+rand.IntN(adaptersOfModel))
		s.send(n, request{method: http.MethodPost, host: "ficu95.example", path: "/lohu930/2f", model: model, usage: "646,70",
			parts: fmt.Sprintf("5c1e07a2:155,%08x:491", rand.Uint32()), deadline: 6 * time.Second})
	})
	for range kills {
		select {
		case <-time.After(killInterval):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		if !s.trouble {
			continue
		}
		// The machine is killed right after an engine has accepted its order for an adapter.
		given := p.nextLoad()
		select {
		case <-given:
		case <-time.After(killInterval):
		}
		p.mu.Lock()
		owner := named(s.nodes, p.lastHolder)
		p.mu.Unlock()
		if owner == nil {
			s.record.line("no machine has given an order")
			continue
		}
		s.record.line("SIGKILL of %s, which gave the last order", owner.name)
		owner.kill()
		time.Sleep(restartDelay)
		if err := owner.start(); err != nil {
			return 0, err
		}
		s.record.line("%s starts again", owner.name)
	}
	time.Sleep(killInterval)
	cancel()
	mu.Lock()
	defer mu.Unlock()
	s.record.line("orders beyond maxAdapters: %d", breaches)
	if breaches > 0 {
		return broken, nil
	}
	return held, nil
}

// partsScenario sends clumps of requests with a part that crashes engines, beside sound ones, and kills
// all nodes at once between two clumps. The rule is broken if more than three of these requests reach
// engines, sent by machines in touch later than contactMs after the fifth crash.
func partsScenario(ctx context.Context, s *system) (int, error) {
	const (
		engines     = 12
		bad         = "9f00dead"
		clump       = 6
		allowed     = 3
		clumpPeriod = 8 * time.Second
		clumps      = 6
	)
	if err := s.begin(6, zones, manifest("/lohu930/", 2, []map[string]any{manifestModel("daka510000", 0)})); err != nil {
		return 0, err
	}
	p := &pool{service: "pool", maxAdapters: 8, store: s.store, record: s.record}
	var mu sync.Mutex
	var crashes []time.Time
	late, total, killed := 0, 0, false
	hasBad := func(r *http.Request) bool {
		parts := strings.Split(r.Header.Get("Chestnutgauge-Prompt-Prefix"), ",")
		for _, part := range parts[:len(parts)-1] {
			if strings.HasPrefix(part, bad+":") {
				return true
			}
		}
		return false
	}
	sentBy := map[string]*node{}
	for i := range engines {
		address, err := s.address(100 + i)
		if err != nil {
			return 0, err
		}
		e := newEngine(p, address, zones[i%len(zones)], 64, "daka510000")
		e.arrived = func(e *engine, r *http.Request) {
			if !hasBad(r) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			total++
			n, now := sentBy[r.Header.Get("Chestnutgauge-Prompt-Prefix")], time.Now()
			after := len(crashes) >= 5 && now.Sub(crashes[4]) > contactTime
			counts := after && n != nil && n.inTouch(now)
			if counts {
				late++
			}
			s.record.line("request %s with the bad part reaches %s; crashes so far %d, counts: %v", r.Header.Get("Chestnutgauge-Request-Id"), e.id, len(crashes), counts)
		}
		e.crashesOn = func(r *http.Request) bool {
			if !hasBad(r) {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			return true
		}
		if err := e.start("daka510000"); err != nil {
			return 0, err
		}
	}
	if err := s.startNodes(); err != nil {
		return 0, err
	}
	time.Sleep(contactTime)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go every(ctx, 30*time.Millisecond, func(i int) {
		if n := s.pick(); n != nil {
			s.send(n, request{method: http.MethodPost, host: "ficu95.example", path: "/lohu930/2f", model: "daka510000", usage: "646,70",
				parts: fmt.Sprintf("5c1e07a2:155,%08x:491", rand.Uint32()), deadline: 6 * time.Second})
		}
	})
	for c := range clumps {
		select {
		case <-time.After(clumpPeriod / 2):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		s.record.line("clump %d: %d requests with the bad part, one at each machine", c+1, clump)
		for i := range clump {
			n := s.nodes[i%len(s.nodes)]
			parts := fmt.Sprintf("5c1e07a2:155,%s:200,%08x:291", bad, rand.Uint32())
			mu.Lock()
			sentBy[parts] = n
			mu.Unlock()
			go func() {
				status, _ := s.send(n, request{method: http.MethodPost, host: "ficu95.example", path: "/lohu930/2f", model: "daka510000", usage: "646,70",
					parts: parts, deadline: 6 * time.Second})
				s.record.line("a request with the bad part at %s is answered %d", n.name, status)
			}()
		}
		select {
		case <-time.After(clumpPeriod / 2):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		mu.Lock()
		enough := len(crashes) >= 5
		mu.Unlock()
		if s.trouble && enough && !killed {
			killed = true
			s.record.line("SIGKILL of all machines' processes at once")
			for _, n := range s.nodes {
				n.kill()
			}
			time.Sleep(restartDelay)
			for _, n := range s.nodes {
				if err := n.start(); err != nil {
					return 0, err
				}
			}
			s.record.line("all processes start again")
		}
	}
	cancel()
	mu.Lock()
	defer mu.Unlock()
	s.record.line("crashes %d, requests with the bad part at engines %d, of these by machines in touch later than contactMs after the fifth crash %d (allowed %d)",
		len(crashes), total, late, allowed)
	if late > allowed {
		return broken, nil
	}
	return held, nil
}

// slashesScenario sends requests for a route whose prefix is a slash. The rule is broken if an engine
// runs one with another path than its caller sent.
func slashesScenario(ctx context.Context, s *system) (int, error) {
	const requests = 40
	if err := s.begin(3, zones, manifest("/", 1, []map[string]any{manifestModel("daka510000", 0)})); err != nil {
		return 0, err
	}
	p := &pool{service: "pool", maxAdapters: 8, store: s.store, record: s.record}
	var mu sync.Mutex
	sent, changed := map[string]string{}, 0
	for i := range 3 {
		address, err := s.address(100 + i)
		if err != nil {
			return 0, err
		}
		e := newEngine(p, address, zones[i%len(zones)], 64, "daka510000")
		e.arrived = func(e *engine, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			want := sent[r.Header.Get("Chestnutgauge-Prompt-Prefix")]
			s.record.line("engine %s runs %s %s of host %s, sent as %s", e.id, r.Method, r.RequestURI, r.Host, want)
			if r.RequestURI != want {
				changed++
				s.record.line("UNASKED broken: the path %s became %s", want, r.RequestURI)
			}
		}
		if err := e.start("daka510000"); err != nil {
			return 0, err
		}
	}
	if err := s.startNodes(); err != nil {
		return 0, err
	}
	for i := range requests {
		path := fmt.Sprintf("/lohu930/%02d", i)
		if s.trouble && i%2 == 1 {
			path = "/" + path
		}
		parts := fmt.Sprintf("5c1e07a2:155,%08x:491", rand.Uint32())
		mu.Lock()
		sent[parts] = path
		mu.Unlock()
		status, _ := s.send(s.nodes[i%len(s.nodes)], request{method: http.MethodPost, host: "ficu95.example", path: path, model: "daka510000",
			usage: "646,70", parts: parts, deadline: 6 * time.Second})
		s.record.line("%s is answered %d", path, status)
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	mu.Lock()
	defer mu.Unlock()
	s.record.line("requests %d, with another path at the engine %d", requests, changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}
