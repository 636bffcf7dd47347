// Command chestnutctl is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chestnutgauge/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := ctl.Command().ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnutctl: "+ctl.Message(err))
	}
	os.Exit(ctl.ExitCode(err))
}
