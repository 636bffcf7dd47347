package reload

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRun checks that a changed file is reloaded, that SIGHUP causes a reload
// even if the file has not changed, and that the removal of the file alone does
// not.
func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	// write replaces the file atomically, so that it is never read half written.
	write := func(text string) {
		next := file + ".next"
		require.NoError(t, os.WriteFile(next, []byte(text), 0o600))
		require.NoError(t, os.Rename(next, file))
	}
	write("a=1")
	reads := make(chan string, 8)
	ctx, cancel := context.WithCancel(t.Context())
	watcher := NewWatcher(file)
	defer watcher.Stop()
	done := make(chan error, 1)
	go func() {
		done <- watcher.Run(ctx, func(Trigger) {
			text, err := os.ReadFile(file)
			if err != nil {
				text = []byte("gone")
			}
			reads <- string(text)
		})
	}()
	write("a=33")
	for last := ""; last != "a=33"; {
		last = <-reads
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "a=33", <-reads)
	require.NoError(t, os.Remove(file))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "gone", <-reads)
	time.Sleep(2 * pollInterval)
	require.Empty(t, reads, "a removed file was read")
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

// TestPendingSignals checks that each of a series of signals that arrive before
// Run causes a reload, and so does a change of the file.
func TestPendingSignals(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(file, []byte("a=1"), 0o600))
	watcher := NewWatcher(file)
	defer watcher.Stop()
	const signals = 3
	for i := range signals {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		require.Eventually(t, func() bool { return len(watcher.signals) > i }, 10*time.Second, time.Millisecond)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var triggers []Trigger
	require.ErrorIs(t, watcher.Run(ctx, func(trigger Trigger) {
		triggers = append(triggers, trigger)
		if len(triggers) == signals {
			require.NoError(t, os.WriteFile(file, []byte("a=22"), 0o600))
		}
		if trigger == FileChanged {
			cancel()
		}
	}), context.Canceled)
	require.Equal(t, []Trigger{Signal, Signal, Signal, FileChanged}, triggers)
}
