// Package chaos is the command that runs a whole mesh under load while its
// parts are killed, stalled, drained and reconfigured, and accounts for every
// call.
package chaos

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/lab/output"
	"github.com/kestrelstream/kestrelstream/internal/load"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
)

// Command holds the flags of `kestrel-lab chaos`.
type Command struct {
	Deployment string        `default:"ev" enum:"ev,depot" help:"Deployment to run: ev or depot."`
	Seed       uint64        `default:"1" help:"Seed of the events, the faults of single calls and the calls."`
	Calls      int           `default:"20000" help:"Calls to send."`
	Rate       float64       `default:"2000" help:"Mean calls a second."`
	MutualTLS  bool          `name:"mutual-tls" help:"Have every process prove who it is, the proxies on the path included."`
	Together   int           `default:"3" help:"Events that may be under way at once."`
	Timeout    time.Duration `default:"30m" help:"Longest time the run may take."`
	JSON       bool          `name:"json" help:"Print one JSON object."`
	Log        string        `help:"File that takes the logs of every node." placeholder:"FILE"`
}

// ErrBroken says that the run saw a broken promise.
var ErrBroken = trace.Errorf("a promise was broken")

// Run runs the mesh under faults and prints the report.
func (c *Command) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	log, err := mesh.OpenLog(c.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	options, err := c.options(log)
	if err != nil {
		return err
	}
	running, _, err := mesh.Launch(ctx, options)
	if err != nil {
		return err
	}
	progress := io.Writer(os.Stdout)
	if c.JSON {
		progress = io.Discard
	}
	report := c.disturb(ctx, running, progress)
	report.stopped(running.Stop())
	report.judge()
	if err := c.print(report); err != nil {
		return err
	}
	if !report.Kept {
		return ErrBroken
	}
	return nil
}

// Settings of the mesh under faults.
const (
	work     = time.Millisecond
	slowWork = 150 * time.Millisecond
	// Long calls are in flight whenever something happens, and last longer
	// than a drain's announcement.
	longWork       = 600 * time.Millisecond
	longPerMillion = 50_000
	answerBytes    = 512
	coldStart      = 200 * time.Millisecond
	// announce is how long a draining proxy still takes new work.
	announce = 500 * time.Millisecond
)

// callFaults are the faults of single calls, per million.
var callFaults = []backend.FaultRate{
	{Fault: backend.FaultKillBefore, PerMillion: 300},
	{Fault: backend.FaultKillDuring, PerMillion: 300},
	{Fault: backend.FaultKillAfter, PerMillion: 300},
	{Fault: backend.FaultHalfAnswer, PerMillion: 300},
	{Fault: backend.FaultShed, PerMillion: 1000},
	{Fault: backend.FaultSlow, PerMillion: 1000},
}

// Calls given up by their callers, per million, and when.
const (
	cancelPerMillion = 10_000
	cancelAfter      = 5 * time.Millisecond
)

func (c *Command) options(log io.Writer) (mesh.Options, error) {
	deployment, err := mesh.DeploymentNamed(c.Deployment)
	return mesh.Options{
		Deployment: deployment, Log: log, ColdStart: coldStart, MutualTLS: c.MutualTLS,
		LedgerCapacity: 2*c.Calls + 1<<12,
		Behaviour: backend.Behaviour{
			Work: resource.Duration(work), SlowWork: resource.Duration(slowWork), AnswerBytes: answerBytes,
			LongWork: resource.Duration(longWork), LongPerMillion: longPerMillion,
			FaultSeed: c.Seed, FaultRates: callFaults,
		},
		TuneProxy: func(loaded *settings.Proxy) { loaded.Drain.Announce = settings.Duration(announce) },
	}, err
}

// disturb sends the calls and lets the events happen until all are sent.
func (c *Command) disturb(ctx context.Context, running *mesh.Mesh, progress io.Writer) *Summary {
	generator := load.NewGenerator(load.Plan{
		Seed: c.Seed, Rate: c.Rate, Calls: c.Calls, FirstNumber: 1, Targets: running.Targets(),
		CancelPerMillion: cancelPerMillion, CancelAfter: cancelAfter, TraceConnections: true, NeverResend: true,
	})
	events, endEvents := context.WithCancel(ctx)
	defer endEvents()
	journal := newJournal(progress)
	watched := make(chan monitorResult, 1)
	go func() { watched <- monitor(events, running) }()
	operated := make(chan struct{})
	go func() {
		defer close(operated)
		newOperator(c.Seed, running, journal).run(events, c.Together)
	}()
	run := generator.Run(ctx)
	endEvents()
	<-operated
	report := &Summary{Seed: c.Seed, Deployment: c.Deployment, ElapsedSeconds: run.Elapsed.Seconds()}
	report.Account = load.Check(run, running.Ledger(), journal.disturbances(run.Start))
	report.Latency = run.Latencies(func(*load.Result) bool { return true }).Summary()
	report.GeneratorLateness = run.Lateness().Summary()
	report.Intended = c.Calls
	report.observe(<-watched, journal)
	return report
}

func (c *Command) print(report *Summary) error {
	if !c.JSON {
		return trace.Wrap(report.Print(os.Stdout), "print report")
	}
	return output.JSON(os.Stdout, report)
}
