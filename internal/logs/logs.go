// Package logs writes structured log lines without blocking the caller: if the
// output is too slow, lines are dropped and counted.
package logs

import (
	"io"
	"log/slog"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// queueBytes is the capacity of the queue of lines that wait to be written.
const queueBytes = 256 << 10

var droppedLines = metrics.NewCounter("chestnut_log_dropped_lines_total")

// Writer queues lines and writes them in the background. Its methods are safe
// for concurrent use.
type Writer struct {
	out io.Writer

	mu    sync.Mutex
	ready *sync.Cond
	queue []byte
	// spare is the buffer that is being written. It becomes the queue again
	// after the write.
	spare []byte
	// dropped is the number of dropped lines since the last queued one.
	dropped int
	closed  bool
	done    chan struct{}
}

// NewWriter returns a writer to out. It starts a goroutine that runs until Close
// is called.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.ready = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never returns an
// error. The first line after dropped ones is preceded by a warning with their
// number.
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

// run writes the queued lines in batches.
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
			// A failure of the log output can't be logged.
			_, _ = w.out.Write(lines)
		}
		if closed && len(lines) == 0 {
			return
		}
	}
}

// Close writes the queued lines and stops the writer. It blocks until out has
// accepted them.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.ready.Signal()
	w.mu.Unlock()
	<-w.done
}

// New returns a logger that writes key=value lines to w.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
