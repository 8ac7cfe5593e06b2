// Package projection computes what one class of proxies may hold: the part of
// the configuration its zone and services are entitled to. The package is
// pure.
package projection

import (
	"slices"
	"strings"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Entitlement is a proxy's authenticated identity as far as configuration is
// concerned. Proxies with equal entitlements receive equal snapshots.
type Entitlement struct {
	Zone string `json:"zone"`
	// Services names the identities the proxy acts for, sorted: the services
	// beside it and the consumers that call through it.
	Services []string `json:"services"`
}

// Class is the canonical text of an entitlement, usable as a map key.
func (e Entitlement) Class() string {
	services := slices.Sorted(slices.Values(e.Services))
	return e.Zone + "|" + strings.Join(services, ",")
}

func (e Entitlement) admits(consumers []string) bool {
	for _, consumer := range consumers {
		if consumer == resource.AnyConsumer || slices.Contains(e.Services, consumer) {
			return true
		}
	}
	return false
}

// Service is a service as one entitlement class sees it.
type Service struct {
	Slots       int                        `json:"slots"`
	Connections int                        `json:"connections"`
	Queue       int                        `json:"queue,omitempty"`
	Deadline    resource.Duration          `json:"deadline"`
	Retry       resource.RetryPolicy       `json:"retry,omitzero"`
	ShedMarker  *resource.ShedMarker       `json:"shedMarker,omitempty"`
	Selector    *resource.EndpointSelector `json:"selector,omitempty"`
	// AllowedZones are the back-end zones callers of this class may use.
	AllowedZones []string `json:"allowedZones"`
	// Endpoints are the declared endpoints in AllowedZones.
	Endpoints []resource.Endpoint `json:"endpoints,omitempty"`
}

// Snapshot is everything one class of proxies holds at one version. It is
// immutable once built. Map keys are resource names.
type Snapshot struct {
	Version uint64 `json:"version"`
	// Digest is the content's digest; it does not cover Version.
	Digest   string                          `json:"digest"`
	Services map[string]*Service             `json:"services,omitempty"`
	Routes   map[string]*resource.RouteSpec  `json:"routes,omitempty"`
	Secrets  map[string]*resource.SecretSpec `json:"secrets,omitempty"`
}

// Project computes the snapshot of an entitlement class.
func Project(state *resource.State, entitlement Entitlement) *Snapshot {
	snapshot := &Snapshot{
		Version:  state.Version(),
		Services: map[string]*Service{},
		Routes:   map[string]*resource.RouteSpec{},
		Secrets:  map[string]*resource.SecretSpec{},
	}
	placements := placementsByService(state)
	addService := func(name string) {
		declared := state.Get(resource.Key{Kind: resource.KindService, Name: name})
		if declared == nil || snapshot.Services[name] != nil {
			return
		}
		snapshot.Services[name] = projectService(declared.Service, placements[name], entitlement.Zone)
	}
	for _, route := range state.List(resource.KindRoute) {
		if !entitlement.admits(route.Route.Consumers) {
			continue
		}
		snapshot.Routes[route.Metadata.Name] = route.Route
		addService(route.Route.Service)
		secret := state.Get(resource.Key{Kind: resource.KindSecret, Name: route.Route.Secret})
		if secret != nil {
			snapshot.Secrets[route.Route.Secret] = secret.Secret
		}
	}
	for _, name := range entitlement.Services {
		addService(name)
	}
	snapshot.Digest = snapshot.ComputeDigest()
	return snapshot
}

func placementsByService(state *resource.State) map[string][]*resource.PlacementSpec {
	placements := map[string][]*resource.PlacementSpec{}
	for _, placement := range state.List(resource.KindPlacement) {
		service := placement.Placement.Service
		placements[service] = append(placements[service], placement.Placement)
	}
	return placements
}

func projectService(spec *resource.ServiceSpec, placements []*resource.PlacementSpec, zone string) *Service {
	view := &Service{
		Slots:        spec.Slots,
		Connections:  spec.Connections,
		Queue:        spec.Queue,
		Deadline:     spec.Deadline,
		Retry:        spec.Retry,
		ShedMarker:   spec.ShedMarker,
		Selector:     spec.Selector,
		AllowedZones: AllowedZones(placements, zone),
	}
	for _, endpoint := range spec.Endpoints {
		if slices.Contains(view.AllowedZones, endpoint.Zone) {
			view.Endpoints = append(view.Endpoints, endpoint)
		}
	}
	return view
}

// AllowedZones returns, sorted, the back-end zones that callers of a zone may
// use. Without any placement only the caller's own zone is allowed; with one,
// a caller zone that no rule names is allowed nothing.
func AllowedZones(placements []*resource.PlacementSpec, callerZone string) []string {
	if len(placements) == 0 {
		return []string{callerZone}
	}
	allowed := []string{}
	for _, placement := range placements {
		for _, rule := range placement.Rules {
			if slices.Contains(rule.CallerZones, callerZone) {
				allowed = append(allowed, rule.BackendZones...)
			}
		}
	}
	slices.Sort(allowed)
	return slices.Compact(allowed)
}
