//go:build review

package standin3

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// downTime is how long an engine is down after a crash.
const downTime = 3 * time.Second

// adapterPlaces are the places for adapters of an engine. The engine's mu guards them.
type adapterPlaces struct {
	e     *engine
	most  int
	model string
	// running are the requests that use each adapter that the engine holds, leaving the adapters that are
	// unloaded once these have ended, coming those on their way.
	running map[string]int
	leaving map[string]bool
	coming  map[string]bool
	// over are the orders that load more than the places hold.
	over []string
	// crashed means that the engine has crashed by such an order and is not back.
	crashed bool
}

// publish has the engine state the adapters that it holds.
func (a *adapterPlaces) publish() {
	list := []string{}
	for name := range a.running {
		list = append(list, name)
	}
	a.e.models[a.model] = list
}

// carryOut carries out an order for an adapter.
func (a *adapterPlaces) carryOut(o order) int {
	if a.crashed {
		return 503
	}
	if o.Adapter == "" {
		if o.Operation != "loading" || o.Model != a.model {
			return 409
		}
		a.e.sequence++
		a.publish()
		go a.e.beat()
		return 202
	}
	name := o.Adapter
	_, held := a.running[name]
	if o.Operation == "unloading" {
		if !held {
			return 200
		}
		a.e.sequence++
		if a.running[name] == 0 {
			delete(a.running, name)
			a.publish()
			return 200
		}
		a.leaving[name] = true
		record("%s: the unload of %s is accepted and waits for its %d runs", a.e.id, name, a.running[name])
		return 202
	}
	if held && !a.leaving[name] || a.coming[name] {
		return 200
	}
	a.e.sequence++
	if len(a.running)+len(a.coming)+1 > a.most {
		text := fmt.Sprintf("%s is ordered to load %s while it holds %d adapters (%d of them wait for their runs) and %d are on their way; %d are allowed", a.e.id, name, len(a.running), len(a.leaving), len(a.coming), a.most)
		record("%s", text)
		a.over = append(a.over, text)
		a.crashed = true
		go a.crash()
		return 503
	}
	a.coming[name] = true
	time.AfterFunc(8*time.Millisecond, func() {
		a.e.mu.Lock()
		defer a.e.mu.Unlock()
		if !a.coming[name] {
			return
		}
		delete(a.coming, name)
		delete(a.leaving, name)
		a.running[name] += 0
		a.publish()
	})
	return 202
}

// crash has the engine crash. It is back, empty, after some seconds.
func (a *adapterPlaces) crash() {
	a.e.crash(downTime)
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	a.running, a.leaving, a.coming, a.crashed = map[string]int{}, map[string]bool{}, map[string]bool{}, false
}

// begin counts a request that uses an adapter. It returns false if that is not held, or about to leave.
func (a *adapterPlaces) begin(name string) (held, stays bool) {
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	if _, ok := a.running[name]; !ok {
		return false, false
	}
	if a.leaving[name] {
		return true, false
	}
	a.running[name]++
	return true, true
}

func (a *adapterPlaces) end(name string) {
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	if _, ok := a.running[name]; !ok {
		return
	}
	a.running[name]--
	if a.running[name] == 0 && a.leaving[name] {
		delete(a.running, name)
		delete(a.leaving, name)
		a.publish()
	}
}

// TestAdapterPlaces guards LIMIT: an engine is not ordered to load more adapters than it has places for.
func TestAdapterPlaces(t *testing.T) {
	const (
		nodeCount = 6
		places    = 8
		perSecond = 60
		played    = 25 * time.Second
	)
	adapters := places
	if trouble {
		adapters = 42
	}
	s := newStore()
	var all []*adapterPlaces
	for i := range 4 {
		e := newEngine(s, fmt.Sprintf("i-%d", i), "lm", []string{"za", "zb"}[i%2], 16, "m1")
		a := &adapterPlaces{e: e, most: places, model: "m1", running: map[string]int{}, leaving: map[string]bool{}, coming: map[string]bool{}}
		all = append(all, a)
		e.mu.Lock()
		e.carryOut = a.carryOut
		e.reported = func() []string {
			list := []string{}
			for name := range a.coming {
				list = append(list, "m1/"+name+"@1")
			}
			return list
		}
		e.mu.Unlock()
		e.serve = func(c net.Conn, q *run) bool {
			_, name, _ := strings.Cut(q.header.Get("Chestnutgauge-Model"), "/")
			held, stays := a.begin(name)
			switch {
			case !held:
				_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nChestnutgauge-Request-Id: %s\r\nChestnutgauge-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", q.id, e.id)
				return err == nil
			case !stays:
				_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nChestnutgauge-Request-Id: %s\r\nChestnutgauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.id)
				return err == nil
			}
			defer a.end(name)
			return e.stream(c, q, 14, 27*time.Millisecond, nil)
		}
	}
	model := map[string]any{"name": "m1", "weightsMb": 34300, "loadTimeS": 6, "adapters": 42, "adapterSizeMb": 40, "warmS": 0.28, "diskS": 0.4}
	lm := service("lm")
	lm["engine"] = map[string]any{"slots": 16, "kvCacheTokens": 232000, "weightsMb": 200000, "maxAdapters": places, "loadsPerS": 4.5, "models": []any{model}}
	s.put("op", "config", manifest(1, []map[string]any{
		route("r1", "/q/", "streaming", "lm", map[string]any{"resumable": true, "timeoutMs": 6000, "targetLatencyMs": 400, "gapTargetMs": 400, "sticky": true}),
	}, lm))
	var nodes []*node
	for i := range nodeCount {
		n := newNode(s.address, []string{"za", "zb"}[i%2])
		nodes = append(nodes, n)
		n.start()
	}
	awaitReady(nodes...)
	time.Sleep(6 * time.Second)
	var served, others atomic.Int64
	stop := time.Now().Add(played)
	for k := 0; time.Now().Before(stop); k++ {
		n := nodes[rand.IntN(len(nodes))]
		go func() {
			a := send(n.front, "POST", "/q/x", "a.example", fmt.Sprintf("c%d", k), fmt.Sprintf("Chestnutgauge-Model: m1/a%d\r\nChestnutgauge-Token-Usage: 600,70\r\nChestnutgauge-Prompt-Prefix: aa:155,%x:491\r\n", 1+rand.IntN(adapters), k+4096), fmt.Sprintf("hello %d", k), 6*time.Second)
			if a.status == 200 && a.err == nil {
				served.Add(1)
			} else {
				others.Add(1)
			}
		}()
		time.Sleep(time.Second / perSecond)
	}
	time.Sleep(time.Second)
	over := 0
	for _, a := range all {
		a.e.mu.Lock()
		record("%s: %d orders", a.e.id, len(a.e.orders))
		over += len(a.over)
		a.e.mu.Unlock()
	}
	record("%d served, %d others", served.Load(), others.Load())
	verdict(over > 0, "%d orders to load more adapters than an engine has places for", over)
}
