package scale

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/simulation"
)

// Prediction holds what the simulator says of the run's two windows against
// what was measured.
type Prediction struct {
	Idle        Comparison `json:"idle"`
	Changing    Comparison `json:"changing"`
	Convergence Spread     `json:"convergence_seconds"`
	WallSeconds float64    `json:"wall_seconds"`
}

// Comparison is one window, measured and simulated.
type Comparison struct {
	MeasuredBytes  uint64 `json:"measured_bytes"`
	SimulatedBytes uint64 `json:"simulated_bytes"`
	// BytesOff and MessagesOff say by which part the simulator is off.
	BytesOff          float64                `json:"bytes_off"`
	MeasuredMessages  uint64                 `json:"measured_messages"`
	SimulatedMessages uint64                 `json:"simulated_messages"`
	MessagesOff       float64                `json:"messages_off"`
	Kinds             map[string]KindCompare `json:"kinds"`
}

// KindCompare counts the messages of one kind.
type KindCompare struct {
	Measured  uint64 `json:"measured"`
	Simulated uint64 `json:"simulated"`
}

// unmeasured lists what the simulator counts as messages of their own and the
// traffic counters do not: they are the answers to counted requests.
var unmeasured = []string{"report-reply", "refusal"}

// predict simulates the run's windows with the same processes, resources and
// changes at the same times.
func predict(c *RunCommand, measured *Result, changes []change) (*Prediction, error) {
	idle, err := simulate(c, measured.Idle.Seconds, nil)
	if err != nil {
		return nil, trace.Wrap(err, "simulate the window without changes")
	}
	changing, err := simulate(c, measured.Changing.Seconds, timedChanges(changes))
	if err != nil {
		return nil, trace.Wrap(err, "simulate the window with changes")
	}
	return &Prediction{
		Idle: compare(measured.Idle, idle), Changing: compare(measured.Changing, changing),
		Convergence: Spread{P50: changing.Convergence.P50, P99: changing.Convergence.P99, Max: changing.Convergence.Max},
		WallSeconds: idle.WallSeconds + changing.WallSeconds,
	}, nil
}

// timedChanges places the changes relative to the first.
func timedChanges(changes []change) []simulation.TimedChange {
	timed := make([]simulation.TimedChange, len(changes))
	for index, made := range changes {
		timed[index] = simulation.TimedChange{At: made.sent.Sub(changes[0].sent), Changes: made.content}
	}
	return timed
}

// loopback is the one-way delay between processes of one machine, roughly.
const loopback = 50 * time.Microsecond

// settling is the simulated time before the window. The simulated processes
// start together, so that their keep-alive reports fall together every 20 s:
// half of that past a multiple, a window holds one of each child.
const settling = 130 * time.Second

func simulate(c *RunCommand, seconds float64, changes []simulation.TimedChange) (simulation.Result, error) {
	scenario, known := simulation.Deployment("target")
	if !known {
		return simulation.Result{}, trace.NotFound("the simulator has no deployment named target")
	}
	t := c.Topology
	scenario.Name = "scale"
	scenario.StartUp = simulation.Duration(settling)
	scenario.Duration = simulation.Duration(time.Duration(seconds * float64(time.Second)))
	scenario.Zones = nil
	for index := range t.Zones {
		scenario.Zones = append(scenario.Zones, simulation.Zone{Name: t.zone(index), Region: t.region(index)})
	}
	scenario.Proxies, scenario.Upstreams = t.Proxies+t.RealProxies, t.Proxies+t.RealProxies
	scenario.DaemonsPerZone, scenario.Services, scenario.CalledServices = t.DaemonsPerZone, t.Services, t.CalledServices
	scenario.Latency = simulation.Latency{
		SameZone: simulation.Duration(loopback), SameRegion: simulation.Duration(loopback), CrossRegion: simulation.Duration(loopback),
	}
	scenario.Distribution = simulation.Distribution{Mode: simulation.ModeTree, Compression: "zstd", RelaysPerZone: t.RelaysPerZone}
	scenario.Changes.PerDay, scenario.Churn.Interval = 0, 0
	replay := &simulation.Replay{Initial: mesh.Put(initialResources(t)...), Changes: changes}
	return simulation.Run(scenario, simulation.Options{Seed: c.Seed, Replay: replay})
}

func compare(measured Window, simulated simulation.Result) Comparison {
	result := Comparison{MeasuredBytes: measured.TotalBytes, Kinds: map[string]KindCompare{}}
	for kind, counted := range simulated.Kinds {
		result.SimulatedBytes += counted.Bytes
		if !slices.Contains(unmeasured, kind) && counted.Messages > 0 {
			result.SimulatedMessages += counted.Messages
			result.Kinds[kind] = KindCompare{Simulated: counted.Messages}
		}
	}
	for kind, counted := range measured.Messages {
		result.MeasuredMessages += counted.Messages
		result.Kinds[kind] = KindCompare{Measured: counted.Messages, Simulated: result.Kinds[kind].Simulated}
	}
	result.BytesOff = off(result.SimulatedBytes, result.MeasuredBytes)
	result.MessagesOff = off(result.SimulatedMessages, result.MeasuredMessages)
	return result
}

// off returns by which part a prediction is above (or, negative, below).
func off(simulated, measured uint64) float64 {
	if measured == 0 {
		return 0
	}
	return float64(simulated)/float64(measured) - 1
}

func (p *Prediction) lines() []string {
	if p == nil {
		return nil
	}
	lines := []string{spreadLine("simulated convergence", p.Convergence)}
	lines = append(lines, p.Idle.lines("idle")...)
	return append(lines, p.Changing.lines("with changes")...)
}

func (c Comparison) lines(name string) []string {
	lines := []string{fmt.Sprintf("simulator, %s: bytes %d for %d measured (%+.1f%%), messages %d for %d measured (%+.1f%%)",
		name, c.SimulatedBytes, c.MeasuredBytes, 100*c.BytesOff, c.SimulatedMessages, c.MeasuredMessages, 100*c.MessagesOff)}
	for _, kind := range slices.Sorted(maps.Keys(c.Kinds)) {
		lines = append(lines, fmt.Sprintf("  %-12s %8d simulated %8d measured", kind, c.Kinds[kind].Simulated, c.Kinds[kind].Measured))
	}
	return lines
}
