package bench

import (
	"fmt"

	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/bench/routing"
)

// routingLoads are the shares of the capacity at which routing is measured.
var routingLoads = []float64{0.2, 0.4, 0.6, 0.8, 0.9, 0.95}

// routingRouters are the numbers of routers that share the engines: as few as a
// data centre has today, and as many as it has at the size designed for.
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
					"Simulation of the choice alone: 12 engines whose speeds differ 1:4, reports that lag 1 s, answers that carry the load of their start. All policies get the same arrivals.",
				},
				Tables: tables,
			})
		},
	}
	cmd.Flags().Uint64Var(&s.Seed, "seed", s.Seed, "seed of the arrivals")
	cmd.Flags().IntVar(&s.Requests, "requests", s.Requests, "requests at each load")
	return cmd
}
