//go:build review

// Package standin has the stand-ins and the drivers of the scripts of this review. It is built
// by review/build.sh only.
package standin

import (
	"fmt"
	"os"
	"testing"
)

// settings are those of a case, from the environment.
type settings struct {
	// run is the command of the deploy file, folder a temporary one.
	run, folder, pids string
	trouble           bool
	log               *record
}

// cases are the drivers. Each reports whether the rule was broken.
var cases = map[string]func(settings) (broken bool, err error){
	"bodiless":   runBodiless,
	"strayBytes": runStrayBytes,
	"brittle":    runBrittle,
	"takeUp":     runTakeUp,
}

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func TestMain(*testing.M) {
	os.Exit(runCase())
}

func runCase() int {
	log, err := newRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer log.close()
	run, ok := cases[os.Getenv("CASE")]
	if !ok {
		fmt.Println("no such case")
		return exitNotRun
	}
	broken, err := run(settings{
		run: os.Getenv("NODE_RUN"), folder: os.Getenv("FOLDER"), pids: os.Getenv("PIDS"),
		trouble: os.Getenv("TROUBLE") != "0", log: log,
	})
	switch {
	case err != nil:
		log.line("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
