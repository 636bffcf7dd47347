package bench

import (
	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/placement"
	"chestnutgauge/internal/bench/report"
)

// placementSeeds are the seeds of the simulated activations.
var placementSeeds = []uint64{1, 2}

func placementCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "placement",
		Short: "cold starts with placement by expected cost and by free memory only (simulation)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r := report.Report{
				Name:    "placement",
				Command: "chestnut-bench placement",
				Seed:    placementSeeds[0],
				Notes: []string{
					"Simulation: engines of three sizes and four speeds that cache 20 checkpoints on disk and the latest 2 in memory. Half of the activations find their slot free and are placed; the others load the model where the slot is bound. Times are those of the loads, at 1 GB/s from the weight store and 4 GB/s from disk.",
				},
			}
			for _, seed := range placementSeeds {
				r.Tables = append(r.Tables, placement.Run(seed))
			}
			return publish(cmd, r)
		},
	}
}
