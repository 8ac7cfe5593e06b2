// Package projection computes the part of the configuration that a class of
// proxies receives, given the zone and the services of the class, and the
// deltas between such snapshots. It does no I/O and reads no clock.
package projection

import (
	"slices"
	"strings"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Entitlement is the part of a proxy's authenticated identity that determines
// its configuration. Proxies with equal entitlements receive equal snapshots.
type Entitlement struct {
	Zone string `json:"zone"`
	// Services are the sorted names of the identities that the proxy acts for:
	// the services whose endpoints it fronts and the consumers that call
	// through it.
	Services []string `json:"services"`
}

// Class returns a canonical string for the entitlement, usable as a map key.
// It does not depend on the order of Services.
func (e Entitlement) Class() string {
	services := slices.Sorted(slices.Values(e.Services))
	return e.Zone + "|" + strings.Join(services, ",")
}

// admits reports whether the consumers of a route include an identity of the
// entitlement.
func (e Entitlement) admits(consumers []string) bool {
	for _, consumer := range consumers {
		if consumer == resource.AnyConsumer || slices.Contains(e.Services, consumer) {
			return true
		}
	}
	return false
}

// Service is the specification of a service as projected for one entitlement
// class.
type Service struct {
	Slots       int                        `json:"slots"`
	Connections int                        `json:"connections"`
	Queue       int                        `json:"queue,omitempty"`
	Deadline    resource.Duration          `json:"deadline"`
	Retry       resource.RetryPolicy       `json:"retry,omitzero"`
	ShedMarker  *resource.ShedMarker       `json:"shedMarker,omitempty"`
	Selector    *resource.EndpointSelector `json:"selector,omitempty"`
	// AllowedZones are the back-end zones that callers of this class may use.
	AllowedZones []string `json:"allowedZones"`
	// Endpoints are the declared endpoints that are in AllowedZones.
	Endpoints []resource.Endpoint `json:"endpoints,omitempty"`
}

// Snapshot is the configuration of one entitlement class at one version. It
// must not be modified once built. The maps are keyed by resource name.
type Snapshot struct {
	Version uint64 `json:"version"`
	// Digest is the hash of the content, as computed by ComputeDigest. It does
	// not cover Version.
	Digest   string                          `json:"digest"`
	Services map[string]*Service             `json:"services,omitempty"`
	Routes   map[string]*resource.RouteSpec  `json:"routes,omitempty"`
	Secrets  map[string]*resource.SecretSpec `json:"secrets,omitempty"`
}

// Project computes the snapshot of an entitlement class. It holds the routes
// that admit the class, the services and secrets that those refer to, and the
// services of the entitlement itself.
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

// placementsByService groups the placements of the state by service.
func placementsByService(state *resource.State) map[string][]*resource.PlacementSpec {
	placements := map[string][]*resource.PlacementSpec{}
	for _, placement := range state.List(resource.KindPlacement) {
		service := placement.Placement.Service
		placements[service] = append(placements[service], placement.Placement)
	}
	return placements
}

// projectService limits a service to the endpoints that callers in the zone may
// use.
func projectService(spec *resource.ServiceSpec, placements []*resource.PlacementSpec, zone string) *Service {
	projected := &Service{
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
		if slices.Contains(projected.AllowedZones, endpoint.Zone) {
			projected.Endpoints = append(projected.Endpoints, endpoint)
		}
	}
	return projected
}

// AllowedZones returns the sorted back-end zones that callers in a zone may use,
// given the placements of a service. Without a placement only the caller's own
// zone is allowed; with one, a caller zone that no rule names may use no zone.
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
