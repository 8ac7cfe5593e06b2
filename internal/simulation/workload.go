package simulation

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// exponential draws a wait with the given mean.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-random.Float64()) * float64(mean))
}

// initialBatch declares the services, their placements, secrets and routes.
func (w *World) initialBatch() resource.Batch {
	if w.replay != nil {
		return resource.Batch{Operation: resource.Operation{ID: "initial"}, Changes: w.replay.Initial}
	}
	var changes []resource.Change
	for i := range w.scenario.Services {
		changes = append(changes, w.putSecret(i, 0), w.putService(i, 0), w.putPlacement(i))
		changes = append(changes, w.putRoute(i, 0, 0))
	}
	return resource.Batch{Operation: resource.Operation{ID: "initial"}, Changes: changes}
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func put(kind resource.Kind, name string, fill func(*resource.Resource)) resource.Change {
	declared := &resource.Resource{Kind: kind, Metadata: resource.Metadata{Name: name}}
	fill(declared)
	return resource.Change{Action: resource.ActionPut, Resource: declared}
}

func (w *World) putSecret(i, generation int) resource.Change {
	return put(resource.KindSecret, fmt.Sprintf("credential-%02d", i), func(r *resource.Resource) {
		r.Secret = &resource.SecretSpec{Header: "X-Credential", Value: fmt.Sprintf("credential-of-%d-generation-%d", i, generation)}
	})
}

func (w *World) putService(i, generation int) resource.Change {
	return put(resource.KindService, serviceName(i), func(r *resource.Resource) {
		r.Service = &resource.ServiceSpec{
			Selector: &resource.EndpointSelector{Labels: map[string]string{"service": serviceName(i)}},
			Slots:    10 + generation%10, Connections: 120, Deadline: seconds(2),
			Retry: resource.RetryPolicy{Attempts: 3, BudgetPercent: 20},
		}
	})
}

func (w *World) putPlacement(i int) resource.Change {
	return put(resource.KindPlacement, serviceName(i), func(r *resource.Resource) {
		r.Placement = &resource.PlacementSpec{Service: serviceName(i), Rules: w.placementRules()}
	})
}

func (w *World) placementRules() []resource.PlacementRule {
	if w.scenario.PlacementScope == scopeAll {
		all := w.zoneNames(func(Zone) bool { return true })
		return []resource.PlacementRule{{CallerZones: all, BackendZones: all}}
	}
	var rules []resource.PlacementRule
	for _, zone := range w.scenario.Zones {
		backends := []string{zone.Name}
		if w.scenario.PlacementScope == scopeRegion {
			backends = w.zoneNames(func(other Zone) bool { return other.Region == zone.Region })
		}
		rules = append(rules, resource.PlacementRule{CallerZones: []string{zone.Name}, BackendZones: backends})
	}
	return rules
}

func (w *World) zoneNames(match func(Zone) bool) []string {
	var names []string
	for _, zone := range w.scenario.Zones {
		if match(zone) {
			names = append(names, zone.Name)
		}
	}
	return names
}

// putRoute declares the route to a service; extra numbers further routes of
// the same service.
func (w *World) putRoute(i, extra, generation int) resource.Change {
	return put(resource.KindRoute, fmt.Sprintf("route-%02d-%d", i, extra), func(r *resource.Resource) {
		r.Route = &resource.RouteSpec{
			Host: serviceName(i) + ".internal", PathPrefix: fmt.Sprintf("/v%d", extra),
			Service: serviceName(i), Secret: fmt.Sprintf("credential-%02d", i),
			Consumers: w.consumersOf(i), MaximumInFlight: generation,
		}
	})
}

// consumersOf lists the services that call a service.
func (w *World) consumersOf(i int) []string {
	consumers := []string{}
	for step := 1; step <= w.scenario.CalledServices; step++ {
		consumers = append(consumers, serviceName((i+step)%w.scenario.Services))
	}
	return consumers
}

// change is one operation of an operator, repeated until its outcome is known.
type change struct {
	id      string
	changes []resource.Change
}

// scheduleChanges has each operator change something at exponential times.
func (w *World) scheduleChanges() {
	if w.scenario.Changes.PerDay == 0 {
		return
	}
	mean := 24 * time.Hour / time.Duration(w.scenario.Changes.PerDay)
	var next func()
	next = func() {
		w.clock.after(exponential(w.loadRandom, mean), func() {
			w.makeChanges()
			next()
		})
	}
	next()
}

// makeChanges has one operator, or, now and then, all of them at once, change
// something.
func (w *World) makeChanges() {
	operators := 1
	if w.loadRandom.IntN(racePeriod) == 0 {
		operators = w.scenario.Changes.Operators
	}
	for range operators {
		w.operations++
		w.commit(&change{id: fmt.Sprint("operation-", w.operations), changes: w.drawChange()})
	}
}

// racePeriod: one in that many changes is a race of all operators.
const racePeriod = 5

func (w *World) drawChange() []resource.Change {
	i, generation := w.loadRandom.IntN(w.scenario.Services), w.loadRandom.IntN(1000)
	switch w.loadRandom.IntN(5) {
	case 0:
		return []resource.Change{w.putSecret(i, generation)}
	case 1:
		return []resource.Change{w.putRoute(i, 0, generation)}
	case 2:
		return []resource.Change{w.putRoute(i, 1, generation), w.putSecret(i, generation)}
	case 3:
		key := resource.Key{Kind: resource.KindRoute, Name: fmt.Sprintf("route-%02d-%d", i, 1)}
		return []resource.Change{{Action: resource.ActionDelete, Key: key}, w.putService(i, generation)}
	default:
		return []resource.Change{w.putService(i, generation)}
	}
}

// operatorRetry is the mean wait of an operator whose attempt had no outcome.
const operatorRetry = 500 * time.Millisecond

// commit makes one attempt at one daemon: admit on the state it holds, then
// create the next log entry.
func (w *World) commit(c *change) {
	if w.scenario.Distribution.Mode != ModeTree {
		w.commitDirect(c)
		return
	}
	candidates := w.daemonsWhere(func(n *node) bool {
		return n.control.State().Version() > 0 && (w.mutation != MutationTrustLease || (n.slot.held && n.slot.index == 0))
	})
	chosen := w.pick(candidates)
	if chosen == nil {
		w.retryCommit(c)
		return
	}
	start := chosen.starts
	w.deliver(chosen, w.clock.now, func() { w.commitAt(chosen, start, c) })
}

func (w *World) pick(candidates []*node) *node {
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.loadRandom.IntN(len(candidates))]
}

func (w *World) retryCommit(c *change) {
	w.clock.after(exponential(w.loadRandom, operatorRetry), func() { w.commit(c) })
}

func (w *World) commitAt(n *node, _ int, c *change) {
	state := n.control.State()
	if known := w.checker.versionOf(c.id); known != 0 && known <= state.Version() {
		return
	}
	admission := resource.NewAdmission(state)
	batch := resource.Batch{Operation: resource.Operation{ID: c.id}, Changes: c.changes}
	if err := admission.Admit(batch); err != nil {
		w.count.rejected++
		return
	}
	entry := admission.Entry()
	if w.mutation == MutationTrustLease {
		w.store.call(n, costRange, true, func() func() { w.store.overwrite(entry); return func() {} }, func(error) {})
		return
	}
	w.store.call(n, costRange, true, func() func() {
		if w.store.holds(c.id) {
			return func() {}
		}
		err := w.store.create(entry)
		return func() { w.committed(c, err) }
	}, func(err error) { w.committed(c, err) })
}

// committed follows up an attempt: a conflict and an unknown outcome are tried
// again, under the same id.
func (w *World) committed(c *change, err error) {
	if errors.Is(err, store.ErrConflict) {
		w.count.conflicts++
	}
	if err != nil {
		w.retryCommit(c)
	}
}

// scheduleChurn has every endpoint drain, go down and return now and then.
func (w *World) scheduleChurn() {
	interval := time.Duration(w.scenario.Churn.Interval)
	if interval == 0 || w.scenario.Distribution.Mode != ModeTree {
		return
	}
	for _, n := range w.proxies {
		if n.upstream {
			w.scheduleDrain(n, interval)
		}
	}
}

// The phases of an endpoint's restart.
const (
	drainPhase   = 5 * time.Second
	downPhase    = 3 * time.Second
	warmingPhase = 10 * time.Second
)

func (w *World) scheduleDrain(n *node, interval time.Duration) {
	w.clock.after(exponential(w.loadRandom, interval), func() {
		w.setEndpoint(n, endpoint.Draining)
		w.clock.after(drainPhase, func() { w.setEndpoint(n, endpoint.Down) })
		w.clock.after(drainPhase+downPhase, func() { w.setEndpoint(n, endpoint.Warming) })
		w.clock.after(drainPhase+downPhase+warmingPhase, func() {
			w.setEndpoint(n, endpoint.Ready)
			w.scheduleDrain(n, interval)
		})
	})
}

// setEndpoint has the proxy beside a back end see its state change.
func (w *World) setEndpoint(n *node, state endpoint.State) {
	if !n.alive || w.clock.now < n.pausedUntil {
		return
	}
	update, changed := n.proxy.authority.Set(state)
	if !changed {
		return
	}
	n.proxy.changedAt = w.clock.now
	n.proxy.draining = state == endpoint.Draining || state == endpoint.Down
	if state == endpoint.Draining {
		n.proxy.drainingAt = w.clock.now
		w.checker.draining(n, update)
	}
	w.authorityChanged(n, update)
	w.wake(n)
}
