// Package flood is the command that floods one service of a whole mesh and
// measures what the others notice.
package flood

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/lab/output"
	"github.com/kestrelstream/kestrelstream/internal/load"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
)

// Command holds the flags of `kestrel-lab load flood`.
type Command struct {
	Deployment string        `default:"ev" enum:"ev,depot" help:"Deployment to run: ev or depot."`
	Rate       float64       `default:"100" help:"Mean calls a second of each service when none is flooded."`
	Factor     float64       `default:"10" help:"How many times its usual rate the flooded service gets."`
	Work       time.Duration `default:"100ms" help:"Time a request occupies its slot at the flooded service; at the others it is 1 ms."`
	Phase      time.Duration `default:"4s" help:"Length of each phase; phases with and without flood alternate."`
	Rounds     int           `default:"3" help:"Pairs of phases."`
	Seed       uint64        `default:"1" help:"Seed of the calls."`
	Timeout    time.Duration `default:"5m" help:"Longest time the run may take."`
	JSON       bool          `name:"json" help:"Print one JSON object."`
	Log        string        `help:"File that takes the logs of every node." placeholder:"FILE"`
}

// allowedRatio is by how much the others' 99th percentile may grow.
const allowedRatio = 1.5

// ErrBroken says that the others noticed the flood, or that a promise to
// callers was broken.
var ErrBroken = trace.Errorf("the flood was noticed by other services, or a promise was broken")

// Summary is what the command prints.
type Summary struct {
	Flooded string  `json:"flooded_service"`
	Rate    float64 `json:"rate_per_service"`
	Factor  float64 `json:"factor"`
	// OthersUnflooded and OthersFlooded are latencies of the other services.
	OthersUnflooded load.Latency `json:"others_unflooded"`
	OthersFlooded   load.Latency `json:"others_flooded"`
	// P99Ratio is the growth of the others' 99th percentile.
	P99Ratio float64 `json:"p99_ratio"`
	// OthersRefused counts calls of other services that were not answered
	// during the flood.
	OthersRefused int `json:"others_not_answered_flooded"`
	// FloodedAnswered and FloodedShed count calls of the flooded service
	// during the flood.
	FloodedAnswered int           `json:"flooded_answered"`
	FloodedShed     int           `json:"flooded_shed"`
	Generator       load.Latency  `json:"generator_lateness"`
	Account         *load.Account `json:"account"`
	Kept            bool          `json:"kept"`
}

// Run floods and prints the summary.
func (c *Command) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	log, err := mesh.OpenLog(c.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	deployment, err := mesh.DeploymentNamed(c.Deployment)
	if err != nil {
		return err
	}
	running, _, err := mesh.Launch(ctx, c.options(deployment, log))
	if running != nil {
		defer func() { _ = running.Stop() }()
	}
	if err != nil {
		return err
	}
	measured := newMeasurement(c, running)
	measured.run(ctx)
	summary := measured.summary()
	if err := c.print(os.Stdout, summary); err != nil {
		return err
	}
	if !summary.Kept {
		return ErrBroken
	}
	return nil
}

// floodedService is the first service whose calls may not be repeated.
func floodedService(deployment mesh.Deployment) string {
	for _, call := range deployment.Calls {
		if !call.Repeatable {
			return call.Service
		}
	}
	return deployment.Calls[0].Service
}

// options describe a mesh whose flooded service works long enough for the
// flood to exceed what it can take.
func (c *Command) options(deployment mesh.Deployment, log io.Writer) mesh.Options {
	flooded := floodedService(deployment)
	calls := int(c.Rate * (float64(len(deployment.Calls)) + c.Factor) * c.Phase.Seconds() * float64(2*c.Rounds))
	return mesh.Options{
		Deployment: deployment, Log: log, LedgerCapacity: 2*calls + 1<<12,
		Behaviour: backend.Behaviour{Work: resource.Duration(time.Millisecond), AnswerBytes: 256},
		TuneBehaviour: func(upstream mesh.Upstream, behaviour *backend.Behaviour) {
			if upstream.Service == flooded {
				behaviour.Work = resource.Duration(c.Work)
			}
		},
	}
}

func (c *Command) print(writer io.Writer, summary *Summary) error {
	if c.JSON {
		return output.JSON(writer, summary)
	}
	_, err := fmt.Fprintf(writer, `%s at %.0f times its rate of %.0f a second
others, unflooded  p50 %.3f ms, p99 %.3f ms (%d calls)
others, flooded    p50 %.3f ms, p99 %.3f ms (%d calls, %d not answered)
p99 ratio          %.2f (at most %.1f)
flooded service    %d answered, %d shed before any work
generator late     p50 %.3f ms, p99 %.3f ms
`, summary.Flooded, summary.Factor, summary.Rate,
		summary.OthersUnflooded.P50MS, summary.OthersUnflooded.P99MS, summary.OthersUnflooded.Count,
		summary.OthersFlooded.P50MS, summary.OthersFlooded.P99MS, summary.OthersFlooded.Count, summary.OthersRefused,
		summary.P99Ratio, allowedRatio, summary.FloodedAnswered, summary.FloodedShed,
		summary.Generator.P50MS, summary.Generator.P99MS)
	if err != nil {
		return trace.Wrap(err, "print summary")
	}
	return trace.Wrap(summary.Account.Print(writer, true), "print summary")
}
