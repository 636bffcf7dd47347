package bench

import (
	"time"

	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/coldstart"
	"chestnutgauge/internal/bench/report"
)

// stormSeeds is the number of seeds of the simulated storms.
const stormSeeds = 200

// Deadlines of the two simulated storms. The second demands more loads than the
// weight store can complete in time.
var (
	feasibleDeadlines = coldstart.Deadlines{Min: 3 * time.Second, Max: 15 * time.Second}
	overloadDeadlines = coldstart.Deadlines{Min: 1500 * time.Millisecond, Max: 8 * time.Second}
)

func coldStartCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "coldstart",
		Short: "overhead of a cold start for a burst of callers, and the order of loads in a storm",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			burst, err := coldstart.Burst(cmd.Context(), "bin")
			if err != nil {
				return err
			}
			return publish(cmd, report.Report{
				Name:    "coldstart",
				Command: "chestnut-bench coldstart",
				Notes: []string{
					"Burst: processes on loopback. The overhead of a run is the time from sending the burst to the run's start at the engine, minus the duration of the engine's load, from the stand-in's journal.",
					"Storm: simulation of 40 cold models that are requested within 2 s while the weight store completes 4 loads per second, 4 at a time at full speed. Each model has 1 to 8 callers. Share of callers answered before their deadline; seeds 0 to 199.",
				},
				Tables: []report.Table{burst, coldstart.Storm(stormSeeds, feasibleDeadlines), coldstart.Storm(stormSeeds, overloadDeadlines)},
			})
		},
	}
}
