// Package logs writes structured log lines without ever blocking: lines that
// the reader does not take in time are dropped and counted.
package logs

import (
	"io"
	"log/slog"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// queueBytes bounds the lines that wait to be written.
const queueBytes = 256 << 10

var droppedLines = metrics.NewCounter("chestnut_log_dropped_lines_total")

// Writer queues lines for a slow reader. Its methods are safe for concurrent
// use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	ready   *sync.Cond
	queue   []byte
	spare   []byte
	dropped int
	closed  bool
	done    chan struct{}
}

// NewWriter returns a writer to out. It starts a goroutine that Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.ready = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(line) > queueBytes {
		w.dropped++
		droppedLines.Inc()
		return len(line), nil
	}
	if w.dropped > 0 {
		w.queue = append(w.queue, "level=WARN msg=\"log lines dropped\" lines="...)
		w.queue = strconv.AppendInt(w.queue, int64(w.dropped), 10)
		w.queue = append(w.queue, '\n')
		w.dropped = 0
	}
	w.queue = append(w.queue, line...)
	w.ready.Signal()
	return len(line), nil
}

// run writes what is queued, several lines at once.
func (w *Writer) run() {
	defer close(w.done)
	for {
		w.mu.Lock()
		for len(w.queue) == 0 && !w.closed {
			w.ready.Wait()
		}
		lines := w.queue
		w.queue = w.spare[:0]
		w.spare = lines
		closed := w.closed
		w.mu.Unlock()
		if len(lines) > 0 {
			// There is nowhere to report a failure of the log itself.
			_, _ = w.out.Write(lines)
		}
		if closed && len(lines) == 0 {
			return
		}
	}
}

// Close writes what is queued and ends the writer. It waits for the reader.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.ready.Signal()
	w.mu.Unlock()
	<-w.done
}

// New returns a logger of key=value lines on a writer.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
