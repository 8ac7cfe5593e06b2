package lifecycle

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"
)

// Task is work that goes on until its context ends.
type Task func(ctx context.Context) error

// Serve runs tasks until ctx ends or one of them fails, then drains while they
// still run, and only then ends them. It returns the tasks' errors and what the
// drain had to cut.
func Serve(ctx context.Context, tasks []Task, drain func() error) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, failed := errgroup.WithContext(running)
	for _, task := range tasks {
		group.Go(func() error { return task(running) })
	}
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	cut := drain()
	cancel()
	return errors.Join(group.Wait(), cut)
}
