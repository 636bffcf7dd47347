package bench

import (
	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/deltas"
	"chestnutgauge/internal/bench/report"
)

// deltasSeed is the seed of the simulated endpoint changes.
const deltasSeed = 1

func deltasCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "deltas",
		Short: "bytes and processor time of streaming the state of endpoints to peers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			table, fitted, err := deltas.Run(cmd.Context(), deltasSeed)
			if err != nil {
				return err
			}
			return publish(cmd, report.Report{
				Name:    "deltas",
				Command: "chestnut-bench deltas",
				Seed:    deltasSeed,
				Notes: []string{
					"One publisher and its peers in one process, gRPC streams over loopback. The load of every endpoint changes every second; at each, loaded models are dropped at random every 5 minutes on average. Bytes are TCP payload sent by the publisher; processor time is that of the process, including both sides and the changes themselves.",
				},
				Tables: []report.Table{table, fitted},
			})
		},
	}
}
