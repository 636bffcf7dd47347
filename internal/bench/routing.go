package bench

import (
	"fmt"

	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/bench/routing"
)

// routingLoads are the loads at which routing is measured, as shares of capacity.
var routingLoads = []float64{0.2, 0.4, 0.6, 0.8, 0.9, 0.95}

// routingRouters are the numbers of routers that share the engines, from those of
// a data centre today to those of the design target.
var routingRouters = []int{4, 12, 40}

func routingTable(s routing.Settings) report.Table {
	table := report.Table{
		Title:   fmt.Sprintf("Time to the first token, %d routers", s.Routers),
		Columns: []string{"load", "policy", "p50", "p95", "p99"},
	}
	for _, load := range routingLoads {
		s.Load = load
		for _, policy := range routing.Policies() {
			result := routing.Simulate(s, policy)
			table.Add(load, string(policy), result.P50, result.P95, result.P99)
		}
	}
	return table
}

func routingCommand() *cobra.Command {
	s := routing.DefaultSettings()
	cmd := &cobra.Command{
		Use:   "routing",
		Short: "time to the first token by policy, simulated",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var tables []report.Table
			for _, routers := range routingRouters {
				s.Routers = routers
				tables = append(tables, routingTable(s))
			}
			return publish(cmd, report.Report{
				Name:    "routing",
				Command: fmt.Sprintf("chestnut-bench routing --seed %d --requests %d", s.Seed, s.Requests),
				Seed:    s.Seed,
				Notes: []string{
					"Simulation of the endpoint choice only: 12 engines whose speeds differ by up to 1:4, load reports delayed by 1 s, responses that carry the engine's load at their start. All policies get the same arrivals.",
				},
				Tables: tables,
			})
		},
	}
	cmd.Flags().Uint64Var(&s.Seed, "seed", s.Seed, "seed of the arrivals")
	cmd.Flags().IntVar(&s.Requests, "requests", s.Requests, "requests at each load")
	return cmd
}
