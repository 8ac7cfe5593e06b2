package chaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
	"github.com/kestrelstream/kestrelstream/internal/standin/keyvalue"
)

// events are all kinds of events. Those that break something by force excuse
// the calls that go through it meanwhile; planned stops, changes, faults of
// the store and of control daemons excuse nothing.
var events = []event{
	{"drain-backend", 4, (*operator).drainBackend},
	{"stop-upstream-proxy", 3, (*operator).stopUpstreamProxy},
	{"stop-entrance", 2, (*operator).stopEntrance},
	{"stop-daemon", 3, (*operator).stopDaemon},
	{"change-route", 4, (*operator).changeRoute},
	{"change-secret", 3, (*operator).changeSecret},
	{"store-fault", 4, (*operator).storeFault},
	{"misleading-backend", 4, (*operator).misleadingBackend},
	{"kill-backend", 3, (*operator).killBackend},
	{"kill-upstream-proxy", 3, (*operator).killUpstreamProxy},
	{"kill-entrance", 2, (*operator).killEntrance},
	{"kill-daemon", 3, (*operator).killDaemon},
	{"kill-all-daemons", 1, (*operator).killAllDaemons},
	{"kill-store", 1, (*operator).killStore},
	{"stall-backend", 3, (*operator).stallBackend},
	{"reset-connections", 6, (*operator).resetConnections},
}

// part is a node as events see it.
type part interface {
	Name() string
	Start() error
	Stop() error
	Kill() error
}

func (o *operator) upstream(random *rand.Rand) *mesh.UpstreamNode {
	return o.mesh.Upstreams[random.IntN(len(o.mesh.Upstreams))]
}

func (o *operator) daemon(random *rand.Rand) *mesh.ControlNode {
	return o.mesh.Control[random.IntN(len(o.mesh.Control))]
}

func (o *operator) entrance(random *rand.Rand) *mesh.ProxyNode {
	return o.mesh.Entrances[random.IntN(len(o.mesh.Entrances))]
}

// away takes a part away, waits and starts it again.
func (o *operator) away(kind string, parts []part, leave func(part) error, excused *scope) error {
	endExcuse := func() {}
	if excused != nil {
		endExcuse = o.journal.excuse(*excused)
	}
	var failures []error
	for _, each := range parts {
		o.journal.happened(kind, "%s", each.Name())
		failures = append(failures, leave(each))
	}
	time.Sleep(outage)
	for _, each := range parts {
		failures = append(failures, each.Start())
	}
	time.Sleep(settle)
	endExcuse()
	return errors.Join(failures...)
}

// drainBackend drains a back end, checks that it is left alone, stops it and
// the proxy beside it and starts both again.
func (o *operator) drainBackend(ctx context.Context, kind string, random *rand.Rand) error {
	chosen := o.upstream(random)
	release, claimed := o.claim(chosen.Name)
	if !claimed {
		return nil
	}
	defer release()
	standin := chosen.Standin()
	standin.Drain()
	o.journal.happened(kind, "%s", chosen.Name)
	wait(ctx, drainBound+settle)
	o.journal.drained(time.Duration(standin.Counts().NewWorkAfterDrain))
	return o.away(kind+"-stop", []part{chosen.Proxy, chosen.Backend}, part.Stop, nil)
}

func (o *operator) stopUpstreamProxy(_ context.Context, kind string, random *rand.Rand) error {
	chosen := o.upstream(random)
	return o.exclusively(chosen.Name, func() error {
		return o.away(kind, []part{chosen.Proxy}, part.Stop, nil)
	})
}

func (o *operator) stopEntrance(_ context.Context, kind string, random *rand.Rand) error {
	chosen := o.entrance(random)
	return o.exclusively(chosen.Name(), func() error {
		return o.away(kind, []part{chosen}, part.Stop, &scope{name: kind, entrance: chosen.Name(), absence: true})
	})
}

func (o *operator) stopDaemon(_ context.Context, kind string, random *rand.Rand) error {
	chosen := o.daemon(random)
	return o.exclusively(chosen.Name(), func() error {
		return o.away(kind, []part{chosen}, part.Stop, nil)
	})
}

func (o *operator) killBackend(_ context.Context, kind string, random *rand.Rand) error {
	chosen := o.upstream(random)
	return o.exclusively(chosen.Name, func() error {
		return o.away(kind, []part{chosen.Backend}, part.Kill, &scope{name: kind, service: chosen.Service})
	})
}

func (o *operator) killUpstreamProxy(_ context.Context, kind string, random *rand.Rand) error {
	chosen := o.upstream(random)
	return o.exclusively(chosen.Name, func() error {
		return o.away(kind, []part{chosen.Proxy}, part.Kill, &scope{name: kind, service: chosen.Service})
	})
}

func (o *operator) killEntrance(_ context.Context, kind string, random *rand.Rand) error {
	chosen := o.entrance(random)
	return o.exclusively(chosen.Name(), func() error {
		return o.away(kind, []part{chosen}, part.Kill, &scope{name: kind, entrance: chosen.Name()})
	})
}

func (o *operator) killDaemon(_ context.Context, kind string, random *rand.Rand) error {
	chosen := o.daemon(random)
	return o.exclusively(chosen.Name(), func() error {
		return o.away(kind, []part{chosen}, part.Kill, nil)
	})
}

// killAllDaemons kills every control daemon that no other event has.
func (o *operator) killAllDaemons(_ context.Context, kind string, _ *rand.Rand) error {
	o.storeOutage.Lock()
	defer o.storeOutage.Unlock()
	var killed []part
	for _, each := range o.mesh.Control {
		if release, claimed := o.claim(each.Name()); claimed {
			defer release()
			killed = append(killed, each)
		}
	}
	return o.away(kind, killed, part.Kill, nil)
}

func (o *operator) killStore(_ context.Context, kind string, _ *rand.Rand) error {
	o.storeOutage.Lock()
	defer o.storeOutage.Unlock()
	return o.away(kind, []part{o.mesh.Store}, part.Kill, nil)
}

func (o *operator) exclusively(name string, act func() error) error {
	release, claimed := o.claim(name)
	if !claimed {
		return nil
	}
	defer release()
	return act()
}

// storeFaults are what storeFault switches on.
var storeFaults = []keyvalue.Fault{
	{Kind: keyvalue.FaultDown},
	{Kind: keyvalue.FaultSlow, Delay: 200 * time.Millisecond},
	{Kind: keyvalue.FaultRateLimited, Probability: 0.5},
	{Kind: keyvalue.FaultAnswerLost, Probability: 0.5},
	{Kind: keyvalue.FaultWatchCut},
	{Kind: keyvalue.FaultLeaseLapsed, Count: 3},
}

func (o *operator) storeFault(ctx context.Context, kind string, random *rand.Rand) error {
	o.storeOutage.Lock()
	defer o.storeOutage.Unlock()
	fault := storeFaults[random.IntN(len(storeFaults))]
	if err := o.mesh.Store.Faults().Set(fault); err != nil {
		return err
	}
	defer o.mesh.Store.Faults().Clear()
	o.journal.happened(kind, "%s", fault.Kind)
	wait(ctx, 2*outage)
	return nil
}

// misleading are behaviours of a back end whose health or load does not tell
// the truth.
var misleading = []func(*backend.Behaviour){
	func(b *backend.Behaviour) { b.Health = backend.HealthAlwaysDown },
	func(b *backend.Behaviour) {
		b.Health, b.HealthLag = backend.HealthLagging, resource.Duration(time.Second)
	},
	func(b *backend.Behaviour) { b.Load = backend.LoadClaimsIdle },
	func(b *backend.Behaviour) { b.Load = backend.LoadClaimsFull },
	func(b *backend.Behaviour) {
		b.Load, b.LoadLag = backend.LoadLagging, resource.Duration(time.Second)
	},
}

// misleadingBackend lets a back end misinform the mesh for a while.
func (o *operator) misleadingBackend(ctx context.Context, kind string, random *rand.Rand) error {
	chosen, index := o.upstream(random), random.IntN(len(misleading))
	return o.exclusively(chosen.Name, func() error {
		standin := chosen.Standin()
		truthful := standin.Behaviour()
		changed := truthful
		misleading[index](&changed)
		standin.SetBehaviour(changed)
		defer standin.SetBehaviour(truthful)
		o.journal.happened(kind, "%s health %q load %q", chosen.Name, changed.Health, changed.Load)
		wait(ctx, 2*outage)
		return nil
	})
}

// stallBackend stops a back end from going on with its requests for a while;
// calls may then pass their deadline.
func (o *operator) stallBackend(ctx context.Context, kind string, random *rand.Rand) error {
	chosen := o.upstream(random)
	return o.exclusively(chosen.Name, func() error {
		defer o.journal.excuse(scope{name: kind, service: chosen.Service})()
		standin := chosen.Standin()
		behaviour := standin.Behaviour()
		behaviour.Stalled = true
		standin.SetBehaviour(behaviour)
		o.journal.happened(kind, "%s", chosen.Name)
		wait(ctx, 2*outage)
		behaviour.Stalled = false
		standin.SetBehaviour(behaviour)
		return nil
	})
}

// resetConnections resets the connections to a back end, to the proxy beside
// it or to a caller's proxy while the process goes on.
func (o *operator) resetConnections(_ context.Context, kind string, random *rand.Rand) error {
	upstream, entrance := o.upstream(random), o.entrance(random)
	var affected scope
	var reset func() int
	switch random.IntN(3) {
	case 0:
		affected, reset = scope{name: kind, service: upstream.Service}, upstream.Backend.ResetConnections
	case 1:
		affected, reset = scope{name: kind, service: upstream.Service}, upstream.Proxy.ResetConnections
	default:
		affected, reset = scope{name: kind, entrance: entrance.Name()}, entrance.ResetConnections
	}
	defer o.journal.excuse(affected)()
	o.journal.happened(kind, "%d towards service %q entrance %q", reset(), affected.service, affected.entrance)
	time.Sleep(resetExcuse)
	return nil
}

// changeRoute adds or changes a route beside those that are called.
func (o *operator) changeRoute(ctx context.Context, kind string, random *rand.Rand) error {
	call := o.mesh.Deployment().Calls[random.IntN(len(o.mesh.Deployment().Calls))]
	name := fmt.Sprintf("chaos-%d", random.IntN(8))
	route := &resource.Resource{Kind: resource.KindRoute, Metadata: resource.Metadata{Name: name}, Route: &resource.RouteSpec{
		Host: name + ".example", PathPrefix: fmt.Sprintf("/%d", random.IntN(1000)), Methods: []string{call.Method},
		Service: call.Service, Consumers: []string{resource.AnyConsumer},
	}}
	return o.change(ctx, kind, random, route)
}

// changeSecret rotates a secret that calls in flight use.
func (o *operator) changeSecret(ctx context.Context, kind string, random *rand.Rand) error {
	secrets := o.mesh.Secrets()
	chosen := *secrets[random.IntN(len(secrets))]
	spec := *chosen.Secret
	spec.Value = fmt.Sprintf("Bearer rotated-%d", random.Uint64())
	chosen.Secret = &spec
	return o.change(ctx, kind, random, &chosen)
}

// change applies a resource at some daemon and waits until it is in force.
func (o *operator) change(ctx context.Context, kind string, random *rand.Rand, changed *resource.Resource) error {
	control, operation := o.daemon(random), fmt.Sprintf("chaos-%x", random.Uint64())
	o.storeOutage.RLock()
	defer o.storeOutage.RUnlock()
	release, claimed := o.claim(control.Name())
	if !claimed {
		return nil
	}
	defer release()
	version, err := o.mesh.ApplyUntilAccepted(ctx, control, operation, mesh.Put(changed))
	if err != nil {
		return ignoreEnd(ctx, err)
	}
	o.journal.happened(kind, "%s at %s is version %d", changed.Key(), control.Name(), version)
	took, err := o.mesh.WaitInForce(ctx, version)
	if err != nil {
		return ignoreEnd(ctx, err)
	}
	o.journal.changed(took)
	return nil
}

// ignoreEnd drops an error that came of the end of the run.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
