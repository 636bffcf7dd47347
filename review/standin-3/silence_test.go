//go:build review

package standin3

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// work is the time in which an engine works on a request.
type work struct {
	engine, request, after string
	from, to               time.Time
}

// TestSilentEnginesRunOneStream guards TWICE: a stream goes on at another engine while the engine before
// still works on it.
func TestSilentEnginesRunOneStream(t *testing.T) {
	const (
		streams = 8
		events  = 24
		pause   = 100 * time.Millisecond
		silence = 1400 * time.Millisecond
		second  = 1000 * time.Millisecond
	)
	s := newStore()
	var mu sync.Mutex
	var works []*work
	for i := range 2 {
		e := newEngine(s, fmt.Sprintf("i-%d", i), "lm", "za", 8, "m1")
		e.serve = func(c net.Conn, r *run) bool {
			w := &work{engine: e.id, request: r.id, after: r.header.Get("Last-Event-Id"), from: time.Now()}
			mu.Lock()
			works = append(works, w)
			mu.Unlock()
			// The engine notices that its connection closes, and stops its work then.
			left := make(chan struct{})
			go func() {
				_, _ = c.Read(make([]byte, 1))
				close(left)
			}()
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				w.to = time.Now()
			}()
			if w.after != "" && trouble {
				e.fallSilent(second)
			}
			return e.streamUntil(c, r, events, pause, left, func(event int) bool {
				if event == 5 && w.after == "" {
					e.fallSilent(silence)
				}
				return true
			})
		}
	}
	model := map[string]any{"name": "m1", "weightsMb": 34300, "loadTimeS": 6, "adapters": 0, "adapterSizeMb": 40, "warmS": 0.28, "diskS": 0.4}
	lm := service("lm")
	lm["engine"] = map[string]any{"slots": 8, "kvCacheTokens": 232000, "weightsMb": 200000, "maxAdapters": 8, "loadsPerS": 4.5, "models": []any{model}}
	s.put("op", "config", manifest(1, []map[string]any{
		route("r1", "/q/", "streaming", "lm", map[string]any{"resumable": true, "timeoutMs": 8000, "targetLatencyMs": 400, "gapTargetMs": 300, "sticky": true}),
	}, lm))
	n := newNode(s.address, "za")
	n.start()
	awaitReady(n)
	time.Sleep(6 * time.Second)
	for k := range streams {
		id := fmt.Sprintf("c%d", k)
		a := send(n.front, "POST", "/q/x", "a.example", id, "Chestnutgauge-Model: m1\r\nChestnutgauge-Token-Usage: 600,70\r\nChestnutgauge-Prompt-Prefix: aa:155,"+fmt.Sprintf("%x", k+4096)+":491\r\n", fmt.Sprintf("hello %d", k), 8*time.Second)
		record("%s: the consumer got %d, %d bytes, %v", id, a.status, len(a.body), a.err)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	twice := 0
	mu.Lock()
	defer mu.Unlock()
	for i, w := range works {
		if w.to.IsZero() {
			w.to = time.Now()
		}
		record("%s: %s works after event %q from %.3f to %.3f", w.request, w.engine, w.after, w.from.Sub(started).Seconds(), w.to.Sub(started).Seconds())
		for _, before := range works[:i] {
			end := before.to
			if w.to.Before(end) {
				end = w.to
			}
			if both := end.Sub(w.from); before.request == w.request && before.engine != w.engine && both > 400*time.Millisecond {
				twice++
				record("%s: %s goes on with it, and both %s and %s work on it for %v", w.request, w.engine, before.engine, w.engine, both.Round(time.Millisecond))
			}
		}
	}
	verdict(twice > 0, "%d of %d streams were worked on by two engines for more than 400 ms", twice, streams)
}
