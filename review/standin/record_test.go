//go:build review

package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	runs    map[string][]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now(), runs: map[string][]string{}}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that an engine has begun to run a request.
func (r *record) ran(id, engine, method, target string, body []byte) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], engine)
	n := len(r.runs[id])
	r.mu.Unlock()
	r.line("run %s at %s: %s %s, %d bytes, run number %d", id, engine, method, target, len(body), n)
}

// runsOf returns the engines that ran each request.
func (r *record) runsOf() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]string, len(r.runs))
	for id, engines := range r.runs {
		out[id] = append([]string(nil), engines...)
	}
	return out
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
