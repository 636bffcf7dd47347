//go:build review

package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Streams that are taken up again: their events, the pause between two of them, and the time
// limit of a consumer.
const (
	takeUpEvents = 28
	takeUpPause  = 350 * time.Millisecond
	takeUpLimit  = 15 * time.Second
	// contact is contactMs, restartDelay the time after which the platform starts an ended process.
	contact = 3 * time.Second
	// dropAfter is the time after which consumers drop a connection by themselves, in place of the
	// kill.
	dropAfter    = 2 * time.Second
	restartDelay = 800 * time.Millisecond
)

// steadyEngine is a stand-in for a model engine that resumes streams. All have one version.
type steadyEngine struct {
	id, address string
	born        int64
	log         *record
	running     atomic.Int64
}

func startSteadyEngine(log *record, ip, id string) (*steadyEngine, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &steadyEngine{id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), log: log}
	go func() { _ = http.Serve(listener, e) }()
	return e, nil
}

func (e *steadyEngine) models() []any {
	return []any{map[string]any{"name": "m1", "version": 1, "adapters": []string{}}}
}

func (e *steadyEngine) entry(sequence int) map[string]any {
	return map[string]any{"service": "advisor", "address": e.address, "zone": "zone-a", "version": "v1", "slots": brittleSlots, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": e.born, "models": e.models(),
		"atHand": map[string]any{"inMemory": []string{"m1"}, "onDisk": []string{"m1"}}}
}

func (e *steadyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Chestnutgauge-Request-Id")
	w.Header().Set("Chestnutgauge-Request-Id", id)
	if r.Header.Get("Chestnutgauge-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		_, _ = fmt.Fprintf(w, `{"stage":"colocated","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":%d,"kvUsed":0,"kvCapacity":200000,"handles":0,"born":%d}`, e.running.Load(), e.born)
		return
	}
	if e.running.Add(1) > brittleSlots {
		e.running.Add(-1)
		w.Header().Set("Chestnutgauge-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.log.line("run %s at %s after event %d", id, e.id, after)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Chestnutgauge-Response-Signature", signature(e.id, id, nil))
	w.Header().Set("Chestnutgauge-Server-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), brittleSlots))
	for event := after + 1; event <= takeUpEvents; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", event)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(takeUpPause):
		case <-r.Context().Done():
			return
		}
	}
}

// tryStream makes one attempt at a stream on a new connection, and returns the status, 0 without
// an answer, and the last event that has arrived.
func tryStream(address, id, origin string, last int, limit time.Duration) (status, event int, complete bool) {
	event = last
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, event, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	head := fmt.Sprintf("POST /ask/q HTTP/1.1\r\nHost: h.example\r\nChestnutgauge-Request-Id: %s\r\nChestnutgauge-Deadline-Ms: %d\r\nChestnutgauge-Model: m1\r\nChestnutgauge-Token-Usage: 646,140\r\nContent-Length: 1\r\n", id, limit.Milliseconds())
	if last > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, origin)
	}
	if _, err := io.WriteString(conn, head+"\r\nq"); err != nil {
		return 0, event, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, event, false
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok && resp.StatusCode == http.StatusOK {
			event, _ = strconv.Atoi(text)
		}
	}
	return resp.StatusCode, event, lines.Err() == nil && resp.StatusCode == http.StatusOK && event == takeUpEvents
}

// takeUps counts the streams at machines in touch since the restart.
type takeUps struct {
	mu                            sync.Mutex
	taken, wentOn, started, begun int
	complete                      int
}

// pauses are those of a consumer before it takes its stream up again: once, as the sheet says.
var pauses = []time.Duration{5 * time.Second}

// runTakeUp kills all processes at the same moment. They start again after a short delay, and
// consumers take up their streams.
func runTakeUp(s settings) (broken bool, err error) {
	sys := &plainSystem{settings: s}
	defer sys.stop()
	if sys.store, err = startStore(loopback()); err != nil {
		return false, err
	}
	manifest := modelManifest(7)
	manifest["routes"].([]any)[0].(map[string]any)["resumable"] = true
	sys.store.put("op", "config", manifest)
	for i := range 4 {
		e, err := startSteadyEngine(s.log, loopback(), fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return false, err
		}
		go func() {
			for sequence := 1; ; sequence++ {
				sys.store.put("servers", e.id, e.entry(sequence))
				time.Sleep(heartbeat)
			}
		}()
	}
	for i := range 3 {
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
	time.Sleep(10 * time.Second)
	if !s.trouble {
		s.log.line("no trouble: consumers drop their connections by themselves until the time of judgement")
		sys.dropped.Store(true)
	}
	var counts takeUps
	var inTouchFrom atomic.Int64
	inTouch := func() bool { from := inTouchFrom.Load(); return from > 0 && time.Now().UnixNano() > from }
	var wait sync.WaitGroup
	until := time.Now().Add(24 * time.Second)
	for i := range 48 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for n := 0; time.Now().Before(until); n++ {
				sys.stream(fmt.Sprintf("r%02d-%02d", i, n), i+n, inTouch, &counts)
			}
		}()
	}
	time.Sleep(8 * time.Second)
	if s.trouble {
		s.log.line("trouble: all processes are killed")
		for _, n := range sys.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range sys.nodes {
			<-n.ended
		}
		time.Sleep(restartDelay)
		for _, n := range sys.nodes {
			if err := n.start(s.run, s.pids); err != nil {
				return false, err
			}
		}
		s.log.line("all processes have been started again")
	}
	inTouchFrom.Store(time.Now().Add(contact).UnixNano())
	wait.Wait()
	line := fmt.Sprintf("since contactMs after the start: %d streams taken up, %d of them went on; %d new streams tried, %d of them began; %d streams complete",
		counts.taken, counts.wentOn, counts.started, counts.begun, counts.complete)
	s.log.line("%s", line)
	fmt.Println(line)
	if counts.taken < 12 || counts.begun < 12 {
		return false, fmt.Errorf("%w: too few streams", errCouldNotRun)
	}
	goesOn := float64(counts.wentOn) / float64(counts.taken)
	begins := float64(counts.begun) / float64(counts.started)
	return goesOn < begins/2, nil
}

// stream has a consumer ask for a stream and take it up again once, within its time limit.
func (s *plainSystem) stream(id string, at int, inTouch func() bool, counts *takeUps) {
	end := time.Now().Add(takeUpLimit)
	last, origin := 0, ""
	taken, wentOn := false, false
	for try := 0; try <= len(pauses) && time.Until(end) > 500*time.Millisecond; try++ {
		attempt := fmt.Sprintf("%s-%d", id, try+1)
		node := s.nodes[(at+try)%len(s.nodes)]
		judged := inTouch()
		limit := time.Until(end)
		if s.dropped.Load() && !judged {
			limit = min(limit, dropAfter)
		}
		status, event, complete := tryStream(node.callers, attempt, origin, last, limit)
		s.log.line("attempt %s at %s, after event %d of %q, in touch %v: status %d, events up to %d, complete %v", attempt, node.name, last, origin, judged, status, event, complete)
		counts.mu.Lock()
		switch {
		case !judged:
		case last > 0:
			taken = true
			wentOn = wentOn || event > last || complete
		default:
			counts.started++
			if event > 0 {
				counts.begun++
			}
		}
		if complete {
			counts.complete++
		}
		counts.mu.Unlock()
		if complete {
			break
		}
		if last == 0 && event > 0 {
			origin = attempt
		}
		last = event
		if try < len(pauses) {
			time.Sleep(pauses[try])
		}
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	if taken {
		counts.taken++
	}
	if wentOn {
		counts.wentOn++
	}
}
