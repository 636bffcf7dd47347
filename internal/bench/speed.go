package bench

import (
	"fmt"

	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/bench/speed"
)

// speedModels is the number of models requested.
const speedModels = 8

func speedCommand() *cobra.Command {
	s := speed.Settings{Requests: 2000, Streams: 400, Tokens: 300, Concurrency: 64}
	cmd := &cobra.Command{
		Use:   "speed",
		Short: "processor time of a router per request and per streamed chunk (needs EXAMPLE=agency make up)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for i := range speedModels {
				s.Models = append(s.Models, fmt.Sprintf("collection-%02d", i+1))
			}
			table, err := speed.Run(cmd.Context(), s)
			if err != nil {
				return err
			}
			return publish(cmd, report.Report{
				Name:    "speed",
				Command: "make bench",
				Notes: []string{
					"Router process of examples/agency on loopback: user and system time from /proc, before and after. The last column is for 160 requests and 57,000 tokens per second, ten times an entry VM's share at the design target.",
				},
				Tables: []report.Table{table},
			})
		},
	}
	cmd.Flags().StringVar(&s.Callers, "callers", "127.0.0.1:8080", "address of the router")
	cmd.Flags().StringVar(&s.PIDFile, "pid-file", ".run/router-1.pid", "file with the router's process id")
	return cmd
}
