package scale

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kestrelstream/kestrelstream/internal/hollow"
	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/lab/usage"
)

// pollInterval is how often the fleet is looked at while something is waited
// for. Times in force are noted by the proxies themselves.
const pollInterval = 5 * time.Millisecond

// world is the running system: real processes' code and hollow proxies.
type world struct {
	topology topology
	mesh     *mesh.Mesh
	fleet    *hollow.Fleet
	// hollowMemory is what all hollow proxies and the daemons' sides of their
	// streams hold, in bytes.
	hollowMemory uint64
}

// start brings everything up and returns once the initial configuration is in
// force everywhere.
func start(ctx context.Context, t topology, stagger time.Duration, log io.Writer, progress *progress) (*world, error) {
	progress.step("start the store, %d daemons and %d real proxies", t.Zones*t.DaemonsPerZone, t.RealProxies)
	launched, result, err := mesh.Launch(ctx, t.meshOptions(log))
	running := &world{topology: t, mesh: launched}
	if err != nil {
		return running, trace.Wrap(err, "launch")
	}
	before := usage.LiveMemory()
	progress.step("start %d hollow proxies", t.Proxies)
	running.fleet = hollow.NewFleet(t.hollowOptions(members(launched), newLogger(log)))
	for _, member := range running.fleet.Members() {
		member.Start(ctx)
		if err := sleep(ctx, stagger); err != nil {
			return running, err
		}
	}
	if err := running.waitInForce(ctx, result.Version); err != nil {
		return running, err
	}
	if err := running.waitEndpoints(ctx); err != nil {
		return running, err
	}
	running.hollowMemory = usage.LiveMemory() - before
	return running, nil
}

// newLogger returns the logger of the hollow proxies; each names its node.
func newLogger(log io.Writer) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(log)), zap.InfoLevel))
}

// stop ends everything; what has to be cut is of no interest.
func (w *world) stop() {
	if w.fleet != nil {
		w.fleet.Kill()
	}
	if w.mesh != nil {
		_ = w.mesh.Stop()
	}
}

// wait returns once nothing is behind; behind names something that is.
func wait(ctx context.Context, behind func() string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		waiting := behind()
		if waiting == "" {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return trace.LimitExceeded("gave up while waiting for %s", waiting)
		}
	}
}

// waitInForce returns once every running proxy, hollow and real, enforces the
// version.
func (w *world) waitInForce(ctx context.Context, version uint64) error {
	return wait(ctx, func() string { return w.behind(w.fleet.Members(), version) })
}

// behind names a running proxy that does not enforce the version yet.
func (w *world) behind(among []*hollow.Member, version uint64) string {
	for _, member := range among {
		proxy := member.Proxy()
		if proxy != nil && proxy.Version() < version {
			return fmt.Sprintf("version %d at %s, which is at %d", version, member.Options().Node.Name, proxy.Version())
		}
	}
	for _, proxy := range w.mesh.Proxies() {
		if held := proxy.Version(); held < version {
			return fmt.Sprintf("version %d at %s, which is at %d", version, proxy.Name(), held)
		}
	}
	return ""
}

// waitEndpoints returns once every hollow proxy knows as many endpoints of its
// own service as may serve it.
func (w *world) waitEndpoints(ctx context.Context) error {
	expected := w.topology.endpointsByScope()
	return wait(ctx, func() string {
		for _, member := range w.fleet.Members() {
			options := member.Options()
			want := expected[endpointScope{options.Services[0], options.Node.Region}]
			if proxy := member.Proxy(); proxy != nil && proxy.Endpoints() < want {
				return fmt.Sprintf("endpoints at %s, which knows %d of at least %d", options.Node.Name, proxy.Endpoints(), want)
			}
		}
		return ""
	})
}

// endpointScope is a set of endpoints that are used together.
type endpointScope struct{ service, region string }

func (t topology) endpointsByScope() map[endpointScope]int {
	counts := map[endpointScope]int{}
	for index := range t.Proxies {
		counts[endpointScope{t.service(index), t.regionOf(t.zone(index))}]++
	}
	return counts
}

// relays returns the running daemons that proxies are attached to.
func (w *world) relays() []*mesh.ControlNode {
	parents := map[string]bool{}
	for _, member := range w.fleet.Members() {
		if proxy := member.Proxy(); proxy != nil {
			parents[proxy.Status().Parent] = true
		}
	}
	var relays []*mesh.ControlNode
	for _, control := range w.mesh.Control {
		if parents[control.Name()] && control.Running() {
			relays = append(relays, control)
		}
	}
	return relays
}

// readers returns the names of the daemons that hold a reader slot.
func (w *world) readers() map[string]bool {
	names := map[string]bool{}
	for _, control := range w.mesh.Control {
		if !control.Running() {
			continue
		}
		for _, reader := range control.Daemon().Host().Status().Readers {
			names[reader.Node] = true
		}
	}
	return names
}
