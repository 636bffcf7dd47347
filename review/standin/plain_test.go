//go:build review

package standin

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// plainManifest has one plain service with an unsafe and a safe route.
func plainManifest(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "prefix": prefix, "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 300,
			"priority": 2, "service": "dispatch", "maxAttempts": attempts}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("pallet-book", "/once/", "unsafe", 1), route("stock-read", "/safe/", "safe", 2)},
		"services": []any{map[string]any{"name": "dispatch", "healthPath": "/health", "maxConnections": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	}
}

// plainSystem is a store, nodes in front of a plain service, and its engines.
type plainSystem struct {
	settings
	store   *store
	engines []*plainEngine
	nodes   []*node
	// dropped has consumers drop their connections by themselves.
	dropped atomic.Bool
}

const (
	heartbeat  = 1200 * time.Millisecond
	engineWork = 20 * time.Millisecond
	slots      = 6
)

func startPlainSystem(s settings, nodes, engines int) (*plainSystem, error) {
	sys := &plainSystem{settings: s}
	var err error
	if sys.store, err = startStore(loopback()); err != nil {
		return nil, err
	}
	sys.store.put("op", "config", plainManifest(7))
	for i := range engines {
		e, err := startPlainEngine(s.log, loopback(), fmt.Sprintf("i-%d", i+1), "dispatch", "zone-a", slots, engineWork)
		if err != nil {
			return nil, err
		}
		sys.engines = append(sys.engines, e)
		go func() {
			for sequence := 1; ; sequence++ {
				sys.store.put("servers", e.id, e.entry(sequence))
				time.Sleep(heartbeat)
			}
		}()
	}
	for i := range nodes {
		n, err := newNode(s.folder, fmt.Sprintf("front-%d", i+1), "zone-a", sys.store.address)
		if err != nil {
			return nil, err
		}
		sys.nodes = append(sys.nodes, n)
		if err := n.start(s.run, s.pids); err != nil {
			return sys, err
		}
	}
	for _, n := range sys.nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			return sys, err
		}
	}
	time.Sleep(2 * time.Second)
	return sys, nil
}

func (s *plainSystem) stop() {
	if s == nil {
		return
	}
	for _, n := range s.nodes {
		n.kill()
	}
}

// sent is a consumer's request and its answer.
type sent struct {
	id, method, target string
	answer             answer
}

// drive has consumers send requests for a time, each with a pause between two of them. make
// returns the next request of a consumer.
func (s *plainSystem) drive(consumers int, pause, length time.Duration, next func(number int64) (method, target string, headers []string, body []byte)) []sent {
	var mu sync.Mutex
	var all []sent
	var wait sync.WaitGroup
	var number atomic.Int64
	until := time.Now().Add(length)
	for i := range consumers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &consumer{address: s.nodes[i%len(s.nodes)].callers}
			defer c.close()
			for time.Now().Before(until) {
				n := number.Add(1)
				id := fmt.Sprintf("r%07d", n)
				method, target, headers, body := next(n)
				s.log.line("sent %s by consumer %d: %s %s %v, %d bytes", id, i, method, target, headers, len(body))
				a := c.do(method, target, id, headers, body, 4*time.Second)
				s.log.line("answered %s: status %d, of request %q, signature %q, body %q, error %v", id, a.status, a.id, a.signature, a.body, a.err)
				mu.Lock()
				all = append(all, sent{id: id, method: method, target: target, answer: a})
				mu.Unlock()
				time.Sleep(pause)
			}
		}()
	}
	wait.Wait()
	return all
}
