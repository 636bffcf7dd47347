// Command chestnut-node serves callers and owns engines in one process, on the
// users' platform.
package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"chestnutgauge/internal/logs"
	"chestnutgauge/internal/noded"
	"chestnutgauge/internal/process"
	"chestnutgauge/internal/reload"
	"chestnutgauge/internal/version"
	"chestnutgauge/platform"
)

func main() {
	var file string
	var check bool
	cmd := &cobra.Command{
		Use:           "chestnut-node",
		Short:         "serves callers and owns engines before the users' platform",
		Version:       version.Text(),
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), file, check)
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsVariable), "settings file of the platform")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	process.Main(cmd)
}

func run(ctx context.Context, file string, check bool) error {
	if file == "" {
		return eris.New("no settings file: set " + platform.SettingsVariable + " or --settings")
	}
	watcher := reload.NewWatcher(file)
	defer watcher.Stop()
	settings, err := platform.LoadSettings(file)
	if err != nil || check {
		return err
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	return noded.New(settings, watcher, logs.New(out, slog.LevelInfo).With("vm", settings.VM)).Run(ctx)
}
