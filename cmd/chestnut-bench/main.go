// Command chestnut-bench runs benchmarks of the system and its baselines.
package main

import (
	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench"
	"chestnutgauge/internal/process"
)

func main() {
	root := &cobra.Command{
		Use:           "chestnut-bench",
		Short:         "measures chestnutgauge against its baselines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(bench.Commands()...)
	process.Main(root)
}
