package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/lab/slope"
)

// SlopesCommand holds the flags of `kestrel-lab scale slopes`.
type SlopesCommand struct {
	Vary     string        `default:"proxies" enum:"proxies,daemons-per-zone,services" help:"What the sizes are of: proxies, daemons-per-zone or services."`
	Sizes    []int         `default:"125,250,500,1000" help:"Sizes, four at least."`
	Topology topology      `embed:""`
	Changes  int           `default:"40" help:"Changes at each size."`
	Interval time.Duration `default:"100ms" help:"Time between two changes."`
	Idle     time.Duration `default:"6s" help:"Time measured without changes at each size."`
	Seed     uint64        `default:"1" help:"Seed of the changes."`
	Timeout  time.Duration `default:"5m" help:"Longest time all runs may take."`
	JSON     bool          `name:"json" help:"Print one JSON object."`
	Log      string        `help:"File that takes the logs of the real processes' code." placeholder:"FILE"`
}

// slopesStagger keeps the starts from being a herd, whose traces would count.
const slopesStagger = 5 * time.Millisecond

// SlopesResult is what the command prints.
type SlopesResult struct {
	Machine Machine     `json:"machine"`
	Fits    []slope.Fit `json:"fits"`
	Runs    []*Result   `json:"runs"`
}

// Run runs at each size and prints the lines.
func (c *SlopesCommand) Run(ctx context.Context) error {
	if len(c.Sizes) < slope.MinimumSizes {
		return trace.BadParameter("--sizes: %d sizes, at least %d are needed", len(c.Sizes), slope.MinimumSizes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	log, err := mesh.OpenLog(c.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	progress := newProgress()
	defer progress.end()
	result := &SlopesResult{Machine: newMachine()}
	for _, size := range c.Sizes {
		run, err := c.runOne(ctx, size, log, progress)
		if err != nil {
			return trace.Wrap(err, "size %d", size)
		}
		result.Runs = append(result.Runs, run)
	}
	result.Machine.LoadAverageEnd = loadAverage()
	result.Fits = c.fits(result.Runs)
	progress.end()
	return c.print(os.Stdout, result)
}

func (c *SlopesCommand) runOne(ctx context.Context, size int, log io.Writer, progress *progress) (*Result, error) {
	command := &RunCommand{Topology: c.Topology, Changes: c.Changes, Interval: c.Interval, Idle: c.Idle, Seed: c.Seed, Stagger: slopesStagger}
	switch c.Vary {
	case "services":
		command.Topology.Services = size
	case "daemons-per-zone":
		command.Topology.DaemonsPerZone = size
	default:
		command.Topology.Proxies = size
	}
	if err := command.check(); err != nil {
		return nil, err
	}
	return command.measure(ctx, log, progress)
}

// figure is one quantity of a run that a line is drawn through.
type figure struct {
	name string
	of   func(run *Result) float64
}

func figures() []figure {
	perChange := func(whole, idle func(Window) float64) func(*Result) float64 {
		return func(run *Result) float64 {
			before := idle(run.Idle) / run.Idle.Seconds * run.Changing.Seconds
			return (whole(run.Changing) - before) / float64(run.Changes)
		}
	}
	processor := func(w Window) float64 { return w.CPUSeconds * 1e6 }
	messages := func(w Window) float64 { return float64(countMessages(w.Messages)) }
	return []figure{
		{"idle: control bytes a second", func(r *Result) float64 { return float64(r.Idle.TotalBytes) / r.Idle.Seconds }},
		{"idle: messages a second", func(r *Result) float64 { return messages(r.Idle) / r.Idle.Seconds }},
		{"idle: processor microseconds a second", func(r *Result) float64 { return processor(r.Idle) / r.Idle.Seconds }},
		{"change: control bytes", func(r *Result) float64 { return r.BytesPerChange }},
		{"change: messages", perChange(messages, messages)},
		{"change: processor microseconds", perChange(processor, processor)},
		{"change: allocated bytes", perChange(allocated, allocated)},
		{"memory: live bytes of proxies and their sessions", func(r *Result) float64 { return float64(r.HollowMemory) * float64(r.Topology.Proxies) }},
		{"store: idle requests a second", func(r *Result) float64 { return storeRequests(r.Idle) / r.Idle.Seconds }},
		{"store: requests a change", perChange(storeRequests, storeRequests)},
		{"store: watches", func(r *Result) float64 { return float64(r.Idle.StoreWatches) }},
		{"relay: idle bytes a second", func(r *Result) float64 { return r.Idle.Relay.Mean }},
		{"reader: idle bytes a second", func(r *Result) float64 { return r.Idle.Reader.Mean }},
	}
}

func storeRequests(w Window) float64 { return float64(w.StoreRequests) }

func allocated(w Window) float64 { return float64(w.Allocated) }

func countMessages(counts map[string]stream.Count) uint64 {
	var total uint64
	for _, count := range counts {
		total += count.Messages
	}
	return total
}

func (c *SlopesCommand) fits(runs []*Result) []slope.Fit {
	x := make([]float64, len(c.Sizes))
	for index, size := range c.Sizes {
		x[index] = float64(size)
	}
	var fits []slope.Fit
	for _, figure := range figures() {
		y := make([]float64, len(runs))
		for index, run := range runs {
			y[index] = figure.of(run)
		}
		fits = append(fits, slope.Draw(figure.name, c.Vary, x, y))
	}
	return fits
}

func (c *SlopesCommand) print(output io.Writer, result *SlopesResult) error {
	if c.JSON {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(result), "print slopes")
	}
	_, err := fmt.Fprintf(output, "sizes %v of %s; load average %.1f at the start, %.1f at the end, %d cores\n",
		c.Sizes, c.Vary, result.Machine.LoadAverageStart, result.Machine.LoadAverageEnd, result.Machine.Cores)
	if err == nil {
		err = slope.Print(output, result.Fits)
	}
	return trace.Wrap(err, "print slopes")
}
