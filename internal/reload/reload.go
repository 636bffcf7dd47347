// Package reload triggers the reload of a settings file: at SIGHUP, or when the
// file has changed.
package reload

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is the interval at which the file is checked for changes.
const pollInterval = time.Second

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

// Watch calls reload at each SIGHUP and after each change of a file until ctx
// ends. The removal of the file is not treated as a change.
func Watch(ctx context.Context, file string, reload func()) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := stateOf(file)
	for {
		select {
		case <-signals:
			last = stateOf(file)
			reload()
		case <-ticker.C:
			now := stateOf(file)
			if now != last && now != (fileState{}) {
				last = now
				reload()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
