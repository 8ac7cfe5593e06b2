// Package sweepcommand is kestrel-lab sweep: it plays variants of a deployment
// in the simulator and sets convergence time against control bytes, as a CSV
// file and as plots.
package sweepcommand

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/kestrelstream/kestrelstream/internal/simulation"
)

// Command is kestrel-lab sweep.
type Command struct {
	Deployment    string        `help:"Deployment whose variants are played: ev, depot or target." default:"depot"`
	Seed          uint64        `help:"Seed of every run." default:"1"`
	Duration      time.Duration `help:"Virtual time of each run." default:"10m"`
	ChangesPerDay int           `help:"Changes a day; more than usual, so that batching has something to combine." default:"20000"`
	Parallel      int           `help:"Runs at one time." default:"3"`
	Output        string        `help:"Directory for sweep.csv, sweep.png and sweep.svg." default:"."`
}

// point is what one variant measured.
type point struct {
	variant variant
	result  simulation.Result
}

// Run plays the variants and writes the files.
func (c *Command) Run() error {
	scenario, known := simulation.Deployment(c.Deployment)
	if !known {
		return trace.BadParameter("--deployment: %q is not one of %s", c.Deployment, strings.Join(simulation.DeploymentNames(), ", "))
	}
	scenario.Duration = simulation.Duration(c.Duration)
	scenario.Changes.PerDay = c.ChangesPerDay
	points, err := c.play(scenario)
	if err != nil {
		return err
	}
	if err := c.writeTable(points); err != nil {
		return err
	}
	return draw(points, c.Deployment, filepath.Join(c.Output, "sweep.png"), filepath.Join(c.Output, "sweep.svg"))
}

func (c *Command) play(scenario simulation.Scenario) ([]point, error) {
	list := variants()
	slices.SortStableFunc(list, func(a, b variant) int { return strings.Compare(a.group, b.group) })
	points := make([]point, len(list))
	var group errgroup.Group
	group.SetLimit(max(1, c.Parallel))
	for i, variant := range list {
		group.Go(func() error {
			changed := scenario
			variant.change(&changed)
			result, err := simulation.Run(changed, simulation.Options{Seed: c.Seed})
			points[i] = point{variant, result}
			return trace.Wrap(err, "step=simulate variant=%s %s", variant.group, variant.label)
		})
	}
	return points, group.Wait()
}

var columns = []string{
	"group", "variant", "convergence_p50_s", "convergence_p99_s", "convergence_max_s", "bytes_per_node_second",
	"worst_second_bytes", "bytes_per_change", "store_requests_per_second", "store_requests_worst_start_up",
	"store_watches", "changes", "broken_promises",
}

func (p point) row() []string {
	r := p.result
	number := func(value float64) string { return fmt.Sprintf("%.4g", value) }
	return []string{
		p.variant.group, p.variant.label, number(r.Convergence.P50), number(r.Convergence.P99), number(r.Convergence.Max),
		number(r.NodeRate.Mean), number(r.NodeRate.Max), number(r.ChangeBytes), number(r.StoreRate), fmt.Sprint(r.StartUpWorst),
		fmt.Sprint(r.StoreWatches), fmt.Sprint(r.Changes), fmt.Sprint(len(r.Broken)),
	}
}

// writeTable writes the points to sweep.csv and to standard output.
func (c *Command) writeTable(points []point) error {
	file, err := os.Create(filepath.Join(c.Output, "sweep.csv"))
	if err != nil {
		return trace.Wrap(err, "step=write sweep.csv")
	}
	defer func() { _ = file.Close() }()
	writer := csv.NewWriter(io.MultiWriter(file, os.Stdout))
	rows := [][]string{columns}
	for _, point := range points {
		rows = append(rows, point.row())
	}
	return trace.Wrap(writer.WriteAll(rows), "step=write sweep.csv")
}
