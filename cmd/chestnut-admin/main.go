// Command chestnut-admin serves the operators' API.
package main

import (
	"context"

	"chestnutgauge/internal/admin/admind"
	"chestnutgauge/internal/process"
)

func main() {
	process.Main(process.Command("chestnut-admin", "serves the operators' interface", run))
}

func run(ctx context.Context, file string, check bool) error {
	settings, err := admind.LoadSettings(file)
	if err != nil || check {
		return err
	}
	return admind.Run(ctx, settings)
}
