// Command chestnut-standin simulates engines, plain services and the platform in
// tests and demos.
package main

import (
	"context"

	"chestnutgauge/internal/process"
	"chestnutgauge/internal/settings"
	"chestnutgauge/internal/standin"
)

func main() {
	process.Main(process.Command("chestnut-standin", "stands in for engines, services and the platform", run))
}

func run(ctx context.Context, file string, check bool) error {
	loaded := standin.Defaults()
	if err := settings.Load(file, &loaded); err != nil || check {
		return err
	}
	return standin.New(loaded).Serve(ctx)
}
