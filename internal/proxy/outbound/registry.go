package outbound

import (
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy/balance"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/limit"
	"github.com/kestrelstream/kestrelstream/internal/proxy/retry"
	"github.com/kestrelstream/kestrelstream/internal/proxy/table"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// registry holds the state that is kept across snapshots: endpoints with their connections, and the
// limits of services and routes. It is guarded by Handler.mutex.
type registry struct {
	options   Options
	states    map[endpoint.ID]endpoint.Update
	endpoints map[endpointKey]*balance.Endpoint
	services  map[string]*sharedService
	routes    map[string]*atomic.Int64
}

// endpointKey identifies an endpoint at a certain address.
type endpointKey struct {
	id      endpoint.ID
	address string
}

func newRegistry(options Options) *registry {
	return &registry{
		options:   options,
		states:    map[endpoint.ID]endpoint.Update{},
		endpoints: map[endpointKey]*balance.Endpoint{},
		services:  map[string]*sharedService{},
		routes:    map[string]*atomic.Int64{},
	}
}

// compile returns the configuration of a snapshot.
func (r *registry) compile(snapshot *projection.Snapshot) *configuration {
	compiled := &configuration{
		services: make(map[string]*service, len(snapshot.Services)),
		routes:   make(map[string]bool, len(snapshot.Routes)),
	}
	for name, view := range snapshot.Services {
		compiled.services[name] = r.newService(name, view)
	}
	secrets := compileSecrets(snapshot.Secrets)
	compiled.table = table.Compile(snapshot.Routes, func(name string, spec *resource.RouteSpec) *route {
		compiled.routes[name] = true
		return &route{
			name:            name,
			service:         compiled.services[spec.Service],
			secret:          secrets[spec.Secret],
			repeatable:      repeatableMethods(spec),
			inFlight:        r.routeCounter(name),
			maximumInFlight: int64(spec.MaximumInFlight),
		}
	})
	return compiled
}

// compileSecrets returns the credentials by name.
func compileSecrets(specs map[string]*resource.SecretSpec) map[string]*secret {
	secrets := make(map[string]*secret, len(specs))
	for name, spec := range specs {
		secrets[name] = &secret{header: http.CanonicalHeaderKey(spec.Header), value: []string{spec.Value}}
	}
	return secrets
}

// newService returns a service of a new configuration with the shared state of its name.
func (r *registry) newService(name string, view *projection.Service) *service {
	policy := retry.Policy{Attempts: view.Retry.Attempts, BudgetPercent: view.Retry.BudgetPercent}.WithDefaults()
	shared := r.services[name]
	if shared == nil {
		shared = &sharedService{limiter: limit.New(0, 0), budget: retry.NewBudget(policy.BudgetPercent)}
		r.services[name] = shared
	}
	return &service{
		name:     name,
		view:     view,
		deadline: time.Duration(view.Deadline),
		policy:   policy,
		shared:   shared,
	}
}

// routeCounter returns the number of requests in flight of a route.
func (r *registry) routeCounter(name string) *atomic.Int64 {
	if r.routes[name] == nil {
		r.routes[name] = &atomic.Int64{}
	}
	return r.routes[name]
}

// populate sets the usable endpoints of a service and scales its limits by their number.
func (r *registry) populate(target *service, now time.Duration) {
	var usable []*balance.Endpoint
	for _, candidate := range r.candidates(target) {
		if r.acceptsWork(candidate.id) {
			usable = append(usable, r.endpoint(target, candidate, now))
		}
	}
	target.endpoints.Store(balance.NewSet(usable, target.view.Slots, balance.DefaultEjectionPolicy()))
	target.shared.limiter.Resize(target.view.Slots*len(usable), target.view.Queue*len(usable))
	target.shared.budget.SetPercent(target.policy.BudgetPercent)
}

// candidate is an endpoint that the placement rules allow.
type candidate struct {
	id      endpoint.ID
	zone    string
	address string
}

// candidates returns the declared endpoints of a service and, if it has a selector, the announced
// endpoints with matching labels. Only endpoints in allowed zones are returned.
func (r *registry) candidates(target *service) []candidate {
	var list []candidate
	for _, declared := range target.view.Endpoints {
		if slices.Contains(target.view.AllowedZones, declared.Zone) {
			id := endpoint.ID{Service: target.name, Name: declared.Name}
			list = append(list, candidate{id: id, zone: declared.Zone, address: declared.Address})
		}
	}
	if target.view.Selector == nil {
		return list
	}
	for id, announced := range r.states {
		if id.Service == target.name && matchesSelector(target.view, announced) {
			list = append(list, candidate{id: id, zone: announced.Zone, address: announced.Address})
		}
	}
	return list
}

// matchesSelector reports whether an announced endpoint is in an allowed zone and has all labels of
// the selector.
func matchesSelector(view *projection.Service, announced endpoint.Update) bool {
	if announced.Address == "" || !slices.Contains(view.AllowedZones, announced.Zone) {
		return false
	}
	for label, value := range view.Selector.Labels {
		if announced.Labels[label] != value {
			return false
		}
	}
	return true
}

// acceptsWork reports whether the last known state of the endpoint allows new requests. Endpoints
// of unknown state are used.
func (r *registry) acceptsWork(id endpoint.ID) bool {
	state, known := r.states[id]
	return !known || state.State.AcceptsWork()
}

// maxWarmedEndpoints is the largest number of declared endpoints for which connections are opened
// before the first call. With more, every endpoint would hold a connection from each outbound
// proxy, whether it is used or not.
const maxWarmedEndpoints = 8

// endpoint returns the endpoint of a candidate, which it creates if necessary.
func (r *registry) endpoint(target *service, selected candidate, now time.Duration) *balance.Endpoint {
	key := endpointKey{id: selected.id, address: selected.address}
	limits := r.options.connectionLimits(target.view.Connections)
	ep := r.endpoints[key]
	if ep == nil {
		pool := forward.NewPool(selected.address, limits, r.options.dialer(selected.id, selected.zone))
		ep = balance.NewEndpoint(selected.id, selected.zone, selected.address, pool)
		r.endpoints[key] = ep
		if r.states[selected.id].State == endpoint.Warming {
			ep.BeginSlowStart(now)
		}
		if len(target.view.Endpoints) <= maxWarmedEndpoints {
			pool.Warm()
		}
		return ep
	}
	ep.Pool.SetLimits(limits)
	return ep
}

// merge stores newer states of endpoints and returns the names of the affected services.
func (r *registry) merge(updates []endpoint.Update, now time.Duration) map[string]bool {
	affected := map[string]bool{}
	for _, update := range updates {
		previous, known := r.states[update.ID]
		if known && update.Compare(previous) <= 0 && !update.RevertsDownOverride(previous) {
			continue
		}
		r.states[update.ID] = update
		affected[update.ID.Service] = true
		r.applyState(previous, update, now)
	}
	return affected
}

// applyState updates the pool, ejection and slow start of an endpoint after a change of its state.
func (r *registry) applyState(previous, update endpoint.Update, now time.Duration) {
	for key, ep := range r.endpoints {
		if key.id != update.ID {
			continue
		}
		if !update.State.AcceptsWork() {
			ep.Pool.CloseIdle()
			continue
		}
		if update.Incarnation > previous.Incarnation || !previous.State.AcceptsWork() {
			ep.Reinstate()
		}
		if update.State == endpoint.Warming && previous.State != endpoint.Warming {
			ep.BeginSlowStart(now)
		}
	}
}

// removeUnused removes services, routes and endpoints that are not in the current configuration and
// have no running or queued requests.
func (r *registry) removeUnused(current *configuration) {
	maps.DeleteFunc(r.services, func(name string, shared *sharedService) bool {
		return current.services[name] == nil && shared.limiter.InFlight()+shared.limiter.Waiting() == 0
	})
	maps.DeleteFunc(r.routes, func(name string, inFlight *atomic.Int64) bool {
		return !current.routes[name] && inFlight.Load() == 0
	})
	r.removeUnusedEndpoints(current)
}

// removeUnusedEndpoints removes unused endpoints and closes their connections.
func (r *registry) removeUnusedEndpoints(current *configuration) {
	used := map[*balance.Endpoint]bool{}
	for _, target := range current.services {
		for _, ep := range target.endpoints.Load().Endpoints() {
			used[ep] = true
		}
	}
	for key, ep := range r.endpoints {
		if !used[ep] && ep.InFlight() == 0 {
			ep.Pool.Close()
			delete(r.endpoints, key)
		}
	}
}
