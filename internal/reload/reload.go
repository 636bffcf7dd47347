// Package reload triggers the reload of a settings file: at SIGHUP, or when the
// file has changed.
package reload

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	// A process that reloads its settings must survive a SIGHUP that it receives
	// before it has created a Watcher.
	_ "chestnutgauge/internal/hangup"
)

const (
	// pollInterval is the interval at which the file is checked for changes.
	pollInterval = time.Second
	// maxPendingSignals is the number of signals that wait for their reload;
	// further ones are covered by the reloads of these.
	maxPendingSignals = 16
)

// Trigger is the reason for a reload.
type Trigger string

// Triggers.
const (
	Signal      Trigger = "signal"
	FileChanged Trigger = "file changed"
)

// fileState identifies the version of a file by its modification time and size.
// It is zero for a file that does not exist or can't be read.
type fileState struct {
	modified time.Time
	size     int64
}

func stateOf(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// Watcher watches a settings file. It is created before the file is first read,
// so that no signal and no change after that is missed.
type Watcher struct {
	file    string
	signals chan os.Signal
	last    fileState
}

// NewWatcher returns a watcher of a file. From then on, signals are pending
// until Run receives them.
func NewWatcher(file string) *Watcher {
	w := &Watcher{file: file, signals: make(chan os.Signal, maxPendingSignals)}
	signal.Notify(w.signals, syscall.SIGHUP)
	w.last = stateOf(file)
	return w
}

// Stop ends the delivery of signals, which are then ignored.
func (w *Watcher) Stop() {
	signal.Stop(w.signals)
}

// Run calls reload at each signal and after each change of the file until ctx
// ends, and returns the error of ctx. The removal of the file is not treated as
// a change.
func (w *Watcher) Run(ctx context.Context, reload func(Trigger)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.signals:
			w.last = stateOf(w.file)
			reload(Signal)
		case <-ticker.C:
			now := stateOf(w.file)
			if now != w.last && now != (fileState{}) {
				w.last = now
				reload(FileChanged)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
