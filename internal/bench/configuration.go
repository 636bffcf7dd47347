package bench

import (
	"time"

	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/configuration"
	"chestnutgauge/internal/bench/report"
)

func configurationCommand() *cobra.Command {
	var span time.Duration
	cmd := &cobra.Command{
		Use:   "configuration",
		Short: "time until a change is in effect on 9 VMs, and its bytes and reads",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			tables, err := configuration.Run(cmd.Context(), span)
			if err != nil {
				return err
			}
			return publish(cmd, report.Report{
				Name:    "configuration",
				Command: "chestnut-bench configuration --span " + span.String(),
				Notes: []string{
					"9 VMs in 3 data centres, with 3 processes each, in one program with gRPC over loopback; a table that responds after 2 ms. A change is a deployment of 10 models with 11 adapters each. Bytes are those sent and received on peer connections, without TCP and IP headers, over the 3 processes of a VM.",
				},
				Tables: tables,
			})
		},
	}
	cmd.Flags().DurationVar(&span, "span", time.Minute, "time at each rate")
	return cmd
}
