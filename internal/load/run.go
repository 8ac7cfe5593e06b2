package load

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Plan describes a run.
type Plan struct {
	Seed uint64
	// Rate is the mean number of calls a second.
	Rate float64
	// Calls is how many calls are sent.
	Calls int
	// FirstNumber is the number of the first call; runs that share a ledger
	// must not share numbers.
	FirstNumber uint64
	Targets     []Target
	// Timeout is the patience of a caller.
	Timeout time.Duration
	// CancelPerMillion calls, this many are given up after CancelAfter.
	CancelPerMillion uint32
	CancelAfter      time.Duration
	// MaximumInFlight bounds the calls in flight; calls beyond it are not sent
	// and counted as such.
	MaximumInFlight int
	// Wait paces the calls; PreciseWait when nil.
	Wait Wait
	// TraceConnections records whether a call went over a fresh connection.
	TraceConnections bool
	// NeverResend keeps the client from sending calls again by itself. It is
	// for runs whose connections break; it costs the client some time.
	NeverResend bool
	// Transport sends the calls; NewTransport's when nil.
	Transport http.RoundTripper
}

// Defaults of a plan.
const (
	defaultTimeout         = 15 * time.Second
	defaultMaximumInFlight = 20_000
)

func (p Plan) withDefaults() Plan {
	if p.Timeout == 0 {
		p.Timeout = defaultTimeout
	}
	if p.MaximumInFlight == 0 {
		p.MaximumInFlight = defaultMaximumInFlight
	}
	if p.Wait == nil {
		p.Wait = PreciseWait
	}
	if p.Transport == nil {
		p.Transport = NewTransport()
	}
	return p
}

// Run is a finished run.
type Run struct {
	Start   time.Time
	Elapsed time.Duration
	Targets []Target
	// Results are in the order of call numbers.
	Results []Result
}

// NewTransport returns a client transport that keeps many connections open and
// neither compresses nor uses a proxy of the environment.
func NewTransport() *http.Transport {
	const idleConnections = 4096
	return &http.Transport{
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
	}
}

// Generator sends the calls of one plan.
type Generator struct {
	plan     Plan
	picker   *picker
	inFlight atomic.Int64
	sent     atomic.Int64
}

// NewGenerator returns a generator that has sent nothing yet.
func NewGenerator(plan Plan) *Generator {
	plan = plan.withDefaults()
	return &Generator{plan: plan, picker: newPicker(plan.Seed, plan.Targets)}
}

// Sent returns how many calls were started so far.
func (g *Generator) Sent() int64 { return g.sent.Load() }

// Run sends every call at its time and returns once each has an outcome. When
// the context ends early, the calls not yet due are left out.
func (g *Generator) Run(ctx context.Context) *Run {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	run := &Run{Start: time.Now(), Targets: g.plan.Targets, Results: make([]Result, g.plan.Calls)}
	schedule := NewSchedule(g.plan.Seed, g.plan.Rate)
	var calls sync.WaitGroup
	for index := range run.Results {
		result := &run.Results[index]
		result.Number = g.plan.FirstNumber + uint64(index)
		result.Target = g.picker.pick(result.Number)
		result.Intended = schedule.Next()
		g.plan.Wait(ctx, run.Start.Add(result.Intended))
		if ctx.Err() != nil {
			run.Results = run.Results[:index]
			break
		}
		g.start(ctx, run, result, &calls)
	}
	calls.Wait()
	run.Elapsed = time.Since(run.Start)
	return run
}

// start sends one call unless too many are in flight.
func (g *Generator) start(ctx context.Context, run *Run, result *Result, calls *sync.WaitGroup) {
	result.Started = time.Since(run.Start)
	if g.inFlight.Add(1) > int64(g.plan.MaximumInFlight) {
		g.inFlight.Add(-1)
		result.Finished = result.Started
		return
	}
	g.sent.Add(1)
	calls.Go(func() {
		defer g.inFlight.Add(-1)
		result.Started = time.Since(run.Start)
		g.call(context.WithoutCancel(ctx), result)
		result.Finished = time.Since(run.Start)
	})
}

// call performs one call under the caller's patience and plan to give up.
func (g *Generator) call(ctx context.Context, result *Result) {
	ctx, cancel := context.WithTimeout(ctx, g.plan.Timeout)
	defer cancel()
	if g.givesUp(result.Number) {
		timer := time.AfterFunc(g.plan.CancelAfter, cancel)
		defer timer.Stop()
	}
	if g.plan.TraceConnections {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(got httptrace.GotConnInfo) { result.Fresh = !got.Reused },
		})
	}
	perform(ctx, &g.plan, result)
}

func (g *Generator) givesUp(number uint64) bool {
	const million = 1_000_000
	if g.plan.CancelPerMillion == 0 {
		return false
	}
	return draw(g.plan.Seed, streamCancellation, number, million) < g.plan.CancelPerMillion
}

// RunClosed keeps a number of callers busy, each sending its next call when
// the last one ended, until the plan's calls are sent. It measures throughput;
// its latencies hide stalls.
func (g *Generator) RunClosed(ctx context.Context, callers int) *Run {
	run := &Run{Start: time.Now(), Targets: g.plan.Targets, Results: make([]Result, g.plan.Calls)}
	var next atomic.Int64
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for ctx.Err() == nil {
				index := next.Add(1) - 1
				if index >= int64(len(run.Results)) {
					return
				}
				g.callNow(ctx, run, &run.Results[index], g.plan.FirstNumber+uint64(index))
			}
		})
	}
	workers.Wait()
	run.Elapsed = time.Since(run.Start)
	run.Results = run.Results[:min(next.Load(), int64(len(run.Results)))]
	return run
}

func (g *Generator) callNow(ctx context.Context, run *Run, result *Result, number uint64) {
	result.Number = number
	result.Target = g.picker.pick(number)
	result.Started = time.Since(run.Start)
	result.Intended = result.Started
	g.sent.Add(1)
	g.call(context.WithoutCancel(ctx), result)
	result.Finished = time.Since(run.Start)
}
