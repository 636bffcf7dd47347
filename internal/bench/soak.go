package bench

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/soak"
	"chestnutgauge/internal/bench/traffic"
)

func soakCommand() *cobra.Command {
	s := soak.Settings{
		Binaries: "bin",
		Example:  "examples/demo",
		Limits:   traffic.DemoLimits(),
		Traffic: traffic.Settings{
			Mixes:    traffic.DemoMixes(),
			Callers:  24,
			Pause:    100 * time.Millisecond,
			Deadline: 30 * time.Second,
			Tokens:   20,
		},
	}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "mixed requests under seeded random faults, on processes of examples/demo",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			directory, err := os.MkdirTemp("", "soak")
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			s.Directory, s.Log = directory, out
			fmt.Fprintf(out, "seed %d, %s\n", s.Seed, s.Duration)
			summary, err := soak.Run(cmd.Context(), s)
			if err != nil {
				return fmt.Errorf("logs in %s: %w", directory, err)
			}
			fmt.Fprintf(out, "%d requests: %d complete, %d refused, %d failed, %d retried\n", summary.Requests, summary.Complete, summary.Refused, summary.Failed, summary.Retried)
			for _, code := range slices.Sorted(maps.Keys(summary.Codes)) {
				fmt.Fprintf(out, "  %s: %d\n", code, summary.Codes[code])
			}
			for _, violation := range summary.Violations {
				fmt.Fprintln(out, "VIOLATION: "+violation)
			}
			if len(summary.Violations) > 0 {
				return fmt.Errorf("%d guarantees violated with seed %d; logs in %s", len(summary.Violations), s.Seed, directory)
			}
			return os.RemoveAll(directory)
		},
	}
	cmd.Flags().Uint64Var(&s.Seed, "seed", 1, "seed of the faults and the requests")
	cmd.Flags().DurationVar(&s.Duration, "duration", time.Minute, "how long faults are injected")
	return cmd
}
