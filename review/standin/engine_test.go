//go:build review

package standin

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// signature returns the signature of an engine's answer to a request.
func signature(engine, request string, body []byte) string {
	sum := sha256.Sum256([]byte(engine + "\n" + request + "\n" + string(body)))
	return engine + "." + hex.EncodeToString(sum[:8])
}

// plainEngine is a stand-in for an engine of a plain service. It speaks HTTP/1.1 with one
// request at a time on a connection.
type plainEngine struct {
	id      string
	service string
	zone    string
	slots   int
	work    time.Duration
	address string
	born    int64
	log     *record
	places  chan struct{}

	mu sync.Mutex
	// resetShare is the share of the requests that run and whose connection is reset in place
	// of the answer.
	resetShare float64
	// extraShare is the share of answers that are followed by additional bytes, when the next
	// answer on the connection is expected.
	extraShare float64
	requests   int
}

// extraBytes are the additional bytes: they name no request.
const extraBytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nstray\n"

func startPlainEngine(log *record, ip, id, service, zone string, slots int, work time.Duration) (*plainEngine, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &plainEngine{id: id, service: service, zone: zone, slots: slots, work: work, address: listener.Addr().String(),
		born: time.Now().UnixMilli(), log: log, places: make(chan struct{}, slots)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	return e, nil
}

// entry is what the engine writes into the store.
func (e *plainEngine) entry(sequence int) map[string]any {
	return map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": e.born}
}

// disturb sets the shares of requests whose answers are lost or followed by additional bytes.
func (e *plainEngine) disturb(resetShare, extraShare float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetShare, e.extraShare = resetShare, extraShare
}

func (e *plainEngine) draw() (lost, extra bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rand.Float64() < e.resetShare, rand.Float64() < e.extraShare
}

// serve serves one connection.
func (e *plainEngine) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	stray := false
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Chestnutgauge-Request-Id")
		if stray {
			// The additional bytes after the answer before come at the point where the next
			// answer is expected.
			stray = false
			e.log.line("engine %s: additional bytes on a connection on which %s waits", e.id, id)
			if _, err := io.WriteString(conn, extraBytes); err != nil {
				return
			}
		}
		if expected := req.Header.Get("Chestnutgauge-Expect-Instance"); expected != "" && expected != e.id {
			if !e.answer(conn, http.StatusMisdirectedRequest, id, map[string]string{"Chestnutgauge-Not-Executed": "1"}, nil) {
				return
			}
			continue
		}
		if req.URL.Path == "/health" {
			if !e.answer(conn, http.StatusOK, id, map[string]string{"Chestnutgauge-Instance-Id": e.id}, nil) {
				return
			}
			continue
		}
		select {
		case e.places <- struct{}{}:
		case <-time.After(2 * time.Second):
			if !e.answer(conn, http.StatusServiceUnavailable, id, map[string]string{"Chestnutgauge-Not-Executed": "1"}, nil) {
				return
			}
			continue
		}
		e.log.ran(id, e.id, req.Method, req.RequestURI, body)
		time.Sleep(e.work)
		<-e.places
		lost, extra := e.draw()
		if lost {
			e.log.line("engine %s: ran %s and resets the connection", e.id, id)
			_ = conn.SetLinger(0)
			return
		}
		answer := []byte(fmt.Sprintf("%s %s by %s for %s\n", req.Method, req.RequestURI, e.id, id))
		if !e.answer(conn, http.StatusOK, id, map[string]string{"Chestnutgauge-Response-Signature": signature(e.id, id, answer)}, answer) {
			return
		}
		stray = extra
	}
}

// answer writes an answer, and reports whether the connection is kept.
func (e *plainEngine) answer(conn net.Conn, status int, id string, headers map[string]string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nChestnutgauge-Request-Id: %s\r\nContent-Length: %s\r\nChestnutgauge-Server-Load: %d,0,%d\r\n",
		status, http.StatusText(status), id, strconv.Itoa(len(body)), len(e.places), e.slots)
	for name, value := range headers {
		head += name + ": " + value + "\r\n"
	}
	_, err := conn.Write(append([]byte(head+"\r\n"), body...))
	return err == nil
}
