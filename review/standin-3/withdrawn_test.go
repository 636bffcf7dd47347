//go:build review

package standin3

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// TestWithdrawnModel guards LIMIT: an engine is not ordered to load more than its weightsMb hold, also if
// it holds a model that the operator has taken out of the manifest.
func TestWithdrawnModel(t *testing.T) {
	const (
		capacity  = 200000.0
		weight    = 72700.0
		nodeCount = 6
	)
	weights := map[string]float64{"m1": weight, "m2": weight, "m3": weight, "m4": weight}
	s := newStore()
	over := 0
	var engines []*engine
	for i := range 2 {
		e := newEngine(s, fmt.Sprintf("i-%d", i), "lm", []string{"za", "zb"}[i], 16, []string{"m1", "m2"}...)
		engines = append(engines, e)
		crashed := false
		e.mu.Lock()
		e.carryOut = func(o order) int {
			_, held := e.models[o.Model]
			switch {
			case crashed:
				return 503
			case o.Adapter != "":
				return 400
			case o.Operation == "unloading":
				if !held {
					return 200
				}
				delete(e.models, o.Model)
				record("%s unloads %s", e.id, o.Model)
			case held:
				return 200
			default:
				sum := weights[o.Model]
				for name := range e.models {
					sum += weights[name]
				}
				record("%s is ordered to load %s; with what it holds, %v, that are %.0f MB of %.0f", e.id, o.Model, e.modelList(), sum, capacity)
				if sum > capacity {
					over++
					crashed = true
					go func() {
						e.crash(downTime)
						e.mu.Lock()
						crashed = false
						e.mu.Unlock()
					}()
					return 503
				}
				e.models[o.Model] = []string{}
			}
			e.sequence++
			go e.beat()
			return 202
		}
		e.mu.Unlock()
		e.serve = func(c net.Conn, q *run) bool { return e.stream(c, q, 14, 27*time.Millisecond, nil) }
	}
	config := func(version int, names ...string) {
		var models []any
		for _, name := range names {
			models = append(models, map[string]any{"name": name, "weightsMb": weight, "loadTimeS": 6, "adapters": 0, "adapterSizeMb": 66, "warmS": 0.4, "diskS": 0.84})
		}
		lm := service("lm")
		lm["engine"] = map[string]any{"slots": 16, "kvCacheTokens": 232000, "weightsMb": capacity, "maxAdapters": 8, "loadsPerS": 4.5, "models": models}
		s.put("op", "config", manifest(version, []map[string]any{
			route("r1", "/q/", "streaming", "lm", map[string]any{"resumable": true, "timeoutMs": 8000, "targetLatencyMs": 400, "gapTargetMs": 400, "sticky": true}),
		}, lm))
		record("the manifest %d offers %v", version, names)
	}
	config(1, "m1", "m2", "m3", "m4")
	var nodes []*node
	for i := range nodeCount {
		n := newNode(s.address, []string{"za", "zb"}[i%2])
		nodes = append(nodes, n)
		n.start()
	}
	awaitReady(nodes...)
	time.Sleep(7 * time.Second)
	k := 0
	ask := func(models ...string) {
		for _, m := range models {
			k++
			id := fmt.Sprintf("c%d", k)
			a := send(nodes[rand.IntN(nodeCount)].front, "POST", "/q/x", "a.example", id, fmt.Sprintf("Chestnutgauge-Model: %s\r\nChestnutgauge-Token-Usage: 600,70\r\nChestnutgauge-Prompt-Prefix: aa:155,%x:491\r\n", m, k+4096), "hello "+id, 8*time.Second)
			record("%s: a request for %s got %d %v, %d bytes", id, m, a.status, a.err, len(a.body))
		}
	}
	ask("m1", "m2", "m1", "m2")
	if trouble {
		config(4, "m1", "m3", "m4")
	} else {
		config(4, "m1", "m2", "m3", "m4")
	}
	time.Sleep(4 * time.Second)
	for range 3 {
		ask("m1", "m3", "m4", "m1")
	}
	time.Sleep(time.Second)
	for _, e := range engines {
		e.mu.Lock()
		record("%s: %d orders", e.id, len(e.orders))
		e.mu.Unlock()
	}
	verdict(over > 0, "%d orders to load more than the memory of an engine", over)
}
