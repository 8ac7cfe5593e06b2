// Package demo is the command that shows a whole mesh at work in one process:
// it changes configuration, drains and restarts under load, and accounts for
// every call.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/lab/output"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
)

// Command holds the flags of `kestrel-lab demo`.
type Command struct {
	Deployment string        `default:"ev" enum:"ev,depot" help:"Deployment to run: ev or depot."`
	Rate       float64       `default:"400" help:"Mean calls a second."`
	Seed       uint64        `default:"1" help:"Seed of the calls."`
	Timeout    time.Duration `default:"1m" help:"Longest time the demo may take."`
	Untimed    bool          `help:"Report times without judging them, where the machine's load is not known."`
	JSON       bool          `name:"json" help:"Print one JSON object."`
	Keep       bool          `help:"Leave the mesh running and print lines to try kestrelctl against it."`
	Log        string        `help:"File that takes the logs of every node." placeholder:"FILE"`
}

// ErrBroken says that the demo saw a broken promise.
var ErrBroken = trace.Errorf("a promise was broken")

// Run runs the demo and prints its account.
func (c *Command) Run(ctx context.Context) error {
	log, err := mesh.OpenLog(c.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	progress := io.Writer(os.Stdout)
	if c.JSON {
		progress = io.Discard
	}
	running, report, err := c.demonstrate(ctx, log, progress)
	if err == nil {
		err = c.print(report)
	}
	if running == nil {
		return err
	}
	if c.Keep && err == nil {
		err = keep(ctx, running, os.Stdout)
	}
	if stopError := running.Stop(); err == nil {
		err = stopError
	}
	if err == nil && !report.Kept {
		return ErrBroken
	}
	return err
}

// work is how long a request occupies its slot in the demo.
const work = 2 * time.Millisecond

func (c *Command) demonstrate(ctx context.Context, log, progress io.Writer) (*mesh.Mesh, *Summary, error) {
	deployment, err := mesh.DeploymentNamed(c.Deployment)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	running, launched, err := mesh.Launch(ctx, mesh.Options{
		Deployment: deployment, Log: log,
		Behaviour: backend.Behaviour{Work: resource.Duration(work), AnswerBytes: 256},
	})
	if err != nil {
		return running, nil, err
	}
	show := newShow(c, running, progress)
	show.launched(launched)
	report, err := show.run(ctx)
	return running, report, err
}

func (c *Command) print(report *Summary) error {
	if !c.JSON {
		return trace.Wrap(report.Print(os.Stdout), "print report")
	}
	return output.JSON(os.Stdout, report)
}

// keep leaves the mesh running until the context ends.
func keep(ctx context.Context, running *mesh.Mesh, writer io.Writer) error {
	api := running.Control[0].APIAddress()
	entrance := running.Entrances[0]
	call := running.Deployment().Calls[0]
	_, err := fmt.Fprintf(writer, `
The mesh keeps running; interrupt to stop it. Try:
  kestrelctl --server http://%[1]s status
  kestrelctl --server http://%[1]s get routes
  kestrelctl --server http://%[1]s watch
  kestrelctl --server http://%[1]s explain Placement
  curl -H 'Host: %[3]s' http://%[2]s%[4]s
`, api, entrance.OutboundAddress(), call.Host, call.Path)
	if err != nil {
		return trace.Wrap(err, "print hints")
	}
	<-ctx.Done()
	return nil
}
