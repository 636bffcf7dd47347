package bench

import (
	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/keepalive"
	"chestnutgauge/internal/bench/report"
)

// keepAliveSeed is the seed of the generated demand.
const keepAliveSeed = 1

func keepAliveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "keepalive",
		Short: "idle accelerator hours and cold-start wait of keep-alive policies (simulation)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			demand := keepalive.DefaultDemand(0, keepAliveSeed)
			r := report.Report{
				Name:    "keepalive",
				Command: "chestnut-bench keepalive",
				Seed:    keepAliveSeed,
				Notes: []string{
					"Simulation of one generated demand: lognormal rates with 18% of the models activated within an hour on average, 15% of them at regular times, a daily and weekly pattern, bursts of 3 callers on average followed by sessions. A load takes 4 s in the median from the engine's disk, 2.5 times as long from the weight store (30%). Waits are those of all requests, 0 for a warm one.",
				},
			}
			users := []keepalive.User{
				{Name: "Agency, most models", Models: 65, Weight: 1},
				{Name: "Agency, assistant", Models: 65, Weight: 10},
				{Name: "Kōwhai, most models", Models: 100, Weight: 5},
				{Name: "Kōwhai, shift leads", Models: 100, Weight: 30},
			}
			for _, user := range users {
				r.Tables = append(r.Tables, keepalive.Run(demand, user))
			}
			return publish(cmd, r)
		},
	}
}
