// Command chestnutctl is the operators' command line.
package main

import (
	"chestnutgauge/internal/ctl"
	"chestnutgauge/internal/process"
)

func main() {
	process.Main(ctl.Command())
}
