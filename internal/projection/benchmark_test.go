package projection_test

import (
	"fmt"
	"testing"

	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Size of the benchmarked configuration: the services, endpoints per service
// and zones of the deployment that the project targets.
const (
	benchmarkServices  = 39
	benchmarkEndpoints = 26
	benchmarkZones     = 11
)

// largeState returns a state with the given number of routes to 39 services of
// 26 endpoints each, in 11 zones. Every tenth route admits every consumer, the
// others admit one of the 39 services.
func largeState(routes int) *resource.State {
	zones := make([]string, benchmarkEndpoints)
	for index := range zones {
		zones[index] = fmt.Sprintf("zone-%02d", index%benchmarkZones)
	}
	declared := []*resource.Resource{}
	for number := range benchmarkServices {
		declared = append(declared, service(fmt.Sprintf("service-%02d", number), zones...))
	}
	for number := range routes {
		consumer := fmt.Sprintf("service-%02d", number%benchmarkServices)
		if number%10 == 0 {
			consumer = resource.AnyConsumer
		}
		target := fmt.Sprintf("service-%02d", number*7%benchmarkServices)
		declared = append(declared, route(fmt.Sprintf("route-%04d", number), target, "", consumer))
	}
	return resource.Restore(1, declared)
}

// changed returns the state that follows from a change of one route.
func changed(state *resource.State) *resource.State {
	next, _ := state.Advance(resource.Entry{Version: state.Version() + 1, Batches: []resource.Batch{{
		Changes: []resource.Change{{Action: resource.ActionPut, Resource: route("route-0000", "service-01", "", resource.AnyConsumer)}},
	}}})
	return next
}

// BenchmarkProjectClasses projects a changed state for the 39 entitlement classes
// of one zone, as a relay does after every change.
func BenchmarkProjectClasses(b *testing.B) {
	for _, routes := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			state := largeState(routes)
			b.ReportAllocs()
			for b.Loop() {
				next := changed(state)
				for number := range benchmarkServices {
					projection.Project(next, projection.Entitlement{Zone: "zone-00", Services: []string{fmt.Sprintf("service-%02d", number)}})
				}
			}
		})
	}
}

// BenchmarkDiff computes the delta between the snapshots of one class before and
// after a change.
func BenchmarkDiff(b *testing.B) {
	before := largeState(1000)
	entitlement := projection.Entitlement{Zone: "zone-00", Services: []string{"service-00"}}
	from, to := projection.Project(before, entitlement), projection.Project(changed(before), entitlement)
	b.ReportAllocs()
	for b.Loop() {
		projection.Diff(from, to)
	}
}

// BenchmarkApplyDelta applies a delta and verifies the resulting digest, as a
// proxy does.
func BenchmarkApplyDelta(b *testing.B) {
	before := largeState(1000)
	entitlement := projection.Entitlement{Zone: "zone-00", Services: []string{"service-00"}}
	from, to := projection.Project(before, entitlement), projection.Project(changed(before), entitlement)
	delta := projection.Diff(from, to)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := from.ApplyDelta(delta); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAdvance applies one log entry to a state.
func BenchmarkAdvance(b *testing.B) {
	state := largeState(1000)
	b.ReportAllocs()
	for b.Loop() {
		changed(state)
	}
}
