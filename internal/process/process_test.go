package process

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"
)

// shutdownVariable makes the test binary a daemon whose shutdown takes the time that it holds.
const shutdownVariable = "CHESTNUT_TEST_SHUTDOWN"

// TestMain runs the tests, or the daemon of TestFurtherSignals.
func TestMain(m *testing.M) {
	limit, err := time.ParseDuration(os.Getenv(shutdownVariable))
	if err != nil {
		os.Exit(m.Run())
	}
	Main(&cobra.Command{RunE: func(cmd *cobra.Command, _ []string) error {
		fmt.Println("started")
		<-cmd.Context().Done()
		fmt.Println("shutting down")
		time.Sleep(limit)
		fmt.Println("done")
		return nil
	}})
}

// TestFurtherSignals guards against a repeated SIGTERM that ends a process in its graceful shutdown,
// with the requests that it serves, and against a SIGINT that does not.
func TestFurtherSignals(t *testing.T) {
	cases := []struct {
		signal syscall.Signal
		done   bool
	}{
		{syscall.SIGTERM, true},
		{syscall.SIGINT, false},
	}
	for _, tc := range cases {
		t.Run(tc.signal.String(), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			daemon := exec.CommandContext(ctx, os.Args[0])
			daemon.Env = append(os.Environ(), shutdownVariable+"=500ms")
			out, err := daemon.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, daemon.Start())
			lines := bufio.NewScanner(out)
			require.True(t, lines.Scan())
			require.NoError(t, daemon.Process.Signal(syscall.SIGTERM))
			require.True(t, lines.Scan())
			time.Sleep(100 * time.Millisecond)
			require.NoError(t, daemon.Process.Signal(tc.signal))
			require.Equal(t, tc.done, lines.Scan())
			require.Equal(t, tc.done, daemon.Wait() == nil)
		})
	}
}
