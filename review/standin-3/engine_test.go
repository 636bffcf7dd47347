//go:build review

package standin3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a model engine, or for a plain service if it has no models. It speaks to
// its connections itself, so that it sees the bytes of a request as they arrive.
type engine struct {
	id, service, zone, address string
	store                      *store
	slots                      int
	version                    string

	mu       sync.Mutex
	state    string
	born     int64
	sequence int64
	beats    int64
	models   map[string][]string
	// runs are the requests that it has run, in order.
	runs []*run
	// serve answers a request that it runs. It returns false to close the connection.
	serve func(c net.Conn, r *run) bool
	// carryOut answers an order in place of order, if it is not nil. The caller holds mu.
	carryOut func(o order) int
	// reported returns the adapters that are on their way, for the report. It may be nil.
	reported func() []string
	// head is added to all answers, as header lines.
	head string
	// silent is the time until which nothing is sent.
	silent   time.Time
	orders   []order
	listener net.Listener
	conns    map[net.Conn]bool
}

type order struct {
	at                       time.Time
	Operation, Model, Holder string
	Adapter                  string
	ExpectedRevision         *int64
	FencingToken             int64
}

// run is a request that an engine has run.
type run struct {
	engine           *engine
	at               time.Time
	id, line, method string
	target           string
	header           http.Header
	body             []byte
}

func newEngine(s *store, id, service, zone string, slots int, models ...string) *engine {
	e := &engine{id: id, service: service, zone: zone, store: s, slots: slots, version: "v1", state: "ready", born: time.Now().UnixMilli(), models: map[string][]string{}}
	for _, m := range models {
		e.models[m] = []string{}
	}
	e.address, e.conns = "127.0.0.1:0", map[net.Conn]bool{}
	e.listen()
	e.beat()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			e.beat()
		}
	}()
	return e
}

// listen accepts connections at the engine's address.
func (e *engine) listen() {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e.mu.Lock()
	e.address, e.listener = listener.Addr().String(), listener
	e.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.connection(c)
		}
	}()
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == "gone" {
		return
	}
	e.beats++
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state,
		"coldRemainingMs": 0, "stage": "colocated", "models": e.modelList(), "sequence": e.beats, "born": e.born,
	})
}

func (e *engine) modelList() []map[string]any {
	list := []map[string]any{}
	for name, adapters := range e.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	return list
}

// onTheWay returns the adapters that are being loaded. The caller holds mu.
func (e *engine) onTheWay() []string {
	if e.reported == nil {
		return []string{}
	}
	return e.reported()
}

// awake waits while the engine is silent.
func (e *engine) awake() {
	for {
		e.mu.Lock()
		left := time.Until(e.silent)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (e *engine) fallSilent(d time.Duration) {
	e.mu.Lock()
	e.silent = time.Now().Add(d)
	e.mu.Unlock()
	record("engine %s falls silent for %v", e.id, d)
}

func (e *engine) connection(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		// The request line is kept as it was sent.
		peeked, err := reader.Peek(1)
		if err != nil || len(peeked) == 0 {
			return
		}
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimSpace(line), " ", 3)
		if len(parts) != 3 {
			return
		}
		r, err := http.ReadRequest(bufio.NewReaderSize(&prefixed{text: parts[0] + " / HTTP/1.1\r\n", from: reader}, 16))
		if err != nil {
			record("engine %s: can't read a request: %v", e.id, err)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.answer(c, &run{engine: e, at: time.Now(), id: r.Header.Get("Chestnutgauge-Request-Id"), line: strings.TrimSpace(line), method: parts[0], target: parts[1], header: r.Header, body: body}) {
			return
		}
	}
}

// prefixed reads a text and then, a byte at a time, from a reader, so that nothing of a later request is taken.
type prefixed struct {
	text string
	from io.Reader
}

func (p *prefixed) Read(b []byte) (int, error) {
	if p.text != "" {
		n := copy(b, p.text)
		p.text = p.text[n:]
		return n, nil
	}
	if len(b) == 0 {
		return 0, nil
	}
	return p.from.Read(b[:1])
}

func (e *engine) answer(c net.Conn, r *run) bool {
	e.awake()
	e.mu.Lock()
	head := e.head
	e.mu.Unlock()
	if r.id != "" {
		head += "Chestnutgauge-Request-Id: " + r.id + "\r\n"
	}
	reply := func(status int, more string, body string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, more, len(body), body)
		return err == nil
	}
	if expect := r.header.Get("Chestnutgauge-Expect-Instance"); expect != "" && expect != e.id {
		return reply(421, "Chestnutgauge-Instance-Id: "+e.id+"\r\n", "")
	}
	switch {
	case r.method == "GET" && r.target == "/report":
		e.mu.Lock()
		data, _ := json.Marshal(map[string]any{"stage": "colocated", "models": e.modelList(), "busy": false, "sequence": e.sequence, "queued": 0, "running": 0, "kvUsed": 0, "kvCapacity": 90000, "handles": 0, "born": e.born, "coming": e.onTheWay()})
		e.mu.Unlock()
		return reply(200, "Content-Type: application/json\r\n", string(data))
	case r.method == "POST" && r.target == "/order":
		return reply(e.order(r), "", "")
	}
	model, adapter, _ := strings.Cut(r.header.Get("Chestnutgauge-Model"), "/")
	e.mu.Lock()
	adapters, holds := e.models[model]
	if model != "" && (!holds || adapter != "" && !contains(adapters, adapter)) {
		e.mu.Unlock()
		return reply(421, "Chestnutgauge-Instance-Id: "+e.id+"\r\n", "")
	}
	e.runs = append(e.runs, r)
	serve := e.serve
	e.mu.Unlock()
	if serve != nil {
		return serve(c, r)
	}
	return reply(200, "Chestnutgauge-Response-Signature: s."+e.id+"."+r.id+"\r\n", "done")
}

func contains(list []string, one string) bool {
	for _, x := range list {
		if x == one {
			return true
		}
	}
	return false
}

func (e *engine) order(r *run) int {
	o := order{at: time.Now()}
	if json.Unmarshal(r.body, &o) != nil {
		return 400
	}
	e.mu.Lock()
	e.orders = append(e.orders, o)
	if o.ExpectedRevision != nil && *o.ExpectedRevision != e.sequence {
		e.mu.Unlock()
		return 409
	}
	if e.carryOut != nil {
		defer e.mu.Unlock()
		return e.carryOut(o)
	}
	e.sequence++
	switch {
	case o.Operation == "loading" && o.Adapter != "":
		e.models[o.Model] = append(e.models[o.Model], o.Adapter)
	case o.Operation == "loading":
		e.models[o.Model] = []string{}
	default:
		delete(e.models, o.Model)
	}
	e.mu.Unlock()
	record("engine %s carries out %s %s %s of %s, fence %d", e.id, o.Operation, o.Model, o.Adapter, o.Holder, o.FencingToken)
	go e.beat()
	return 202
}

func (e *engine) runsOf(id string) []*run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*run
	for _, r := range e.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}

// stream is streamUntil without an end of the connection.
func (e *engine) stream(c net.Conn, r *run, last int, pause time.Duration, sent func(event int) bool) bool {
	return e.streamUntil(c, r, last, pause, nil, sent)
}

// streamUntil sends the events after the request's Last-Event-Id with a pause between them, until left is
// closed. Each event is passed to sent, whose result false closes the connection.
func (e *engine) streamUntil(c net.Conn, r *run, last int, pause time.Duration, left <-chan struct{}, sent func(event int) bool) bool {
	first := 1
	if n, err := strconv.Atoi(r.header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	if !e.awakeUntil(left) {
		return false
	}
	e.mu.Lock()
	head := e.head
	e.mu.Unlock()
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nChestnutgauge-Request-Id: %s\r\nChestnutgauge-Response-Signature: s.%s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", r.id, e.id, r.id); err != nil {
		return false
	}
	for event := first; event <= last; event++ {
		if !e.awakeUntil(left) {
			return false
		}
		text := fmt.Sprintf("id: %d\ndata: %d of %s\n\n", event, event, e.id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		if sent != nil && !sent(event) {
			return false
		}
		select {
		case <-time.After(pause):
		case <-left:
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil && left == nil
}

// awakeUntil waits while the engine is silent. It returns false if left is closed meanwhile.
func (e *engine) awakeUntil(left <-chan struct{}) bool {
	for {
		e.mu.Lock()
		wait := time.Until(e.silent)
		e.mu.Unlock()
		if wait <= 0 {
			return true
		}
		select {
		case <-time.After(wait):
		case <-left:
			return false
		}
	}
}

// crash has the engine crash: its connections are reset, it refuses new ones, and is back, empty, after a
// time. It does nothing if the engine has crashed already.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	if e.state == "gone" {
		e.mu.Unlock()
		return
	}
	e.state = "gone"
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	e.mu.Unlock()
	time.AfterFunc(down, func() {
		e.mu.Lock()
		e.models, e.sequence, e.born, e.state = map[string][]string{}, 0, time.Now().UnixMilli(), "ready"
		e.mu.Unlock()
		e.listen()
		e.beat()
		record("engine %s is back", e.id)
	})
}
