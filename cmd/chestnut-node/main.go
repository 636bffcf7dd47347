// Command chestnut-node serves callers and owns engines in one process, on the
// users' platform.
package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"chestnutgauge/internal/logs"
	"chestnutgauge/internal/noded"
	"chestnutgauge/internal/overflow"
	"chestnutgauge/internal/process"
	"chestnutgauge/internal/reload"
	"chestnutgauge/internal/version"
	"chestnutgauge/platform"
)

func main() {
	var file string
	var check bool
	var costPerKB time.Duration
	cmd := &cobra.Command{
		Use:           "chestnut-node",
		Short:         "serves callers and owns engines before the users' platform",
		Version:       version.Text(),
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), file, check, costPerKB)
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsVariable), "settings file of the platform")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	cmd.Flags().DurationVar(&costPerKB, "cross-dc-cost-per-kb", overflow.DefaultPerKB, "time for which a request rather waits than send 1,024 bytes to another data centre")
	process.Main(cmd)
}

func run(ctx context.Context, file string, check bool, costPerKB time.Duration) error {
	if file == "" {
		return eris.New("no settings file: set " + platform.SettingsVariable + " or --settings")
	}
	if costPerKB < 0 {
		return eris.New("--cross-dc-cost-per-kb: negative")
	}
	watcher := reload.NewWatcher(file)
	defer watcher.Stop()
	settings, err := platform.LoadSettings(file)
	if err != nil || check {
		return err
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	node := noded.New(settings, watcher, logs.New(out, slog.LevelInfo).With("vm", settings.VM))
	node.SetCostPerKB(costPerKB)
	return node.Run(ctx)
}
