package bench

import (
	"fmt"

	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/capacity"
	"chestnutgauge/internal/bench/fleet"
	"chestnutgauge/internal/bench/report"
)

// Sizes of the three sweeps. Each starts at capacityBase.
var (
	capacityBase    = fleet.Size{VMs: 2, Engines: 4, Models: 100, Adapters: 4}
	capacityObjects = []fleet.Size{{VMs: 2, Engines: 4, Models: 500, Adapters: 9}, {VMs: 2, Engines: 4, Models: 1400, Adapters: 11}}
	capacityVMs     = []fleet.Size{{VMs: 5, Engines: 10, Models: 100, Adapters: 4}, {VMs: 9, Engines: 18, Models: 100, Adapters: 4}}
	capacityEngines = []fleet.Size{{VMs: 2, Engines: 14, Models: 100, Adapters: 4}, {VMs: 2, Engines: 28, Models: 100, Adapters: 4}}
)

func capacityCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "capacity",
		Short: "processor time, memory and control traffic per process, at several sizes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			base, err := capacity.Measure(cmd.Context(), "bin", capacityBase)
			if err != nil {
				return err
			}
			r := report.Report{
				Name:    "capacity",
				Command: "chestnut-bench capacity",
				Notes: []string{
					"Processes on loopback without callers; the usage is that of the processes of one VM. Processor time is a fraction of one core. Bytes are the control traffic that a process sends and receives (TCP payload), except to endpoints.",
				},
			}
			sweeps := []struct {
				title  string
				target float64
				x      func(fleet.Size) float64
				sizes  []fleet.Size
			}{
				{"models and adapters", 17400, func(s fleet.Size) float64 { return float64(s.Objects()) }, capacityObjects},
				{"entry VMs of a data centre, with 2 engines each", 44, func(s fleet.Size) float64 { return float64(s.VMs) }, capacityVMs},
				{"engines owned by a controller", 14, func(s fleet.Size) float64 { return float64(s.Engines) / float64(s.VMs) }, capacityEngines},
			}
			for _, sweep := range sweeps {
				points := []capacity.Point{base}
				for _, size := range sweep.sizes {
					point, err := capacity.Measure(cmd.Context(), "bin", size)
					if err != nil {
						return err
					}
					points = append(points, point)
				}
				r.Tables = append(r.Tables, capacityTable(sweep.title, sweep.target, sweep.x, points))
			}
			return publish(cmd, r)
		},
	}
}

func capacityTable(title string, target float64, x func(fleet.Size) float64, points []capacity.Point) report.Table {
	table := report.Table{
		Title:   "By " + title,
		Columns: []string{"role", "figure"},
	}
	for _, point := range points {
		table.Columns = append(table.Columns, fmt.Sprintf("at %.4g", x(point.Size)))
	}
	table.Columns = append(table.Columns, "slope", "residual", fmt.Sprintf("fit at %.5g", target))
	metrics := []struct {
		name  string
		value func(capacity.Usage) float64
	}{
		{"core share", func(u capacity.Usage) float64 { return u.CoreShare }},
		{"memory, MB", func(u capacity.Usage) float64 { return u.MemoryBytes / 1e6 }},
		{"control, KB/s", func(u capacity.Usage) float64 { return u.BytesPerSecond / 1e3 }},
	}
	for _, role := range []string{"router", "controller", "admin"} {
		for _, metric := range metrics {
			var xs, ys []float64
			row := []any{role, metric.name}
			for _, point := range points {
				xs = append(xs, x(point.Size))
				ys = append(ys, metric.value(point.Roles[role]))
				row = append(row, ys[len(ys)-1])
			}
			fit := capacity.FitLine(xs, ys)
			table.Add(append(row, fit.Slope, fit.Residual, fit.At(target))...)
		}
	}
	return table
}
