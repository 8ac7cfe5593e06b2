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

// registry holds what outlives snapshots: endpoints with their connections,
// and the limits of services and routes. It is used under Handler.mutex.
type registry struct {
	options   Options
	states    map[endpoint.ID]endpoint.Update
	endpoints map[endpointKey]*balance.Endpoint
	services  map[string]*sharedService
	routes    map[string]*atomic.Int64
}

// endpointKey identifies a back end at one address.
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

// compile builds the configuration of a snapshot.
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

func compileSecrets(specs map[string]*resource.SecretSpec) map[string]*secret {
	secrets := make(map[string]*secret, len(specs))
	for name, spec := range specs {
		secrets[name] = &secret{header: http.CanonicalHeaderKey(spec.Header), value: []string{spec.Value}}
	}
	return secrets
}

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

func (r *registry) routeCounter(name string) *atomic.Int64 {
	if r.routes[name] == nil {
		r.routes[name] = &atomic.Int64{}
	}
	return r.routes[name]
}

// populate gives a service its present endpoints and sizes its limits to them.
func (r *registry) populate(target *service, now time.Duration) {
	var usable []*balance.Endpoint
	for _, candidate := range r.candidates(target) {
		if r.accepts(candidate.id) {
			usable = append(usable, r.endpoint(target, candidate, now))
		}
	}
	target.endpoints.Store(balance.NewSet(usable, target.view.Slots, balance.DefaultEjection()))
	target.shared.limiter.Resize(target.view.Slots*len(usable), target.view.Queue*len(usable))
	target.shared.budget.SetPercent(target.policy.BudgetPercent)
}

// candidate is an endpoint that placement allows.
type candidate struct {
	id      endpoint.ID
	zone    string
	address string
}

// candidates returns declared endpoints, or announced ones that bear the
// labels of the service's selector; both only in allowed zones.
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
		if id.Service == target.name && admits(target.view, announced) {
			list = append(list, candidate{id: id, zone: announced.Zone, address: announced.Address})
		}
	}
	return list
}

func admits(view *projection.Service, announced endpoint.Update) bool {
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

// accepts reports whether new work may go to the endpoint as far as it is
// known. A declared endpoint of which nothing was heard yet is tried.
func (r *registry) accepts(id endpoint.ID) bool {
	state, known := r.states[id]
	return !known || state.State.AcceptsWork()
}

// warmedEndpoints is up to how many endpoints of a service get a connection
// before the first call. More would cost every endpoint a connection from each
// caller's proxy, used or not.
const warmedEndpoints = 8

func (r *registry) endpoint(target *service, wanted candidate, now time.Duration) *balance.Endpoint {
	key := endpointKey{id: wanted.id, address: wanted.address}
	limits := r.options.connectionLimits(target.view.Connections)
	held := r.endpoints[key]
	if held == nil {
		pool := forward.NewPool(wanted.address, limits, r.options.dialer(wanted.id, wanted.zone))
		held = balance.NewEndpoint(wanted.id, wanted.zone, wanted.address, pool)
		r.endpoints[key] = held
		if r.states[wanted.id].State == endpoint.Warming {
			held.StartSlow(now)
		}
		if len(target.view.Endpoints) <= warmedEndpoints {
			pool.Warm()
		}
		return held
	}
	held.Pool.SetLimits(limits)
	return held
}

// merge takes in newer states and returns the services they concern.
func (r *registry) merge(updates []endpoint.Update, now time.Duration) map[string]bool {
	affected := map[string]bool{}
	for _, update := range updates {
		held, known := r.states[update.ID]
		if known && update.Compare(held) <= 0 && !update.RevertsDownOverride(held) {
			continue
		}
		r.states[update.ID] = update
		affected[update.ID.Service] = true
		r.follow(held, update, now)
	}
	return affected
}

// follow adapts the endpoint itself to its new state.
func (r *registry) follow(previous, update endpoint.Update, now time.Duration) {
	for key, held := range r.endpoints {
		if key.id != update.ID {
			continue
		}
		if !update.State.AcceptsWork() {
			held.Pool.CloseIdle()
			continue
		}
		if update.Incarnation > previous.Incarnation || !previous.State.AcceptsWork() {
			held.Reinstate()
		}
		if update.State == endpoint.Warming && previous.State != endpoint.Warming {
			held.StartSlow(now)
		}
	}
}

// retire drops what no service uses any more and nothing holds.
func (r *registry) retire(current *configuration) {
	maps.DeleteFunc(r.services, func(name string, shared *sharedService) bool {
		return current.services[name] == nil && shared.limiter.InFlight()+shared.limiter.Waiting() == 0
	})
	maps.DeleteFunc(r.routes, func(name string, inFlight *atomic.Int64) bool {
		return !current.routes[name] && inFlight.Load() == 0
	})
	r.retireEndpoints(current)
}

// retireEndpoints closes the connections of endpoints out of use.
func (r *registry) retireEndpoints(current *configuration) {
	used := map[*balance.Endpoint]bool{}
	for _, live := range current.services {
		for _, held := range live.endpoints.Load().Endpoints() {
			used[held] = true
		}
	}
	for key, held := range r.endpoints {
		if !used[held] && held.InFlight() == 0 {
			held.Pool.Close()
			delete(r.endpoints, key)
		}
	}
}
