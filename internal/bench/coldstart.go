package bench

import (
	"time"

	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/coldstart"
	"chestnutgauge/internal/bench/report"
)

// stormSeeds are the seeds of the simulated storms.
const stormSeeds = 200

// The second storm asks for more than the store can give in time.
var (
	easyStorm = coldstart.Deadlines{Min: 3 * time.Second, Max: 15 * time.Second}
	hardStorm = coldstart.Deadlines{Min: 1500 * time.Millisecond, Max: 8 * time.Second}
)

func coldStartCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "coldstart",
		Short: "own share of a cold start for a burst of callers, and the order of loads in a storm",
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
					"Burst: processes on loopback. The own share of a run is the time from the sending of the burst to the run's start at the engine, less the engine's load, by the stand-in's journal.",
					"Storm: simulation of 40 cold models that are asked for within 2 s while the weight store gives 4 loads a second, 4 at once at full speed. Each model has 1 to 8 callers. Share of callers answered before their deadline; seeds 0 to 199.",
				},
				Tables: []report.Table{burst, coldstart.Storm(stormSeeds, easyStorm), coldstart.Storm(stormSeeds, hardStorm)},
			})
		},
	}
}
