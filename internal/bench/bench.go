// Package bench defines the commands of chestnut-bench, one per benchmark.
package bench

import (
	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/report"
)

// Directory is the directory in which reports are saved.
const Directory = "docs/measurements"

// Commands returns the commands of all benchmarks.
func Commands() []*cobra.Command {
	return []*cobra.Command{
		pathCommand(),
		configurationCommand(),
		keepAliveCommand(),
		coldStartCommand(),
		deltasCommand(),
		placementCommand(),
		soakCommand(),
		capacityCommand(),
		routingCommand(),
		speedCommand(),
		claimsCommand(),
	}
}

// publish prints a report and saves it in Directory.
func publish(cmd *cobra.Command, r report.Report) error {
	if err := r.Print(cmd.OutOrStdout()); err != nil {
		return err
	}
	return r.Save(Directory)
}
