package projection_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

func service(name string, zones ...string) *resource.Resource {
	spec := &resource.ServiceSpec{Slots: 20, Connections: 130}
	for i, zone := range zones {
		spec.Endpoints = append(spec.Endpoints, resource.Endpoint{
			Name: fmt.Sprint(name, i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: zone,
		})
	}
	return &resource.Resource{Kind: resource.KindService, Metadata: resource.Metadata{Name: name}, Service: spec}
}

func route(name, service, secret string, consumers ...string) *resource.Resource {
	return &resource.Resource{Kind: resource.KindRoute, Metadata: resource.Metadata{Name: name}, Route: &resource.RouteSpec{
		Host: "mesh", PathPrefix: "/" + name, Service: service, Secret: secret, Consumers: consumers,
	}}
}

func secret(name, value string) *resource.Resource {
	return &resource.Resource{Kind: resource.KindSecret, Metadata: resource.Metadata{Name: name},
		Secret: &resource.SecretSpec{Header: "Authorization", Value: value}}
}

func placement(name, service string, rules ...resource.PlacementRule) *resource.Resource {
	return &resource.Resource{Kind: resource.KindPlacement, Metadata: resource.Metadata{Name: name},
		Placement: &resource.PlacementSpec{Service: service, Rules: rules}}
}

var fixture = []*resource.Resource{
	service("tariffs", "a", "b", "c"),
	service("sessions", "a", "b"),
	service("billing", "c"),
	secret("sessions-token", "s3cret"),
	secret("billing-token", "other"),
	route("tariffs", "tariffs", "", resource.AnyConsumer),
	route("sessions", "sessions", "sessions-token", "apps"),
	route("billing", "billing", "billing-token", "sessions"),
	placement("tariffs", "tariffs", resource.PlacementRule{CallerZones: []string{"a"}, BackendZones: []string{"b", "a"}}),
}

func endpointZones(service *projection.Service) []string {
	zones := []string{}
	for _, endpoint := range service.Endpoints {
		zones = append(zones, endpoint.Zone)
	}
	return zones
}

var _ = Describe("Project", func() {
	DescribeTable("includes only what the zone and services of the class are entitled to",
		func(zone string, services, wantRoutes, wantSecrets []string, wantZones map[string][]string) {
			snapshot := projection.Project(resource.Restore(7, fixture), projection.Entitlement{Zone: zone, Services: services})
			Expect(snapshot.Version).To(Equal(uint64(7)))
			Expect(slices.Sorted(maps.Keys(snapshot.Routes))).To(Equal(wantRoutes))
			Expect(slices.Sorted(maps.Keys(snapshot.Secrets))).To(Equal(wantSecrets))
			gotZones := map[string][]string{}
			for name, view := range snapshot.Services {
				gotZones[name] = endpointZones(view)
			}
			Expect(gotZones).To(Equal(wantZones))
			Expect(snapshot.CheckReferences()).To(Succeed())
			Expect(snapshot.Verify()).To(Succeed())
		},
		Entry("a caller in a zone that a placement rule names", "a", []string{"apps"},
			[]string{"sessions", "tariffs"}, []string{"sessions-token"},
			map[string][]string{"tariffs": {"a", "b"}, "sessions": {"a"}}),
		Entry("a caller zone that no placement rule names gets no endpoint", "b", []string{"apps"},
			[]string{"sessions", "tariffs"}, []string{"sessions-token"},
			map[string][]string{"tariffs": {}, "sessions": {"b"}}),
		Entry("the proxy of a service receives that service and what it may call", "c", []string{"sessions"},
			[]string{"billing", "tariffs"}, []string{"billing-token"},
			map[string][]string{"tariffs": {}, "sessions": {}, "billing": {"c"}}),
		Entry("an identity that no route names receives only the routes open to all", "a", []string{"stranger"},
			[]string{"tariffs"}, []string(nil),
			map[string][]string{"tariffs": {"a", "b"}}),
	)

	It("puts entitlements that differ only in the order of services into one class", func() {
		left := projection.Entitlement{Zone: "a", Services: []string{"x", "y"}}
		right := projection.Entitlement{Zone: "a", Services: []string{"y", "x"}}
		Expect(left.Class()).To(Equal(right.Class()))
	})
})

var _ = Describe("Closed", func() {
	DescribeTable("reports a route whose service or secret is missing",
		func(remove func(*projection.Snapshot), kind resource.Kind, name string) {
			snapshot := projection.Project(resource.Restore(1, fixture), projection.Entitlement{Zone: "a", Services: []string{"apps"}})
			remove(snapshot)
			var dangling *projection.DanglingReferenceError
			Expect(errors.As(snapshot.CheckReferences(), &dangling)).To(BeTrue())
			Expect([]any{dangling.Kind, dangling.Name}).To(Equal([]any{kind, name}))
		},
		Entry("missing service", func(s *projection.Snapshot) { delete(s.Services, "tariffs") }, resource.KindService, "tariffs"),
		Entry("missing secret", func(s *projection.Snapshot) { delete(s.Secrets, "sessions-token") }, resource.KindSecret, "sessions-token"),
	)
})

var _ = Describe("Delta", func() {
	class := projection.Entitlement{Zone: "a", Services: []string{"apps", "sessions"}}

	It("turns any state into any other after a JSON round trip, and rejects another base", func() {
		random := rand.New(rand.NewPCG(1, 1))
		for range 300 {
			from := projection.Project(resource.Restore(1, subset(random)), class)
			to := projection.Project(resource.Restore(2, subset(random)), class)
			encoded, err := json.Marshal(projection.Diff(from, to))
			Expect(err).NotTo(HaveOccurred())
			var delta projection.Delta
			Expect(json.Unmarshal(encoded, &delta)).To(Succeed())
			result, err := from.ApplyDelta(&delta)
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Digest).To(Equal(to.Digest))
			Expect(result.Version).To(Equal(to.Version))
			if from.Digest != to.Digest {
				_, err = to.ApplyDelta(&delta)
				var mismatch *projection.BaseMismatchError
				Expect(errors.As(err, &mismatch)).To(BeTrue())
			}
		}
	})

	It("is rejected if the resulting content does not match its digest", func() {
		from := projection.Project(resource.Restore(1, fixture), class)
		to := projection.Project(resource.Restore(2, fixture[:len(fixture)-1]), class)
		delta := projection.Diff(from, to)
		delta.PutServices = nil
		_, err := from.ApplyDelta(delta)
		var mismatch *projection.DigestMismatchError
		Expect(errors.As(err, &mismatch)).To(BeTrue())
	})
})

// subset returns a random part of the fixture, with some secrets changed at
// random.
func subset(random *rand.Rand) []*resource.Resource {
	var picked []*resource.Resource
	for _, r := range fixture {
		switch random.IntN(3) {
		case 0:
			picked = append(picked, r)
		case 1:
			altered := *r
			if r.Kind == resource.KindSecret {
				altered.Secret = &resource.SecretSpec{Header: "X", Value: fmt.Sprint(random.IntN(5))}
			}
			picked = append(picked, &altered)
		}
	}
	return picked
}
