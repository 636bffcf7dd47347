// Package supervise builds the supervisor tree of a process: a root, one
// supervisor per subsystem, and workers below.
package supervise

import (
	"context"
	"errors"
	"log/slog"

	"github.com/thejerf/suture/v4"
)

// Tree is a supervisor.
type Tree = suture.Supervisor

// New returns a supervisor that logs what happens to its workers.
func New(name string, log *slog.Logger) *Tree {
	hook := func(event suture.Event) {
		log.Warn("supervisor", "event", event.String())
	}
	return suture.New(name, suture.Spec{EventHook: hook})
}

// worker runs a function as a suture service.
type worker struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service. A worker that returns nil has finished
// and is not started again.
func (w worker) Serve(ctx context.Context) error {
	err := w.run(ctx)
	if err == nil && ctx.Err() == nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// String names the worker in the log.
func (w worker) String() string {
	return w.name
}

// Add starts run under the supervisor. It is started anew, with backoff, when
// it returns an error or panics.
func Add(tree *Tree, name string, run func(context.Context) error) {
	tree.Add(worker{name: name, run: run})
}

// Run serves the tree until ctx ends.
func Run(ctx context.Context, tree *Tree) error {
	err := tree.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
