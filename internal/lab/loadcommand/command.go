// Package loadcommand is the command that sends calls on an open-loop schedule
// and holds their outcomes against the ledgers of the back ends.
package loadcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/lab/flood"
	"github.com/kestrelstream/kestrelstream/internal/lab/output"
	"github.com/kestrelstream/kestrelstream/internal/load"
	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
)

// ErrBroken says that the account shows a broken promise.
var ErrBroken = trace.Errorf("a promise to callers was broken")

// Command holds the subcommands of `kestrel-lab load`.
type Command struct {
	Calls CallsCommand  `cmd:"" default:"withargs" help:"Send calls to addresses (the default)."`
	Flood flood.Command `cmd:"" help:"Flood one service of a whole mesh in one process and measure what the others notice."`
}

// CallsCommand holds the flags of `kestrel-lab load calls`.
type CallsCommand struct {
	URL         []string      `required:"" sep:"none" help:"Address and path calls are sent to; several share the calls." placeholder:"http://IP:PORT/PATH"`
	Host        string        `help:"Host of the requests, when it is not that of the URL."`
	Method      string        `default:"GET" help:"Method of the requests."`
	Repeatable  bool          `help:"The calls may run more than once."`
	BodyBytes   int           `default:"0" help:"Length of the requests' bodies."`
	Rate        float64       `default:"200" help:"Mean calls a second."`
	Calls       int           `default:"2000" help:"Calls to send."`
	Seed        uint64        `default:"1" help:"Seed of arrivals, targets and calls given up."`
	FirstNumber uint64        `default:"1" help:"Number of the first call; runs against the same back ends must not share numbers."`
	Timeout     time.Duration `default:"15s" help:"Patience of a caller."`
	Cancel      uint32        `default:"0" help:"Calls per million that are given up after --cancel-after."`
	CancelAfter time.Duration `default:"5ms" help:"When those calls are given up."`
	Backend     []string      `sep:"none" help:"Back end whose ledger is read afterwards; without any, only outcomes are counted." placeholder:"http://IP:PORT"`
	JSON        bool          `name:"json" help:"Print one JSON object."`
}

// Result is what the command prints.
type Result struct {
	Seed           uint64       `json:"seed"`
	Rate           float64      `json:"rate"`
	CallsPerSecond float64      `json:"calls_per_second"`
	Latency        load.Latency `json:"latency"`
	// Lateness is how late the generator itself sent its calls.
	Lateness load.Latency `json:"generator_lateness"`
	// Verified says whether ledgers were read.
	Verified bool          `json:"verified"`
	Account  *load.Account `json:"account"`
}

// Run sends the calls, reads the ledgers and prints the report.
func (c *CallsCommand) Run(ctx context.Context) error {
	run := load.NewGenerator(c.plan()).Run(ctx)
	ledger, err := c.readLedgers(ctx, len(run.Results))
	if err != nil {
		return err
	}
	report := c.report(run, ledger)
	if err := c.print(os.Stdout, report); err != nil {
		return err
	}
	if report.Account.Broken() > 0 {
		return ErrBroken
	}
	return nil
}

func (c *CallsCommand) plan() load.Plan {
	plan := load.Plan{
		Seed: c.Seed, Rate: c.Rate, Calls: c.Calls, FirstNumber: c.FirstNumber,
		Timeout: c.Timeout, CancelPerMillion: c.Cancel, CancelAfter: c.CancelAfter,
		NeverResend: true,
	}
	for _, url := range c.URL {
		plan.Targets = append(plan.Targets, load.Target{
			Name: url, Entrance: url, Method: c.Method, URL: url, Host: c.Host,
			Body: make([]byte, c.BodyBytes), Repeatable: c.Repeatable, Weight: 1,
		})
	}
	return plan
}

// readLedgers merges the back ends' ledgers; nil without any back end.
func (c *CallsCommand) readLedgers(ctx context.Context, calls int) (*backend.Ledger, error) {
	if len(c.Backend) == 0 {
		return nil, nil
	}
	merged := backend.NewLedger(2 * calls)
	for _, address := range c.Backend {
		records, err := readLedger(ctx, address)
		if err != nil {
			return nil, trace.Wrap(err, "read the ledger of %s", address)
		}
		merged.Merge(c.own(records, calls))
	}
	return merged, nil
}

// own keeps the records of this run's calls.
func (c *CallsCommand) own(records []backend.Record, calls int) []backend.Record {
	var own []backend.Record
	for _, record := range records {
		if record.Number >= c.FirstNumber && record.Number < c.FirstNumber+uint64(calls) {
			own = append(own, record)
		}
	}
	return own
}

func readLedger(ctx context.Context, address string) ([]backend.Record, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+backend.PathLedger, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	var records []backend.Record
	return records, json.NewDecoder(response.Body).Decode(&records)
}

func (c *CallsCommand) report(run *load.Run, ledger *backend.Ledger) *Result {
	report := &Result{
		Seed: c.Seed, Rate: c.Rate,
		CallsPerSecond: float64(len(run.Results)) / run.Elapsed.Seconds(),
		Latency:        run.Latencies(func(*load.Result) bool { return true }).Summary(),
		Lateness:       run.Lateness().Summary(),
		Verified:       ledger != nil,
	}
	if ledger == nil {
		report.Account = load.CountOutcomes(run)
		return report
	}
	report.Account = load.Check(run, ledger, nil)
	return report
}

func (c *CallsCommand) print(writer io.Writer, report *Result) error {
	if c.JSON {
		return output.JSON(writer, report)
	}
	_, err := fmt.Fprintf(writer, "calls             %d at %.0f a second\n", report.Account.Calls, report.CallsPerSecond)
	if err != nil {
		return trace.Wrap(err, "print report")
	}
	_, _ = fmt.Fprintf(writer, "latency           p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.3f ms\n",
		report.Latency.P50MS, report.Latency.P99MS, report.Latency.P999MS, report.Latency.MaxMS)
	_, _ = fmt.Fprintf(writer, "generator late    p50 %.3f ms, p99 %.3f ms, max %.3f ms\n",
		report.Lateness.P50MS, report.Lateness.P99MS, report.Lateness.MaxMS)
	return trace.Wrap(report.Account.Print(writer, report.Verified), "print report")
}
