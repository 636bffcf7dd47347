package bench

import (
	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/claims"
	"chestnutgauge/internal/bench/report"
)

func claimsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "claims",
		Short: "commits to the table per non-idempotent request, by batch size",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			table, err := claims.Run(cmd.Context(), claims.DefaultSettings())
			if err != nil {
				return err
			}
			return publish(cmd, report.Report{
				Name:    "claims",
				Command: "chestnut-bench claims",
				Notes:   []string{"One router on the stand-in's table, 10 ms per commit; each request is claimed and its response of 1 KiB stored. The last column is for a table that sustains 300 commits per second. Reads are not counted."},
				Tables:  []report.Table{table},
			})
		},
	}
}
