package reload

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWatch checks that a changed file is reloaded, that SIGHUP causes a reload
// even if the file has not changed, and that the removal of the file alone does
// not.
func TestWatch(t *testing.T) {
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
	done := make(chan error, 1)
	go func() {
		done <- Watch(ctx, file, func() {
			text, err := os.ReadFile(file)
			if err != nil {
				text = []byte("gone")
			}
			reads <- string(text)
		})
	}()
	// Changes the file until the first reload shows that the watch has started.
	first := time.NewTicker(10 * time.Millisecond)
	defer first.Stop()
	for n := 0; ; n++ {
		write("a=2" + strings.Repeat(" ", n))
		<-first.C
		if len(reads) > 0 {
			break
		}
	}
	require.Equal(t, "a=2", (<-reads)[:3])
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
