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

// TestWatch changes a file, removes it, and sends the signal, which also comes
// for a file that looks the same.
func TestWatch(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	// A file that is written in place may be read half written.
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
	// Until the first read it is not known whether the watch has begun.
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
	time.Sleep(2 * interval)
	require.Empty(t, reads, "a file that is gone was read")
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}
