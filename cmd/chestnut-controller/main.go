// Command chestnut-controller owns engines and loads models on them.
package main

import (
	"context"

	"chestnutgauge/internal/controller/controllerd"
	"chestnutgauge/internal/process"
)

func main() {
	process.Main(process.Command("chestnut-controller", "owns engines and loads models on them", run))
}

func run(ctx context.Context, file string, check bool) error {
	settings, err := controllerd.LoadSettings(file)
	if err != nil || check {
		return err
	}
	return controllerd.Run(ctx, settings)
}
