package simulation

import (
	"errors"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/projection"
)

var errRefused = errors.New("version is not above the one in force")

// proxyProcess is a hollow proxy: the real subscriber core and endpoint
// authority, and in place of the data path only what is in force.
type proxyProcess struct {
	subscriber *subscriber.Core
	// inForce is what the proxy enforces; nil before the first snapshot.
	inForce   *projection.Snapshot
	endpoints *endpoint.Table
	authority *endpoint.Authority
	// drainingAt is when the endpoint beside the proxy began to drain; the
	// inbound side accepts work for drainAccept from then.
	drainingAt time.Duration
	draining   bool
	// changedAt is when the endpoint's state last changed.
	changedAt time.Duration
	nextCall  int
}

func (w *World) startProxy(n *node) {
	if w.scenario.Distribution.Mode != ModeTree {
		w.startBaseline(n)
		return
	}
	n.proxy = &proxyProcess{endpoints: endpoint.NewTable(), changedAt: w.clock.now}
	n.proxy.subscriber = subscriber.New(w.controlConfig.Subscriber, n.identity(), distribution.ChildProxy, n.entitlement, n.random)
	if n.upstream {
		n.proxy.authority = endpoint.NewAuthority(endpoint.Update{
			ID: endpoint.ID{Service: n.service, Name: n.name}, Incarnation: n.incarnation(),
			State: endpoint.Ready, Zone: n.zone, Address: n.name, Labels: map[string]string{"service": n.service},
		})
		n.proxy.subscriber.EndpointChanged(w.clock.time(), []endpoint.Update{n.proxy.authority.Current()})
	}
	parents := membership.ProxyParents(w.members, n.zone, n.name, w.controlConfig.RelaysPerZone)
	w.runProxy(n, n.proxy.subscriber.Parents(w.clock.time(), parents))
	w.wake(n)
	w.scheduleCalls(n)
}

// runProxy carries out what a proxy's subscriber core asks for.
func (w *World) runProxy(n *node, outputs subscriber.Outputs) {
	w.runUplink(n, control0, outputs.Disconnect, outputs.Connect, outputs.Report)
	if outputs.Apply != nil {
		w.applyAtProxy(n, outputs.Apply)
	}
	for _, update := range outputs.Endpoints {
		w.learnEndpoint(n, update)
	}
}

// control0 names a proxy's only stream.
const control0 = ""

func (w *World) authorityChanged(n *node, update endpoint.Update) {
	n.proxy.endpoints.Merge(update)
	w.runProxy(n, n.proxy.subscriber.EndpointChanged(w.clock.time(), []endpoint.Update{update}))
}

func (w *World) learnEndpoint(n *node, update endpoint.Update) {
	if n.proxy.authority != nil {
		if refuting, refutes := n.proxy.authority.Observe(w.clock.time().Add(-n.clockBack), update); refutes {
			w.count.refutations++
			w.authorityChanged(n, refuting)
			return
		}
	}
	if n.proxy.endpoints.MergeAtProxy(update) {
		w.checker.endpointLearnt(n, update)
	}
}

func (w *World) applyAtProxy(n *node, snapshot *projection.Snapshot) {
	if w.mutation == MutationAckBeforeApply {
		w.runProxy(n, n.proxy.subscriber.Applied(w.clock.time(), snapshot.Version))
		w.deliver(n, w.clock.now+mutationDelay, func() { _ = w.enforce(n, snapshot) })
		return
	}
	if err := w.enforce(n, snapshot); err != nil {
		failure := distribution.ApplyFailure{Version: snapshot.Version, Step: "apply", Reason: err.Error()}
		w.runProxy(n, n.proxy.subscriber.ApplyFailed(w.clock.time(), failure))
		return
	}
	w.runProxy(n, n.proxy.subscriber.Applied(w.clock.time(), snapshot.Version))
}

// enforce puts a snapshot in force as the data path does: whole or not at all.
func (w *World) enforce(n *node, snapshot *projection.Snapshot) error {
	if n.poisoned > 0 {
		w.count.applyFailures++
		return errors.New("does not compile")
	}
	if w.mutation == MutationApplyInParts && n.proxy.inForce != nil {
		w.enforceInParts(n, snapshot)
		return nil
	}
	if n.proxy.inForce != nil && snapshot.Version <= n.proxy.inForce.Version && w.mutation != MutationNoVersionCheck {
		return errRefused
	}
	w.enforced(n, snapshot)
	return nil
}

func (w *World) enforced(n *node, snapshot *projection.Snapshot) {
	previous := n.proxy.inForce
	n.proxy.inForce = snapshot
	w.trace(traceApply, n.index, snapshot.Version)
	w.checker.enforced(n, previous, snapshot)
}

// mayCall lists the endpoints of a service that the proxy may send new work
// to, in a fixed order.
func (n *node) mayCall(service string, mutation Mutation) []endpoint.Update {
	if n.proxy.inForce == nil {
		return nil
	}
	view := n.proxy.inForce.Services[service]
	if view == nil {
		return nil
	}
	var list []endpoint.Update
	for _, update := range n.proxy.endpoints.All() {
		accepts := update.State.AcceptsWork() || (mutation == MutationWorkWhileDraining && update.State == endpoint.Draining)
		if update.ID.Service == service && accepts && slices.Contains(view.AllowedZones, update.Zone) {
			list = append(list, update)
		}
	}
	return list
}
