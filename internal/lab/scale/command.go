// Package scale runs the whole system at the size of many nodes on one
// machine: the daemons' code and a few real proxies over loopback sockets, and
// hollow proxies in place of the rest.
package scale

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"os"
	"runtime/pprof"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/lab/usage"
)

// Command holds the subcommands of `kestrel-lab scale`.
type Command struct {
	Run     RunCommand     `cmd:"" default:"withargs" help:"Run everything in this process and measure it (the default)."`
	Slopes  SlopesCommand  `cmd:"" help:"Run at several sizes and fit a line to each figure."`
	Plan    PlanCommand    `cmd:"" help:"Write the plan and the settings of a run split over processes."`
	Hollow  ServeCommand   `cmd:"" help:"Run one process of hollow proxies of a plan."`
	Measure MeasureCommand `cmd:"" help:"Measure a run split over processes."`
	Content ContentCommand `cmd:"" help:"Weigh configuration of several sizes and fit a line to each figure; starts nothing."`
}

// RunCommand holds the flags of `kestrel-lab scale run`.
type RunCommand struct {
	Topology topology      `embed:""`
	Changes  int           `default:"100" help:"Changes of configuration."`
	Interval time.Duration `default:"200ms" help:"Time between two changes."`
	Idle     time.Duration `default:"20s" help:"Time measured without changes; best a multiple of the 20 s after which a child that has nothing to tell reports."`
	Settle   time.Duration `default:"5s" help:"Time between two faults."`
	Faults   bool          `default:"true" negatable:"" help:"Kill half of the relays, kill all readers, and restart a zone."`
	Predict  bool          `default:"true" negatable:"" help:"Have the simulator predict the same run."`
	Stagger  time.Duration `default:"5ms" help:"Time between the starts of two hollow proxies; with none all of them start as a herd."`
	Seed     uint64        `default:"1" help:"Seed of the changes."`
	Timeout  time.Duration `default:"5m" help:"Longest time the run may take."`
	JSON     bool          `name:"json" help:"Print one JSON object."`
	Profile  string        `help:"File that takes a processor profile of the whole run." placeholder:"FILE"`
	Log      string        `help:"File that takes the logs of the real processes' code." placeholder:"FILE"`
}

// Run brings the system up, measures and prints the report.
func (c *RunCommand) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	log, err := mesh.OpenLog(c.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	endProfile, err := startProfile(c.Profile)
	if err != nil {
		return err
	}
	defer endProfile()
	progress := newProgress()
	defer progress.end()
	report, err := c.measure(ctx, log, progress)
	if err != nil {
		return err
	}
	progress.end()
	return c.print(os.Stdout, report)
}

func (c *RunCommand) check() error {
	if c.Changes < 1 {
		return trace.BadParameter("--changes: %d must be at least 1", c.Changes)
	}
	if c.Interval <= 0 || c.Idle <= 0 {
		return trace.BadParameter("--interval and --idle: must be above zero")
	}
	return c.Topology.check()
}

func (c *RunCommand) measure(ctx context.Context, log io.Writer, progress *progress) (*Result, error) {
	report := &Result{Topology: c.Topology, Seed: c.Seed, Machine: newMachine(), Changes: c.Changes}
	began := time.Now()
	running, err := start(ctx, c.Topology, c.Stagger, log, progress)
	defer running.stop()
	if err != nil {
		return report, err
	}
	report.StartSeconds = time.Since(began).Seconds()
	report.HollowMemory = running.hollowMemory / uint64(c.Topology.Proxies)
	random := newRandom(c.Seed)
	changes, err := c.measureSteady(ctx, running, random, report, progress)
	if err != nil {
		return report, err
	}
	if c.Faults {
		if err := c.measureFaults(ctx, running, random, report, progress); err != nil {
			return report, err
		}
	}
	report.ProcessPeakMemory = usage.PeakMemory()
	report.Machine.LoadAverageEnd = loadAverage()
	if c.Predict {
		progress.step("simulate the same run")
		report.Prediction, err = predict(c, report, changes)
	}
	return report, err
}

// measureSteady measures a window without and one with changes.
func (c *RunCommand) measureSteady(ctx context.Context, running *world, random *rand.Rand, report *Result, progress *progress) ([]change, error) {
	progress.step("measure %v without changes", c.Idle)
	held := running.roles()
	first := running.read()
	if err := sleep(ctx, c.Idle); err != nil {
		return nil, err
	}
	second := running.read()
	changes, err := running.applyMany(ctx, random, c.Changes, c.Interval, progress)
	if err != nil {
		return nil, err
	}
	third := running.read()
	report.Idle, report.Changing = window(first, second, held), window(second, third, held)
	everywhere, single := convergence(changes, running.fleet.Members())
	report.Convergence, report.ProxyConvergence = spreadOf(everywhere), spreadOf(single)
	report.Commit = spreadOf(commitTimes(changes))
	whole := window(first, third, held)
	report.NodeBytes = whole.Proxy
	if c.Topology.Proxies > 0 {
		report.NodeCPU = whole.CPUSeconds / whole.Seconds / float64(c.Topology.Proxies)
	}
	idleBytes := float64(report.Idle.TotalBytes) / report.Idle.Seconds * report.Changing.Seconds
	report.BytesPerChange = (float64(report.Changing.TotalBytes) - idleBytes) / float64(c.Changes)
	return changes, nil
}

func (c *RunCommand) measureFaults(ctx context.Context, running *world, random *rand.Rand, report *Result, progress *progress) error {
	progress.step("kill half of the relays")
	storm, err := running.storm(ctx, random)
	if err != nil {
		return trace.Wrap(err, "reconnect storm")
	}
	report.Storm, report.StormTime = &storm, max(storm.AttachedSeconds, storm.InForceSeconds)
	if err := sleep(ctx, c.Settle); err != nil {
		return err
	}
	progress.step("kill all readers")
	readers, err := running.loseReaders(ctx, random)
	if err != nil {
		return trace.Wrap(err, "loss of all readers")
	}
	report.ReadersLost = &readers
	if err := sleep(ctx, c.Settle); err != nil {
		return err
	}
	progress.step("restart a zone")
	herd, err := running.herd(ctx, running.topology.zone(0), random)
	report.Herd = &herd
	return trace.Wrap(err, "herd restart")
}

// startProfile begins a processor profile and returns what ends it; without a
// name there is none.
func startProfile(name string) (end func(), err error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, trace.Wrap(err, "create the profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, trace.Wrap(err, "start the profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *RunCommand) print(output io.Writer, report *Result) error {
	if !c.JSON {
		return trace.Wrap(report.print(output), "print report")
	}
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(report), "print report")
}
