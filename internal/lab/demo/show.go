package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/examples"
	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/load"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Times between the steps, so that calls meet each of them.
const (
	pause = 500 * time.Millisecond
	// drainPause is how long the drained back end is watched for new work
	// before it is stopped.
	drainPause = 2500 * time.Millisecond
	// loadDuration bounds the calls; they end with the last step.
	loadDuration = time.Minute
)

// show is one run of the demo.
type show struct {
	command  *Command
	mesh     *mesh.Mesh
	progress io.Writer
	start    time.Time
	report   *Summary
	// strictFrom is the time from which calls of strictService may be served
	// in the caller's zone only.
	strictService string
	strictFrom    time.Time
}

func newShow(command *Command, running *mesh.Mesh, progress io.Writer) *show {
	deployment := running.Deployment()
	return &show{command: command, mesh: running, progress: progress, start: time.Now(), report: &Summary{
		Deployment: deployment.Name, Zones: len(deployment.Zones), Daemons: len(running.Control),
		Proxies: len(running.Upstreams) + len(running.Entrances), Backends: len(running.Upstreams),
	}}
}

func (s *show) tell(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.progress, "%6.2fs  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, arguments...))
}

func (s *show) launched(launched *mesh.Launched) {
	s.tell("%s: %d zones, %d control daemons, %d proxies, %d back ends", s.report.Deployment, s.report.Zones,
		s.report.Daemons, s.report.Proxies, s.report.Backends)
	s.report.StartMS = milliseconds(launched.InForce + launched.Answered)
	s.tell("examples are version %d, in force everywhere after %.1f ms, every call answered %.1f ms later",
		launched.Version, milliseconds(launched.InForce), milliseconds(launched.Answered))
}

// run performs the steps under load and returns the account.
func (s *show) run(ctx context.Context) (*Summary, error) {
	loading, endLoad := context.WithCancel(ctx)
	defer endLoad()
	finished := make(chan *load.Run, 1)
	generator := load.NewGenerator(load.Plan{
		Seed: s.command.Seed, Rate: s.command.Rate, Calls: int(s.command.Rate * loadDuration.Seconds()),
		FirstNumber: 1, Targets: s.mesh.Targets(), NeverResend: true,
	})
	go func() { finished <- generator.Run(loading) }()
	s.tell("calls at %.0f a second at %d entrances", s.command.Rate, len(s.mesh.Entrances))
	err := s.steps(ctx)
	endLoad()
	run := <-finished
	if err != nil {
		return nil, err
	}
	return s.account(run), nil
}

func (s *show) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		s.changeRoute, s.changePlacement, s.drainBackend, s.restartDaemon,
	} {
		if err := sleep(ctx, pause); err != nil {
			return err
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return sleep(ctx, pause)
}

func (s *show) account(run *load.Run) *Summary {
	report := s.report
	report.Account = load.Check(run, s.mesh.Ledger(), nil)
	report.Latency = run.Latencies(func(*load.Result) bool { return true }).Summary()
	report.Misplaced = s.misplaced(run)
	report.ControlBytes = s.mesh.ControlBytes()
	report.ElapsedSeconds = time.Since(s.start).Seconds()
	report.judge(s.command.Untimed)
	return report
}

// apply changes configuration and waits until it is in force.
func (s *show) apply(ctx context.Context, name string, resources ...*resource.Resource) error {
	before := s.mesh.ControlBytes()
	control := s.mesh.Control[(1+len(s.report.Changes))%len(s.mesh.Control)]
	sent := time.Now()
	outcome, err := s.mesh.ApplyAccepted(ctx, control, mesh.Put(resources...))
	if err != nil {
		return trace.Wrap(err, "%s", name)
	}
	if _, err := s.mesh.WaitInForce(ctx, outcome.Version); err != nil {
		return trace.Wrap(err, "%s", name)
	}
	took := time.Since(sent)
	change := Change{
		Name: name, Version: outcome.Version,
		ConvergenceMS: milliseconds(took), ControlBytes: s.mesh.ControlBytes() - before,
	}
	s.report.Changes = append(s.report.Changes, change)
	s.tell("%s: version %d in force everywhere after %.1f ms, %d control bytes",
		name, change.Version, change.ConvergenceMS, change.ControlBytes)
	return nil
}

// changeRoute adds a route and sees it answered at every entrance.
func (s *show) changeRoute(ctx context.Context) error {
	call := s.mesh.Deployment().Calls[0]
	added := call
	added.Name, added.Path, added.Method = call.Name+"-archive", "/archive"+call.Path, http.MethodGet
	route := &resource.Resource{Kind: resource.KindRoute, Metadata: resource.Metadata{Name: added.Name}, Route: &resource.RouteSpec{
		Host: added.Host, PathPrefix: "/archive", Methods: []string{added.Method},
		Service: added.Service, Consumers: []string{resource.AnyConsumer},
	}}
	if err := s.apply(ctx, "route "+added.Name, route); err != nil {
		return err
	}
	var targets []load.Target
	for _, entrance := range s.mesh.Entrances {
		targets = append(targets, mesh.Target(entrance, added))
	}
	if err := mesh.WaitAnswered(ctx, targets); err != nil {
		return err
	}
	s.tell("the new route is answered at every entrance")
	return nil
}

// changePlacement restricts a service that was served across zones to the
// caller's own zone.
func (s *show) changePlacement(ctx context.Context) error {
	placement, err := s.firstPlacement()
	if err != nil {
		return err
	}
	spec := resource.PlacementSpec{Service: placement.Placement.Service}
	for _, zone := range s.mesh.Deployment().Zones {
		spec.Rules = append(spec.Rules, resource.PlacementRule{CallerZones: []string{zone}, BackendZones: []string{zone}})
	}
	changed := &resource.Resource{Kind: resource.KindPlacement, Metadata: resource.Metadata{Name: placement.Metadata.Name}, Placement: &spec}
	if err := s.apply(ctx, "placement "+changed.Metadata.Name, changed); err != nil {
		return err
	}
	s.strictService, s.strictFrom = spec.Service, time.Now()
	s.tell("%s is now served in the caller's own zone only", spec.Service)
	return nil
}

func (s *show) firstPlacement() (*resource.Resource, error) {
	resources, err := examples.Resources(s.mesh.Deployment().Name)
	if err != nil {
		return nil, err
	}
	for _, declared := range resources {
		if declared.Kind == resource.KindPlacement {
			return declared, nil
		}
	}
	return nil, trace.NotFound("the examples of %s hold no placement", s.mesh.Deployment().Name)
}

// misplaced counts calls of the restricted service that were sent after the
// restriction was in force and served in another zone.
func (s *show) misplaced(run *load.Run) int {
	zones := map[string]string{}
	for _, upstream := range s.mesh.Upstreams {
		zones[upstream.Name] = upstream.Zone
	}
	entranceZones := map[string]string{}
	for _, entrance := range s.mesh.Entrances {
		entranceZones[entrance.Name()] = entrance.Zone()
	}
	count := 0
	for index := range run.Results {
		result := &run.Results[index]
		target := run.Targets[result.Target]
		strict := target.Service == s.strictService && run.Start.Add(result.Started).After(s.strictFrom)
		if strict && result.Backend != "" && zones[result.Backend] != entranceZones[target.Entrance] {
			count++
		}
	}
	return count
}

// drainBackend drains a back end, sees it left alone, stops it with its proxy
// and starts both again.
func (s *show) drainBackend(ctx context.Context) error {
	drained := s.drainable()
	drained.Standin().Drain()
	s.tell("%s drains", drained.Name)
	if err := sleep(ctx, drainPause); err != nil {
		return err
	}
	last := time.Duration(drained.Standin().Counts().NewWorkAfterDrain)
	s.report.DrainLastWorkMS = milliseconds(last)
	s.tell("%s received its last new work %.0f ms after the start of the drain", drained.Name, milliseconds(last))
	if err := drained.Stop(); err != nil {
		return err
	}
	s.tell("%s and its proxy stopped as planned", drained.Name)
	if err := drained.Backend.Start(); err != nil {
		return err
	}
	if err := drained.Proxy.Start(); err != nil {
		return err
	}
	s.tell("%s and its proxy started again", drained.Name)
	return nil
}

// drainable returns an upstream whose service stays available without it.
func (s *show) drainable() *mesh.UpstreamNode {
	for _, upstream := range s.mesh.Upstreams {
		if upstream.Service != s.strictService {
			return upstream
		}
	}
	return s.mesh.Upstreams[0]
}

// restartDaemon stops a control daemon as planned and starts it again.
func (s *show) restartDaemon(context.Context) error {
	control := s.mesh.Control[0]
	if err := control.Stop(); err != nil {
		return err
	}
	s.tell("%s stopped as planned", control.Name())
	if err := control.Start(); err != nil {
		return err
	}
	s.tell("%s started again", control.Name())
	return nil
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "the demo ran out of time")
	}
}
