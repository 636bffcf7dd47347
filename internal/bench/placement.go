package bench

import (
	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/placement"
	"chestnutgauge/internal/bench/report"
)

// placementSeeds are the seeds of the simulated wakes.
var placementSeeds = []uint64{1, 2}

func placementCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "placement",
		Short: "cold starts with placement by expected cost against free memory alone (simulation)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r := report.Report{
				Name:    "placement",
				Command: "chestnut-bench placement",
				Seed:    placementSeeds[0],
				Notes: []string{
					"Simulation: engines of three sizes and four speeds whose disks keep 20 checkpoints and whose memory the newest 2. Half of the wakes find their slot free and are placed; the others wake where the slot is bound. Times are those of the loads, at 1 GB/s from the weight store and 4 GB/s from disk.",
				},
			}
			for _, seed := range placementSeeds {
				r.Tables = append(r.Tables, placement.Run(seed))
			}
			return publish(cmd, r)
		},
	}
}
