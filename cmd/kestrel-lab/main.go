// Command kestrel-lab holds what developers and operators need to try and to
// measure the system: stand-ins of the platform, the demo, load and faults.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/lab/bench"
	"github.com/kestrelstream/kestrelstream/internal/lab/chaos"
	"github.com/kestrelstream/kestrelstream/internal/lab/demo"
	"github.com/kestrelstream/kestrelstream/internal/lab/loadcommand"
	"github.com/kestrelstream/kestrelstream/internal/lab/report"
	"github.com/kestrelstream/kestrelstream/internal/lab/scale"
	"github.com/kestrelstream/kestrelstream/internal/lab/servebackend"
	"github.com/kestrelstream/kestrelstream/internal/lab/servemachines"
	"github.com/kestrelstream/kestrelstream/internal/lab/servestore"
	"github.com/kestrelstream/kestrelstream/internal/lab/simulatecommand"
	"github.com/kestrelstream/kestrelstream/internal/lab/sweepcommand"
)

type commandLine struct {
	Backend  servebackend.Command    `cmd:"" help:"Run one stand-in back end."`
	Store    servestore.Command      `cmd:"" help:"Run the stand-in of the platform's key-value service."`
	Machines servemachines.Command   `cmd:"" help:"Run the stand-in of the platform's list of machines."`
	Load     loadcommand.Command     `cmd:"" help:"Send calls on an open-loop schedule and account for every one."`
	Bench    bench.Command           `cmd:"" help:"Measure what the path through the proxies adds to a call."`
	Simulate simulatecommand.Command `cmd:"" help:"Simulate a deployment or scenario and judge the promises."`
	Sweep    sweepcommand.Command    `cmd:"" help:"Simulate variants of a deployment and draw convergence time against control bytes."`
	Report   report.Command          `cmd:"" help:"Write one HTML page with plots from the JSON results of other commands."`
	Chaos    chaos.Command           `cmd:"" help:"Kill, stall, drain and reconfigure a whole mesh under load and account for every call."`
	Demo     demo.Command            `cmd:"" help:"Run a whole mesh in one process, change it under load and account for every call."`
	Scale    scale.Command           `cmd:"" help:"Run the whole system at the size of many nodes, with hollow proxies, and measure it."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	commands := &commandLine{}
	parsed := kong.Parse(commands,
		kong.Name("kestrel-lab"),
		kong.Description("Stand-ins, demo, load and faults for kestrelstream."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(newLogger()),
	)
	parsed.FatalIfErrorf(parsed.Run())
}

// newLogger returns a logger of JSON lines on standard error.
func newLogger() *zap.Logger {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	return zap.Must(config.Build())
}
