//go:build review

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Engines that are brittle: room, the rejections that they bear in a second, and how long they
// are down after a fall.
const (
	brittleEngines    = 4
	brittleSlots      = 24
	brittleWaiting    = 2
	brittleRejections = 8
	brittleDown       = 2 * time.Second
	brittleStream     = 1200 * time.Millisecond
	brittleEvents     = 4
	// brittleConsumers is the number of consumers, each with one request at a time: one and a
	// half times as many as the engines have slots.
	brittleConsumers = 3 * brittleEngines * brittleSlots / 2
)

// modelEngine is a stand-in for a model engine that falls over if it has to turn too many
// requests away.
type modelEngine struct {
	id      string
	address string
	born    int64
	log     *record

	mu       sync.Mutex
	running  int
	waiting  int
	freed    *sync.Cond
	rejected []time.Time
	falls    []time.Time
	listener net.Listener
	down     bool
	conns    map[*net.TCPConn]bool
	served   int
}

func startModelEngine(log *record, ip, id string) (*modelEngine, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &modelEngine{id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), log: log, listener: listener, conns: map[*net.TCPConn]bool{}}
	e.freed = sync.NewCond(&e.mu)
	go e.accept(listener)
	return e, nil
}

func (e *modelEngine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		tcp := conn.(*net.TCPConn)
		e.mu.Lock()
		e.conns[tcp] = true
		e.mu.Unlock()
		go e.serve(tcp)
	}
}

func (e *modelEngine) entry(sequence int) map[string]any {
	return map[string]any{"service": "advisor", "address": e.address, "zone": "zone-a", "version": "v1", "slots": brittleSlots, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": e.born,
		"models": []any{map[string]any{"name": "m1", "version": 1, "adapters": []string{}}},
		"atHand": map[string]any{"inMemory": []string{"m1"}, "onDisk": []string{"m1"}}}
}

// admit takes a request in, or rejects it. A rejection beyond those that the engine bears makes
// it fall over.
func (e *modelEngine) admit(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= brittleSlots && e.waiting >= brittleWaiting {
		now := time.Now()
		recent := e.rejected[:0]
		for _, at := range e.rejected {
			if now.Sub(at) < time.Second {
				recent = append(recent, at)
			}
		}
		e.rejected = append(recent, now)
		e.log.line("engine %s: rejects %s, rejection %d in a second, running %d, waiting %d", e.id, id, len(e.rejected), e.running, e.waiting)
		if len(e.rejected) > brittleRejections && !e.down {
			e.fall(now)
		}
		return false
	}
	e.waiting++
	for e.running >= brittleSlots && !e.down {
		e.freed.Wait()
	}
	e.waiting--
	if e.down {
		return false
	}
	e.running++
	return true
}

// fall ends all requests, and the engine for a time. The caller holds mu.
func (e *modelEngine) fall(now time.Time) {
	e.log.line("engine %s FALLS: more than %d rejections in a second, %d requests running are lost", e.id, brittleRejections, e.running)
	e.falls = append(e.falls, now)
	e.down, e.rejected = true, nil
	_ = e.listener.Close()
	for conn := range e.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	e.conns = map[*net.TCPConn]bool{}
	e.freed.Broadcast()
	time.AfterFunc(brittleDown, func() {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			e.log.line("engine %s: does not come back: %v", e.id, err)
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.listener, e.down, e.running, e.waiting = listener, false, 0, 0
		e.born = time.Now().UnixMilli()
		go e.accept(listener)
		e.log.line("engine %s is back", e.id)
	})
}

func (e *modelEngine) leave(born int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.born == born && !e.down {
		e.running--
		e.freed.Signal()
	}
}

func (e *modelEngine) serve(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		id := req.Header.Get("Chestnutgauge-Request-Id")
		e.mu.Lock()
		born := e.born
		e.mu.Unlock()
		switch {
		case req.Header.Get("Chestnutgauge-Expect-Instance") != e.id:
			if !e.answer(conn, http.StatusMisdirectedRequest, id, "") {
				return
			}
			continue
		case req.URL.Path == "/report":
			body := fmt.Sprintf(`{"stage":"colocated","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvCapacity":200000,"handles":0,"born":%d}`, born)
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Brittle: %d\r\nContent-Length: %d\r\n\r\n%s", brittleRejections, len(body), body); err != nil {
				return
			}
			continue
		}
		if !e.admit(id) {
			if !e.answer(conn, http.StatusServiceUnavailable, id, "Chestnutgauge-Not-Executed: 1\r\n") {
				return
			}
			continue
		}
		e.log.ran(id, e.id, req.Method, req.RequestURI, nil)
		ok := e.stream(conn, reader, id)
		e.leave(born)
		if !ok {
			return
		}
	}
}

func (e *modelEngine) answer(conn net.Conn, status int, id, headers string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nChestnutgauge-Request-Id: %s\r\nServer-Brittle: %d\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), id, brittleRejections, headers)
	return err == nil
}

// stream sends the events of a stream. It drops the request when the connection closes.
func (e *modelEngine) stream(conn net.Conn, reader *bufio.Reader, id string) bool {
	closed := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(closed)
		}
	}()
	defer func() {
		_ = conn.SetReadDeadline(time.Now())
		<-watched
		_ = conn.SetReadDeadline(time.Time{})
	}()
	e.mu.Lock()
	running, waiting := e.running, e.waiting
	e.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nChestnutgauge-Request-Id: %s\r\nChestnutgauge-Response-Signature: %s\r\nServer-Brittle: %d\r\nChestnutgauge-Server-Load: %d,%d,%d\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, signature(e.id, id, nil), brittleRejections, running, waiting, brittleSlots)
	if err != nil {
		return false
	}
	for event := 1; event <= brittleEvents; event++ {
		select {
		case <-time.After(brittleStream / brittleEvents):
		case <-closed:
			return false
		}
		text := "id: " + strconv.Itoa(event) + "\ndata: x\n\n"
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	e.mu.Lock()
	e.served++
	e.mu.Unlock()
	return err == nil
}

// modelManifest has one model service with a streaming route.
func modelManifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "buyer-query", "host": "h.example", "prefix": "/ask/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 2500,
			"gapTargetMs": 400, "priority": 0, "service": "advisor", "maxAttempts": 2, "sticky": true}},
		"services": []any{map[string]any{"name": "advisor", "healthPath": "/health", "maxConnections": 250, "engine": map[string]any{
			"slots": brittleSlots, "kvCacheTokens": 200000, "weightsMb": 200000, "maxAdapters": 8, "loadsPerS": 7,
			"models": []any{map[string]any{"name": "m1", "weightsMb": 72700, "loadTimeS": 6, "warmS": 0.4, "diskS": 0.84, "adapters": 0, "adapterSizeMb": 66}}}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	}
}

// runBrittle sends one and a half times as many requests as brittle engines run at once, and kills the
// process that last wrote to the store under a condition.
func runBrittle(s settings) (broken bool, err error) {
	sys := &plainSystem{settings: s}
	defer sys.stop()
	if sys.store, err = startStore(loopback()); err != nil {
		return false, err
	}
	sys.store.put("op", "config", modelManifest(7))
	var engines []*modelEngine
	for i := range brittleEngines {
		e, err := startModelEngine(s.log, loopback(), fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		go func() {
			for sequence := 1; ; sequence++ {
				e.mu.Lock()
				up := !e.down
				entry := e.entry(sequence)
				e.mu.Unlock()
				if up {
					sys.store.put("servers", e.id, entry)
				}
				time.Sleep(heartbeat)
			}
		}()
	}
	const nodes = 4
	for i := range nodes {
		n, err := newNode(s.folder, fmt.Sprintf("front-%d", i+1), "zone-a", sys.store.address)
		if err != nil {
			return false, err
		}
		sys.nodes = append(sys.nodes, n)
		if err := n.start(s.run, s.pids); err != nil {
			return false, err
		}
	}
	for _, n := range sys.nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	const length = 30 * time.Second
	begun := time.Now()
	until := begun.Add(length)
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	killed := -1
	for i := range brittleConsumers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			// They come over three seconds.
			time.Sleep(time.Duration(i%100) * 30 * time.Millisecond)
			at := i % nodes
			c := &consumer{address: sys.nodes[at].callers}
			defer c.close()
			for n := 0; time.Now().Before(until); n++ {
				mu.Lock()
				dead := at == killed
				mu.Unlock()
				if dead {
					// The balancer sends new connections to other nodes.
					c.close()
					at = (at + 1 + i/nodes%(nodes-1)) % nodes
					c.address = sys.nodes[at].callers
				}
				id := fmt.Sprintf("r%04d-%04d", i, n)
				s.log.line("sent %s to %s", id, sys.nodes[at].name)
				a := c.do("POST", "/ask/q", id, []string{"Chestnutgauge-Model: m1", "Chestnutgauge-Token-Usage: 646,70", fmt.Sprintf("Chestnutgauge-Prompt-Prefix: %x:155,%x:491", 7, 1000+i)}, []byte("q"), 15*time.Second)
				s.log.line("answered %s: status %d, error %v", id, a.status, a.err)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
				if a.status != 200 {
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
	}
	// From contactMs after the engines first named their limit, and with all consumers there.
	time.Sleep(9 * time.Second)
	from := time.Now()
	if s.trouble {
		name := sys.store.lastWriter()
		for i, n := range sys.nodes {
			if n.ip() == name {
				s.log.line("trouble: %s, which last wrote to the store under a condition, is killed for good", n.name)
				mu.Lock()
				killed = i
				mu.Unlock()
				n.signal(syscall.SIGKILL)
			}
		}
		if killed < 0 {
			return false, fmt.Errorf("%w: no node wrote to the store (%q)", errCouldNotRun, name)
		}
	}
	wait.Wait()
	before, falls, served := 0, 0, 0
	for _, e := range engines {
		e.mu.Lock()
		for _, at := range e.falls {
			if at.Before(from) {
				before++
			} else {
				falls++
			}
		}
		served += e.served
		e.mu.Unlock()
	}
	var keys []int
	for status := range statuses {
		keys = append(keys, status)
	}
	sort.Ints(keys)
	text := ""
	for _, status := range keys {
		text += fmt.Sprintf(" %d: %d", status, statuses[status])
	}
	line := fmt.Sprintf("falls before %d, falls since %d, allowed 2 + a tenth of %d engines; streams served %d; statuses%s", before, falls, brittleEngines, served, text)
	s.log.line("%s", line)
	fmt.Println(line)
	if served < 1000 {
		return false, fmt.Errorf("%w: only %d served", errCouldNotRun, served)
	}
	return float64(before+falls) > 2+0.1*brittleEngines, nil
}
