// Package bench gathers the measurements as commands, one file per
// measurement.
package bench

import (
	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/report"
)

// Directory is where the reports are kept.
const Directory = "docs/measurements"

// Commands returns the commands of all measurements.
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

// publish prints a report and keeps it.
func publish(cmd *cobra.Command, r report.Report) error {
	if err := r.Print(cmd.OutOrStdout()); err != nil {
		return err
	}
	return r.Save(Directory)
}
