//go:build review

// Package standin has stand-ins for the users' platform, its engines and its callers, and the
// scenarios of the review's scripts. Its test program runs one scenario: SCENARIO names it, RECORD is
// the file that it writes, and with TROUBLE=0 it leaves the disruption out.
package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Results of a scenario, as the exit code of its script.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	readyTime = 25 * time.Second
)

// system is the system with its surroundings.
type system struct {
	record  *record
	dir     string
	prefix  string
	store   *store
	nodes   []*node
	trouble bool
	// requests counts what callers sent, statuses what they got.
	requests atomic.Int64
	mu       sync.Mutex
	statuses map[string]int
}

var scenarios = map[string]func(ctx context.Context, s *system) (int, error){
	"adapters": adaptersScenario,
	"parts":    partsScenario,
	"slashes":  slashesScenario,
}

func TestMain(*testing.M) {
	os.Exit(run())
}

func run() int {
	scenario, known := scenarios[os.Getenv("SCENARIO")]
	if !known {
		fmt.Println("SCENARIO names no scenario")
		return couldNot
	}
	rec, err := newRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &system{record: rec, prefix: loopbackNet(), trouble: os.Getenv("TROUBLE") != "0", statuses: map[string]int{}}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer func() { _ = os.RemoveAll(s.dir) }()
	defer s.end()
	result, err := scenario(ctx, s)
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Println(err)
		return couldNot
	}
	rec.line("requests %d, answers %v", s.requests.Load(), s.statuses)
	rec.line("result %d", result)
	fmt.Println("result", result)
	return result
}

// end ends all processes.
func (s *system) end() {
	for _, n := range s.nodes {
		n.kill()
	}
}

// address returns a free address.
func (s *system) address(host int) (string, error) {
	ip := s.prefix + fmt.Sprint(host)
	ports, err := freePorts(ip, 1)
	if err != nil {
		return "", err
	}
	return ip + ":" + ports[0], nil
}

// begin starts the store and the nodes, and waits until these are ready.
func (s *system) begin(count int, zones []string, manifest string) error {
	address, err := s.address(200)
	if err != nil {
		return err
	}
	if s.store, err = newStore(address); err != nil {
		return err
	}
	s.store.write("op", "config", []byte(manifest))
	for i := range count {
		n, err := newNode(s.dir, fmt.Sprintf("front-%d", i+1), s.prefix+fmt.Sprint(10+i), zones[i%len(zones)], address)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	return nil
}

// startNodes starts the processes of all nodes, and waits until they are ready.
func (s *system) startNodes() error {
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return awaitReady(s.nodes, readyTime)
}

// callers sends requests over kept connections, as some callers do.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// request is a caller's request.
type request struct {
	method, host, path  string
	model, usage, parts string
	deadline            time.Duration
}

var requestNumber atomic.Int64

// send sends a request to a node and reads the answer. It returns the status, 0 without a complete one.
func (s *system) send(n *node, q request) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.front, strings.NewReader("{}"))
	if err != nil {
		return 0, ""
	}
	// The path is sent as it is. net/http puts the scheme before an opaque one that begins with two slashes.
	if strings.HasPrefix(q.path, "//") {
		req.URL.Path, req.URL.RawPath = q.path, q.path
	} else {
		req.URL.Opaque = q.path
	}
	req.Host = q.host
	req.Header.Set("Chestnutgauge-Request-Id", fmt.Sprintf("%08x%08x", rand.Uint32(), requestNumber.Add(1)))
	req.Header.Set("Chestnutgauge-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.model != "" {
		req.Header.Set("Chestnutgauge-Model", q.model)
		req.Header.Set("Chestnutgauge-Token-Usage", q.usage)
		req.Header.Set("Chestnutgauge-Prompt-Prefix", q.parts)
	}
	s.requests.Add(1)
	resp, err := callers.Do(req)
	if err != nil {
		s.count("no answer")
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.count("broken off")
		return 0, string(data)
	}
	s.count(fmt.Sprint(resp.StatusCode))
	return resp.StatusCode, string(data)
}

func (s *system) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[what]++
}

// pick returns a node whose process runs, as the platform's balancer does, or nil.
func (s *system) pick() *node {
	for range 20 {
		n := s.nodes[rand.IntN(len(s.nodes))]
		n.mu.Lock()
		runs := n.process != nil
		n.mu.Unlock()
		if runs {
			return n
		}
	}
	return nil
}

// every calls a function at an interval, each time in a goroutine, until ctx ends.
func every(ctx context.Context, interval time.Duration, call func(i int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
			go call(i)
		case <-ctx.Done():
			return
		}
	}
}
