// Package simulatecommand is kestrel-lab simulate: it plays a deployment or a
// scenario file in the simulator and prints what was measured and which
// promises held.
package simulatecommand

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/kestrelstream/kestrelstream/internal/simulation"
)

// Command is kestrel-lab simulate.
type Command struct {
	Deployment      string `help:"Deployment to simulate: ev, depot, target or mixed (every kind of fault)." default:"ev"`
	Scenario        string `help:"Scenario file (YAML) in place of a deployment." type:"existingfile"`
	ExplainScenario bool   `help:"Describe the fields of a scenario file and stop."`
	Seed            uint64 `help:"Seed of one run." default:"1"`
	Seeds           string `help:"Range of seeds N..M to run in parallel."`
	Parallel        int    `help:"Runs at one time." default:"4"`
	Duration        string `help:"Virtual time to simulate, in place of the scenario's."`
	Mutation        string `help:"Deliberately broken variant; the checker must catch it."`
	JSON            bool   `help:"Print results as JSON, one run a line."`
	Verbose         bool   `help:"Print each fault as it begins and ends."`
}

// BreachError says that promises were broken; the command exits with 1.
type BreachError struct {
	Runs, Broken int
}

// Error counts the runs.
func (e *BreachError) Error() string {
	return fmt.Sprintf("%d of %d runs broke a promise", e.Broken, e.Runs)
}

// Run plays the scenario with each seed.
func (c *Command) Run() error {
	if c.ExplainScenario {
		_, err := io.WriteString(os.Stdout, simulation.ExplainScenario())
		return trace.Wrap(err)
	}
	scenario, err := c.scenario()
	if err != nil {
		return err
	}
	first, last, err := c.seeds()
	if err != nil {
		return err
	}
	results, err := c.runAll(scenario, first, last)
	if err != nil {
		return err
	}
	return c.report(results)
}

func (c *Command) scenario() (simulation.Scenario, error) {
	scenario, err := c.load()
	if err != nil || c.Duration == "" {
		return scenario, err
	}
	quoted := strconv.Quote(c.Duration)
	return scenario, trace.Wrap(scenario.Duration.UnmarshalJSON([]byte(quoted)), "step=read --duration")
}

func (c *Command) load() (simulation.Scenario, error) {
	if c.Scenario != "" {
		return simulation.LoadScenario(c.Scenario)
	}
	scenario, known := simulation.Deployment(c.Deployment)
	if !known {
		return scenario, trace.BadParameter("--deployment: %q is not one of %s", c.Deployment, strings.Join(simulation.DeploymentNames(), ", "))
	}
	return scenario, nil
}

func (c *Command) seeds() (first, last uint64, err error) {
	if c.Seeds == "" {
		return c.Seed, c.Seed, nil
	}
	if _, err := fmt.Sscanf(c.Seeds, "%d..%d", &first, &last); err != nil || last < first {
		return 0, 0, trace.BadParameter("--seeds: %q is not of the form N..M", c.Seeds)
	}
	return first, last, nil
}

// runAll returns the results in the order of the seeds.
func (c *Command) runAll(scenario simulation.Scenario, first, last uint64) ([]simulation.Result, error) {
	results := make([]simulation.Result, last-first+1)
	var group errgroup.Group
	group.SetLimit(max(1, c.Parallel))
	for i := range results {
		group.Go(func() error {
			options := simulation.Options{Seed: first + uint64(i), Mutation: simulation.Mutation(c.Mutation)}
			if c.Verbose {
				options.Log = os.Stderr
			}
			result, err := simulation.Run(scenario, options)
			results[i] = result
			return err
		})
	}
	return results, group.Wait()
}

func (c *Command) report(results []simulation.Result) error {
	broken := 0
	for _, result := range results {
		if len(result.Broken) > 0 {
			broken++
		}
		if err := c.print(result, len(results) > 1); err != nil {
			return err
		}
	}
	if broken > 0 {
		return &BreachError{Runs: len(results), Broken: broken}
	}
	return nil
}

func (c *Command) print(result simulation.Result, brief bool) error {
	switch {
	case c.JSON:
		return trace.Wrap(json.NewEncoder(os.Stdout).Encode(result), "step=print result")
	case brief:
		return trace.Wrap(printLine(os.Stdout, result), "step=print result")
	default:
		return trace.Wrap(printResult(os.Stdout, result), "step=print result")
	}
}
