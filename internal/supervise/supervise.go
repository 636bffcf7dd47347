// Package supervise runs the workers of a process under a supervisor that
// restarts them.
package supervise

import (
	"context"
	"errors"
	"log/slog"

	"github.com/thejerf/suture/v4"
)

// Tree is a supervisor.
type Tree = suture.Supervisor

// New returns a supervisor that logs the failures and restarts of its workers.
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

// Serve implements suture.Service. A worker that returns nil has finished and is
// not restarted.
func (w worker) Serve(ctx context.Context) error {
	err := w.run(ctx)
	if err == nil && ctx.Err() == nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// String returns the name of the worker for the log.
func (w worker) String() string {
	return w.name
}

// Add adds a worker. The supervisor restarts it, with backoff, when run returns
// an error or panics.
func Add(tree *Tree, name string, run func(context.Context) error) {
	tree.Add(worker{name: name, run: run})
}

// Run runs the tree until ctx ends.
func Run(ctx context.Context, tree *Tree) error {
	err := tree.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
