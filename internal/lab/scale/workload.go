package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

const (
	slotsPerEndpoint       = 20
	connectionsPerEndpoint = 130
	serviceDeadline        = 2 * time.Second
)

func serviceName(index int) string { return fmt.Sprintf("service-%02d", index) }

func credentialName(index int) string { return fmt.Sprintf("credential-%02d", index) }

func declare(kind resource.Kind, name string, fill func(*resource.Resource)) *resource.Resource {
	declared := &resource.Resource{Kind: kind, Metadata: resource.Metadata{Name: name}}
	fill(declared)
	return declared
}

// initialResources declare, for each service, its credential, its placement
// within the region and a route for those that call it.
func initialResources(t topology) []*resource.Resource {
	var resources []*resource.Resource
	for index := range t.Services {
		resources = append(resources, credential(index, 0), service(index, 0), placement(t, index), route(t, index, 0, 0))
	}
	return resources
}

func credential(index, generation int) *resource.Resource {
	return declare(resource.KindSecret, credentialName(index), func(r *resource.Resource) {
		r.Secret = &resource.SecretSpec{Header: "X-Credential", Value: fmt.Sprintf("credential-of-%d-generation-%d", index, generation)}
	})
}

func service(index, generation int) *resource.Resource {
	return declare(resource.KindService, serviceName(index), func(r *resource.Resource) {
		r.Service = &resource.ServiceSpec{
			Selector: &resource.EndpointSelector{Labels: map[string]string{"service": serviceName(index)}},
			Slots:    slotsPerEndpoint + generation%10, Connections: connectionsPerEndpoint,
			Deadline: resource.Duration(serviceDeadline),
			Retry:    resource.RetryPolicy{Attempts: 3, BudgetPercent: 20},
		}
	})
}

func placement(t topology, index int) *resource.Resource {
	return declare(resource.KindPlacement, serviceName(index), func(r *resource.Resource) {
		r.Placement = &resource.PlacementSpec{Service: serviceName(index), Rules: placementRules(t)}
	})
}

// placementRules let callers use the endpoints of their own region.
func placementRules(t topology) []resource.PlacementRule {
	zonesOf := map[string][]string{}
	for index := range t.Zones {
		zonesOf[t.region(index)] = append(zonesOf[t.region(index)], t.zone(index))
	}
	var rules []resource.PlacementRule
	for index := range t.Zones {
		rules = append(rules, resource.PlacementRule{CallerZones: []string{t.zone(index)}, BackendZones: zonesOf[t.region(index)]})
	}
	return rules
}

// route declares a route to a service; extra numbers further ones.
func route(t topology, index, extra, generation int) *resource.Resource {
	return declare(resource.KindRoute, fmt.Sprintf("route-%02d-%d", index, extra), func(r *resource.Resource) {
		r.Route = &resource.RouteSpec{
			Host: serviceName(index) + ".internal", PathPrefix: fmt.Sprintf("/v%d", extra),
			Service: serviceName(index), Secret: credentialName(index),
			Consumers: consumers(t, index), MaximumInFlight: generation,
		}
	})
}

// consumers lists the services that call a service.
func consumers(t topology, index int) []string {
	list := []string{}
	for step := 1; step <= t.CalledServices; step++ {
		list = append(list, serviceName((index+step)%t.Services))
	}
	return list
}

// drawChange returns a change of one service's resources that is always
// admitted.
func drawChange(t topology, random *rand.Rand) []resource.Change {
	index, generation := random.IntN(t.Services), random.IntN(1000)
	var changed []*resource.Resource
	switch random.IntN(4) {
	case 0:
		changed = append(changed, credential(index, generation))
	case 1:
		changed = append(changed, route(t, index, 0, generation))
	case 2:
		changed = append(changed, route(t, index, 1, generation), credential(index, generation))
	default:
		changed = append(changed, service(index, generation))
	}
	return mesh.Put(changed...)
}
