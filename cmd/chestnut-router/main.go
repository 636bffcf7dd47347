// Command chestnut-router serves callers' requests.
package main

import (
	"context"

	"chestnutgauge/internal/process"
	"chestnutgauge/internal/router/routerd"
)

func main() {
	process.Main(process.Command("chestnut-router", "answers callers and streams from endpoints", run))
}

func run(ctx context.Context, file string, check bool) error {
	settings, err := routerd.LoadSettings(file)
	if err != nil || check {
		return err
	}
	return routerd.Run(ctx, settings)
}
