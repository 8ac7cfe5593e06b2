package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"

	"github.com/kestrelstream/kestrelstream/internal/lab/slope"
)

// ContentCommand holds the flags of `kestrel-lab scale content`.
type ContentCommand struct {
	Sizes    []int    `default:"39,78,156,312" help:"Numbers of services, four at least."`
	Topology topology `embed:""`
	Repeat   int      `default:"20" help:"Times each step is run; the mean counts."`
	JSON     bool     `name:"json" help:"Print one JSON object."`
}

// ContentResult is what the command prints.
type ContentResult struct {
	Machine Machine     `json:"machine"`
	Fits    []slope.Fit `json:"fits"`
}

// Run measures, without any process, what configuration of each size weighs
// and what its steps take.
func (c *ContentCommand) Run() error {
	if len(c.Sizes) < slope.MinimumSizes || c.Repeat < 1 {
		return trace.BadParameter("--sizes: at least %d are needed, --repeat: at least 1", slope.MinimumSizes)
	}
	result := &ContentResult{Machine: newMachine()}
	points := map[string][]float64{}
	var x []float64
	for _, size := range c.Sizes {
		t := c.Topology
		t.Services = size
		if err := t.check(); err != nil {
			return err
		}
		x = append(x, float64(size))
		weighed, err := c.weigh(t)
		if err != nil {
			return err
		}
		for _, each := range weighed {
			points[each.name] = append(points[each.name], each.value)
		}
	}
	for _, name := range contentFigures {
		result.Fits = append(result.Fits, slope.Draw(name, "service", x, points[name]))
	}
	result.Machine.LoadAverageEnd = loadAverage()
	return c.print(os.Stdout, result)
}

// The figures of one size.
const (
	checkpointBytes      = "checkpoint: JSON bytes"
	checkpointCompressed = "checkpoint: compressed bytes"
	checkpointRestore    = "checkpoint: microseconds to decode and restore"
	snapshotBytes        = "class snapshot: JSON bytes"
	zoneProjection       = "relay: microseconds to take a change in for a zone's classes"
)

var contentFigures = []string{checkpointBytes, checkpointCompressed, checkpointRestore, snapshotBytes, zoneProjection}

type weight struct {
	name  string
	value float64
}

func (c *ContentCommand) weigh(t topology) ([]weight, error) {
	state := resource.Restore(1, initialResources(t))
	checkpoint, err := json.Marshal(distribution.Checkpoint{Version: 1, Resources: state.All()})
	if err != nil {
		return nil, trace.Wrap(err, "encode checkpoint")
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, trace.Wrap(err, "open compressor")
	}
	snapshot, err := json.Marshal(projection.Project(state, projection.Entitlement{Zone: t.zone(0), Services: []string{serviceName(0)}}))
	if err != nil {
		return nil, trace.Wrap(err, "encode snapshot")
	}
	return []weight{
		{checkpointBytes, float64(len(checkpoint))},
		{checkpointCompressed, float64(len(encoder.EncodeAll(checkpoint, nil)))},
		{checkpointRestore, c.microseconds(func(int) { restore(checkpoint) })},
		{snapshotBytes, float64(len(snapshot))},
		{zoneProjection, c.microseconds(c.takeChanges(t, state))},
	}, nil
}

func restore(encoded []byte) {
	var checkpoint distribution.Checkpoint
	if err := json.Unmarshal(encoded, &checkpoint); err != nil {
		panic("scale: a checkpoint that was just encoded: " + err.Error())
	}
	resource.Restore(checkpoint.Version, checkpoint.Resources)
}

// takeChanges returns a step that has a relay with a proxy of every service of
// its zone take one change of one service in.
func (c *ContentCommand) takeChanges(t topology, state *resource.State) func(int) {
	node := distribution.Node{Name: "relay", Zone: t.zone(0), Incarnation: 1}
	core, now := relay.New(relay.DefaultConfig(), node), time.Unix(0, 0)
	core.Restore(now, distribution.Checkpoint{Version: state.Version(), Resources: state.All()})
	for index := range t.Services {
		child := distribution.Node{Name: fmt.Sprintf("proxy-%d", index), Zone: t.zone(0), Incarnation: 1}
		core.Attach(now, relay.SessionID(index+1), distribution.Hello{
			Node: child, Kind: distribution.ChildProxy,
			Entitlement: projection.Entitlement{Zone: t.zone(0), Services: []string{serviceName(index)}},
		})
		core.Sent(now, relay.SessionID(index+1))
	}
	return func(round int) {
		change := resource.Change{Action: resource.ActionPut, Resource: service(round%t.Services, round)}
		core.Advance(now, []resource.Entry{{Version: core.State().Version() + 1, Batches: []resource.Batch{{Changes: []resource.Change{change}}}}})
	}
}

// microseconds returns the mean time of a step.
func (c *ContentCommand) microseconds(step func(round int)) float64 {
	began := time.Now()
	for round := range c.Repeat {
		step(round + 1)
	}
	return float64(time.Since(began).Microseconds()) / float64(c.Repeat)
}

func (c *ContentCommand) print(output io.Writer, result *ContentResult) error {
	if c.JSON {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(result), "print content")
	}
	_, err := fmt.Fprintf(output, "sizes %v of services; load average %.1f, %d cores\n", c.Sizes, result.Machine.LoadAverageEnd, result.Machine.Cores)
	if err == nil {
		err = slope.Print(output, result.Fits)
	}
	return trace.Wrap(err, "print content")
}
