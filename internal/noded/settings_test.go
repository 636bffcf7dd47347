package noded

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/reload"
	"chestnutgauge/platform"
)

// TestReadSettings checks that a change of the settings file takes effect where
// that is possible at runtime, that an invalid file changes nothing, and that
// the log reports changes that need a restart.
func TestReadSettings(t *testing.T) {
	data, err := os.ReadFile("../../platform/testdata/settings.conf")
	require.NoError(t, err)
	text := string(data)
	file := filepath.Join(t.TempDir(), "settings")
	write := func(content string) { require.NoError(t, os.WriteFile(file, []byte(content), 0o600)) }
	write(text)
	settings, err := platform.LoadSettings(file)
	require.NoError(t, err)
	var out bytes.Buffer
	watcher := reload.NewWatcher(file)
	defer watcher.Stop()
	n := New(settings, watcher, slog.New(slog.NewTextHandler(&out, nil)))
	read := func(content string) string {
		write(content)
		out.Reset()
		n.readSettings(reload.Signal)
		return out.String()
	}

	require.Contains(t, read(text), "changed=false")

	changed := strings.NewReplacer("graceS=8", "graceS=6", "extraRetries=52", "extraRetries=70").Replace(text)
	line := read(changed)
	require.Contains(t, line, "changed=true restart_needed=false trigger=signal")
	require.Contains(t, line, "ShutdownLimit: 8s -> 6s RetryExtra: 52 -> 70")
	require.Equal(t, 6*time.Second, n.settings.Load().ShutdownLimit)
	require.InDelta(t, 70, n.relay.Budget.Extra, 0)

	require.True(t, n.relay.Basis().KeysRecent)
	require.Contains(t, read(changed+"\nbounds.revokeStrict=true\nbounds.revokeMs=5000\n"), "changed=true restart_needed=false")
	require.False(t, n.relay.Basis().KeysRecent, "the limit on keys took effect, and nothing is confirmed")
	read(changed)
	require.True(t, n.relay.Basis().KeysRecent)

	require.Contains(t, read("nodeName=n1"), "level=ERROR")
	require.Equal(t, 6*time.Second, n.settings.Load().ShutdownLimit)

	half := read(changed[:len(changed)/2])
	require.Contains(t, half, "level=ERROR")
	require.Equal(t, 1, strings.Count(half, "\n"), "one line for each reload")
	require.Equal(t, 6*time.Second, n.settings.Load().ShutdownLimit)

	moved := strings.Replace(changed, "10.0.0.1:80\n", "10.0.0.1:83\n", 1)
	require.Contains(t, read(moved), "restart_needed=true")
}

// TestLimits checks that the size of a request's body is limited with and
// without a configuration.
func TestLimits(t *testing.T) {
	settings, err := platform.LoadSettings("../../platform/testdata/settings.conf")
	require.NoError(t, err)
	n := New(settings, nil, slog.New(slog.DiscardHandler))
	require.EqualValues(t, defaultMaxBody, n.limits().BodyBytes)
	n.config.Update(catalog.New(1, nil, nil, catalog.Limits{HeaderBytes: 100, IdleTime: time.Second}))
	require.EqualValues(t, defaultMaxBody, n.limits().BodyBytes)
	require.Equal(t, 100, n.limits().HeaderBytes)
	require.Equal(t, time.Second, n.limits().Idle)
	n.config.Update(catalog.New(2, nil, nil, catalog.Limits{BodyBytes: 10}))
	require.EqualValues(t, 10, n.limits().BodyBytes)
	require.Zero(t, n.limits().Idle)
}
